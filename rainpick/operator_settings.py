"""Translation of the operators' settings to the settings of the decision modules.

Operators use camel-case keys (``hardLimitUs``), either in ``path=value`` lines or in nested JSON. The
decision modules read a flat map with dotted snake-case keys (``routes.0.time_limit_us``). These keys are
stored in records, so they must not change.

This module is not part of ``rainpick.settings``, because the live director and the simulator adapter import
it and must start without pydantic.
"""

from __future__ import annotations

from typing import TypeAlias

JsonValue: TypeAlias = "dict[str, JsonValue] | list[JsonValue] | str | int | float | bool | None"
SettingValue: TypeAlias = "str | int | float | bool | tuple[SettingValue, ...] | None"

# Keys of the decision modules, by the operators' key (a component of a path). An operators' key that is not
# listed is converted to snake case.
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
# Strings that are translated to another value.
VALUES: dict[str, SettingValue] = {"safe": "repeatable", "unsafe": "mutating", "true": True, "false": False}


def translate_key(key: str) -> str:
    """Translate a component of a path in the operators' settings.

    >>> translate_key("drainGraceUs"), translate_key("hardLimitUs"), translate_key("0")
    ('drain_grace_us', 'time_limit_us', '0')
    """
    if key in KEYS:
        return KEYS[key]
    return "".join("_" + letter.lower() if letter.isupper() else letter for letter in key)


def translate_value(text: str) -> SettingValue:
    """Parse a value. Text with commas is a tuple; text that is not a number is a string.

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
    """Translate ``path=value`` lines. Unknown keys are translated, too; a line without ``=`` is skipped.

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
    """Translate nested JSON to the same map as the equivalent ``path=value`` lines.

    ``path`` is the translated path of ``tree``, empty at the root. A list of one element is converted to this
    element and an empty list to an empty string, as their lines would be.

    >>> translate_nested({"grades": [{"name": "a", "repeat": "safe"}], "failureDomains": ["x", "y"], "az": 1})
    {'routes.count': 1, 'routes.0.name': 'a', 'routes.0.effect': 'repeatable', 'zones': ('x', 'y'), 'zone': 1}
    """
    if isinstance(tree, list) and any(isinstance(element, dict) for element in tree):
        tree = _keyed_by_index(tree)
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


def _keyed_by_index(elements: list[JsonValue]) -> dict[str, JsonValue]:
    """Convert a list to a map from ``count`` to its length and from each index to the element.

    The lines have the same keys for a list of objects.
    """
    members: dict[str, JsonValue] = {"count": len(elements)}
    members.update((str(index), element) for index, element in enumerate(elements))
    return members
