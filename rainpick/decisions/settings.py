"""The settings that the decisions read, typed, from the flat map that ``Started`` brings.

Lengths of time are microseconds, sizes are lines of the paced channel. A setting that is missing has the
value with which its mechanism never acts.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

TICK_US = 2_000_000  # the design's tick: weights move a step a tick at most
UPDATE_INTERVAL_US = TICK_US // 8  # how often what was put off is looked at again
INITIAL_FRACTION = 0.25  # the first percentage of a server that recovers from a drain or an ejection
SEVERE_LATENCY_RATIO = 2.7  # see slow_start: the fall multiple of a fleet that says nothing of it
UNLIMITED = 1e9


class Route(NamedTuple):
    """A kind of request."""

    latency_objective_us: int
    priority_weight: float


class DecisionSettings(NamedTuple):
    """All settings that a decision depends on."""

    directors: int
    zone: int  # this director's
    subscribe_on_request: bool  # the endpoint list comes only after Subscribe
    routes: tuple[Route, ...]
    latency_objective_us: int  # the strictest of all routes
    cross_zone_penalty: float
    admission: str  # how proxies admit: "silent" (they do not), "ratio" or a rate
    default_retry_policy: int | None
    proxies_by_zone: bool  # a proxy joins a director of its own zone
    expected_proxies: int
    default_table_size: float | None  # servers in the table that a proxy starts with
    proxies_eject: bool  # proxies shun failing servers by themselves
    message_head_lines: int  # lines of a message beside those of its commands
    reports_per_s: float  # load reports that reach a director
    delivery_delay_us: int
    channel_lines_per_s: float
    channel_lines_max: float  # lines that may wait in the channel
    messages_max: int  # messages that a proxy may be sent within messages_window_us; 0: any number
    messages_window_us: int
    report_interval_us: int
    uses_key_ranges: bool
    key_range_single_owner: bool
    drain_grace_us: float
    fall_multiple: float
    gone_is_not_final: bool  # a server that the list dropped may go on serving
    start_capacity: float  # fraction of its capacity that a server surely has when it starts
    warm_after_us: int  # age from which a server has its full capacity

    @property
    def grace_lines(self) -> float:
        """Lines that leave the channel within the drain grace."""
        return self.channel_lines_per_s * self.drain_grace_us / 1e6


def read_settings(values: Mapping[str, Any]) -> DecisionSettings:
    """The settings in a flat map by dotted path; unknown paths are ignored."""
    get = values.get
    routes = tuple(
        Route(get(f"routes.{number}.slo_time_us", 1), get(f"routes.{number}.importance", 1))
        for number in range(get("routes.count", 0))
    )
    return DecisionSettings(
        directors=get("directors", 1),
        zone=get("zone", 0),
        subscribe_on_request=get("discovery", "pushed") == "on_request",
        routes=routes,
        latency_objective_us=min((route.latency_objective_us for route in routes), default=1),
        cross_zone_penalty=get("penalties.cross_zone", 0),
        admission=get("proxies.admit", "silent"),
        default_retry_policy=get("proxies.default_retry", None),
        proxies_by_zone=get("proxies.by_zone", False),
        expected_proxies=get("proxies.proxy_count", 0),
        default_table_size=get("proxies.default_size", None),
        proxies_eject=bool(get("proxies.ejects_after", 0)),
        message_head_lines=get("proxies.head", 0) + 1,  # the acknowledgement request is a line, too
        reports_per_s=get("proxies.hears_per_s", UNLIMITED),
        delivery_delay_us=get("proxies.late_us", 0),
        channel_lines_per_s=get("proxies.lines_per_s", UNLIMITED),
        channel_lines_max=get("proxies.pending_max", UNLIMITED),
        messages_max=get("proxies.pushes_allowed", 0),
        messages_window_us=get("proxies.counted_over_us", TICK_US),
        report_interval_us=get("proxies.report_every_us", TICK_US),
        uses_key_ranges=bool(get("proxies.slices", 0)),
        key_range_single_owner=get("proxies.one_owner", False),
        drain_grace_us=get("rules.drain_grace_us", UNLIMITED),
        fall_multiple=get("rules.fall_multiple", SEVERE_LATENCY_RATIO),
        gone_is_not_final=get("rules.gone_does_not_bind", False),
        start_capacity=get("rules.start_capacity", INITIAL_FRACTION),
        warm_after_us=get("rules.warm_after_us", 0),
    )
