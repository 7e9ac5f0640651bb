"""Translation of the operators' settings into the settings of the decisions.

Operators write camel-case keys of their own (``hardLimitUs``), either as ``path=value`` lines or as nested
JSON. The decisions read one flat map with dotted snake-case keys (``routes.0.time_limit_us``). These keys are
stored in records, so they must not change.

This module lies outside ``rainpick.settings`` on purpose: the live director and the adapter of the simulator
import it and have to start without pydantic.
"""

from __future__ import annotations

from typing import TypeAlias

JsonValue: TypeAlias = "dict[str, JsonValue] | list[JsonValue] | str | int | float | bool | None"
SettingValue: TypeAlias = "str | int | float | bool | tuple[SettingValue, ...] | None"

# The operators' key to ours, for one component of a dotted path. Any other key is put into snake case.
KEYS = {
    "grades": "routes",
    "sloUs": "slo_time_us",
    "hardLimitUs": "time_limit_us",
    "repeat": "effect",
    "worth": "importance",
    "lateWorth": "late_importance",
    "dedupWindowUs": "repeat_window_us",
    "group": "repeat_group",
    "aimStretch": "slo_stretch",
    "domain": "proxies",
    "safety": "rules",
    "policyLimits": "limits",
    "objectiveMix": "goal",
    "worstClass": "worst_route",
    "stats": "load",
    "failureDomains": "zones",
    "machineTypes": "machines",
    "az": "zone",
    "fleetSize": "directors",
    "roundUs": "round_us",
    "weightKind": "weights",
    "fullMayHaveRun": "throttled_may_have_run",
    "droppedStayOpen": "gone_does_not_bind",
    "outlierAfter": "ejects_after",
    "tryAims": "try_slo_times",
    "classOwnZone": "own_zone_routes",
    "mutating": "writing_routes",
    "ranges": "slices",
    "lbMethod": "pick",
    "crossZone": "cross_zone",
    "lateFail": "late_drop",
}
# Texts that stand for another value.
VALUES: dict[str, SettingValue] = {"safe": "repeatable", "unsafe": "mutating", "true": True, "false": False}


def translate_key(key: str) -> str:
    """Translate one component of an operators' path.

    >>> translate_key("drainGraceUs"), translate_key("hardLimitUs"), translate_key("0")
    ('drain_grace_us', 'time_limit_us', '0')
    """
    if key in KEYS:
        return KEYS[key]
    return "".join("_" + letter.lower() if letter.isupper() else letter for letter in key)


def translate_value(text: str) -> SettingValue:
    """Read a value that is written as text; what is no number stays text, a comma makes a tuple.

    >>> translate_value("12"), translate_value("0.5"), translate_value("false,true"), translate_value("safe")
    (12, 0.5, (False, True), 'repeatable')
    """
    if "," in text:
        return tuple(translate_value(element) for element in text.split(","))
    if text in VALUES:
        return VALUES[text]
    for number in (int, float):
        try:
            return number(text)
        except ValueError:
            continue
    return text


def translate_lines(text: str) -> dict[str, SettingValue]:
    """Translate ``path=value`` lines. Unknown keys are kept; a line without ``=`` is skipped.

    >>> translate_lines("grades.0.hardLimitUs=2000\\nfailureDomains=x,y")
    {'routes.0.time_limit_us': 2000, 'zones': ('x', 'y')}
    """
    settings: dict[str, SettingValue] = {}
    for line in text.splitlines():
        path, separator, value = line.partition("=")
        if separator:
            key = ".".join(translate_key(component) for component in path.split("."))
            settings[key] = translate_value(value)
    return settings


def translate_nested(tree: JsonValue, path: str = "") -> dict[str, SettingValue]:
    """Translate nested JSON into the same map that the equivalent ``path=value`` lines give.

    ``path``: the translated key of ``tree`` itself, empty at the root. As in the lines, a list of one element
    is that element, and an empty list is an empty text.

    >>> translate_nested({"grades": [{"name": "a", "repeat": "safe"}], "failureDomains": ["x", "y"], "az": 1})
    {'routes.count': 1, 'routes.0.name': 'a', 'routes.0.effect': 'repeatable', 'zones': ('x', 'y'), 'zone': 1}
    """
    if isinstance(tree, list) and any(isinstance(element, dict) for element in tree):
        tree = _named_by_index(tree)
    if isinstance(tree, dict):
        settings: dict[str, SettingValue] = {}
        for name, member in tree.items():
            key = translate_key(name)
            settings |= translate_nested(member, f"{path}.{key}" if path else key)
        return settings
    if isinstance(tree, list):
        elements = tuple(value for element in tree for value in translate_nested(element, path).values())
        if len(elements) > 1:
            return {path: elements}
        return {path: elements[0] if elements else ""}
    return {path: translate_value(tree) if isinstance(tree, str) else tree}


def _named_by_index(elements: list[JsonValue]) -> dict[str, JsonValue]:
    """A list of objects as the lines write it: its length, and its elements under their indexes."""
    members: dict[str, JsonValue] = {"count": len(elements)}
    members.update((str(index), element) for index, element in enumerate(elements))
    return members
