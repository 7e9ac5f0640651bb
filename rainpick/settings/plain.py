"""The settings as the decision module wants them: a plain map of dotted names to values."""

from typing import Any

from rainpick.settings.model import Settings


def plain_map(settings: Settings) -> dict[str, Any]:
    """What the decisions get at their start. The names are those of ``rainpick.simhost.wire``."""
    proxies, channel, rules = settings.proxies, settings.channel, settings.rules
    found: dict[str, Any] = {
        "directors": settings.director.of,
        "me": settings.director.number,
        "zone": settings.zone_of(settings.director.zone),
        "zones": settings.zones,
        "machines": settings.machines,
        "discovery": "pushed",
        "penalties.cross_zone": settings.prices.cross_zone,
        "proxies.admit": {"rate": "rps"}.get(proxies.admit, proxies.admit),
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
    for place, route in enumerate(settings.routes):
        found |= {
            f"routes.{place}.name": route.name,
            f"routes.{place}.slo_time_us": route.slo_time,
            f"routes.{place}.time_limit_us": route.time_limit,
            f"routes.{place}.importance": route.importance,
            f"routes.{place}.effect": route.effect,
            f"routes.{place}.repeat_window_us": route.repeat_window,
        }
    return found
