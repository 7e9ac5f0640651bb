"""Conversion of the settings to the settings of the decision modules: a flat map from dotted names to values.

The map is stored in records and read again by replays, so the names must not change.
"""

from typing import Any

from rainpick.settings.model import RoutePart, Settings

# Names of admission modes in the map, by their name in the settings file, where the two differ.
ADMISSION_MODES = {"rate": "rps"}


def decision_settings(settings: Settings) -> dict[str, Any]:
    """Return the map for the ``Started`` event of the decision modules; durations are in microseconds.

    ``rainpick.operator_settings`` produces the same names.
    """
    proxies, channel, rules = settings.proxies, settings.channel, settings.rules
    flat: dict[str, Any] = {
        "directors": settings.director.of,
        "me": settings.director.number,
        "zone": settings.zone_index(settings.director.zone),
        "zones": settings.zones,
        "machines": settings.machines,
        "discovery": "pushed",
        "penalties.cross_zone": settings.prices.cross_zone,
        "proxies.admit": ADMISSION_MODES.get(proxies.admit, proxies.admit),
        "proxies.slices": 0,
        "proxies.proxy_count": proxies.count,
        "proxies.by_zone": proxies.by_zone,
        "proxies.default_size": proxies.standing_lines,
        "proxies.report_every_us": proxies.report_every,
        "proxies.hears_per_s": proxies.hears_per_s,
        "proxies.ejects_after": proxies.ejects_after,
        "proxies.lines_per_s": channel.lines_per_s,
        "proxies.head": channel.head_lines,
        "proxies.pending_max": channel.pending_lines,
        "proxies.pushes_allowed": channel.messages_most,
        "proxies.counted_over_us": channel.messages_over,
        "proxies.bare_us": rules.bare,
        "rules.drain_grace_us": rules.drain_grace,
        "rules.warm_after_us": rules.warm_after,
        "rules.start_capacity": rules.start_capacity,
        "rules.fall_multiple": rules.fall_multiple,
        "rules.fall_us": rules.fall,
        "rules.gone_does_not_bind": rules.gone_does_not_bind,
        "routes.count": len(settings.routes),
    }
    for index, route in enumerate(settings.routes):
        flat |= _route_entries(index, route)
    return flat


def _route_entries(index: int, route: RoutePart) -> dict[str, Any]:
    """Return the entries of the decision settings for the route at ``index``."""
    return {
        f"routes.{index}.name": route.name,
        f"routes.{index}.slo_time_us": route.slo_time,
        f"routes.{index}.time_limit_us": route.time_limit,
        f"routes.{index}.importance": route.importance,
        f"routes.{index}.effect": route.effect,
        f"routes.{index}.repeat_window_us": route.repeat_window,
    }
