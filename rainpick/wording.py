"""The operators' words for settings, turned into the plain map of ours that the module reads."""

# Their words for settings, a dotted path piece by piece, and ours.
WORDS = {
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
VALUES = {"safe": "repeatable", "unsafe": "mutating", "true": True, "false": False}


def snake(piece):
    """Put a camel-case word into our spelling.

    >>> snake("drainGraceUs"), snake("hardLimitUs"), snake("0")
    ('drain_grace_us', 'time_limit_us', '0')
    """
    if piece in WORDS:
        return WORDS[piece]
    return "".join("_" + letter.lower() if letter.isupper() else letter for letter in piece)


def value(path, text):
    """Read one value of the settings; names stay text, lists become tuples.

    >>> value("a", "12"), value("a", "0.5"), value("a", "false,true"), value("a", "safe")
    (12, 0.5, (False, True), 'repeatable')
    """
    if "," in text:
        return tuple(value(path, part) for part in text.split(","))
    if text in VALUES:
        return VALUES[text]
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            pass
    return text


def settings(text):
    """Turn path=value lines into a plain map under our words; unknown keys come along unread."""
    found = {}
    for line in text.splitlines():
        path, equals, rest = line.partition("=")
        if equals:
            found[".".join(snake(piece) for piece in path.split("."))] = value(path, rest)
    return found


def nested(tree, path=""):
    """The same map from settings that come as nested objects and lists; the same words, the same values.

    >>> nested({"grades": [{"name": "a", "repeat": "safe"}], "failureDomains": ["x", "y"], "az": 1})
    {'routes.count': 1, 'routes.0.name': 'a', 'routes.0.effect': 'repeatable', 'zones': ('x', 'y'), 'zone': 1}
    """
    if isinstance(tree, list) and any(isinstance(item, dict) for item in tree):
        tree = {"count": len(tree)} | {str(number): item for number, item in enumerate(tree)}
    if isinstance(tree, dict):
        found = {}
        for name, item in tree.items():
            found |= nested(item, f"{path}.{snake(name)}" if path else snake(name))
        return found
    if isinstance(tree, list):
        items = tuple(item for part in tree for item in nested(part, path).values())
        return {path: items if len(items) > 1 else items[0] if items else ""}
    return {path: value(path, tree) if isinstance(tree, str) else tree}
