"""The settings that the decisions read, typed, from the flat map in ``Started``.

Durations are in microseconds. Sizes of messages and of the queue are in lines of the paced channel. The
default of each setting is a value at which its mechanism never takes effect.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

TICK_US = 2_000_000  # the tick of the design: weights change by at most one step a tick
UPDATE_INTERVAL_US = TICK_US // 8  # interval at which deferred updates are retried
INITIAL_FRACTION = 0.25  # the first percentage of a server that recovers from a drain or an ejection
DEFAULT_FALL_MULTIPLE = 2.7  # at this value, latency above the objective is severe congestion, see slow_start
UNLIMITED = 1e9


class Route(NamedTuple):
    """A kind of request, with its latency objective and priority."""

    latency_objective_us: int
    priority_weight: float


class DecisionSettings(NamedTuple):
    """All settings that a decision depends on."""

    directors: int
    zone: int  # zone of this director
    subscribe_on_request: bool  # the endpoint list is sent only after Subscribe
    routes: tuple[Route, ...]
    latency_objective_us: int  # the strictest objective of all routes
    cross_zone_penalty: float
    admission: str  # admission mode of proxies: "silent" (no admission control), "ratio" or a rate
    default_retry_policy: int | None
    has_own_zone_routes: bool  # whether a route may only use servers in the zone of the proxy
    proxies_by_zone: bool  # proxies join a director of their own zone
    expected_proxies: int
    default_table_size: float | None  # number of servers in the default table of a proxy
    proxies_eject: bool  # proxies eject failing servers themselves
    message_head_lines: int  # number of lines of a message in addition to its commands
    reports_per_s: float  # maximum rate of load reports to a director
    delivery_delay_us: int
    channel_lines_per_s: float
    channel_lines_max: float  # maximum number of lines waiting in the channel
    messages_max: int  # maximum number of messages to a proxy within messages_window_us; 0: unlimited
    messages_window_us: int
    report_interval_us: int
    uses_key_ranges: bool
    key_range_single_owner: bool
    lease_us: int  # time for which a proxy still sends writes after its stream has broken
    write_life_us: int  # maximum duration of a write
    transit_max_us: int  # maximum time from the departure of a message from the channel to the proxy
    bare_max_us: int  # maximum time for which a proxy may have no server to pick; 0: unlimited
    drain_grace_us: float
    fall_multiple: float  # severe congestion begins at a latency ratio proportional to this value
    gone_is_not_final: bool  # whether a server that the list dropped is possibly still serving
    start_capacity: float  # fraction of its capacity that a server is guaranteed to have at its start
    warm_after_us: int  # age from which a server has its full capacity

    @property
    def grace_lines(self) -> float:
        """The number of lines that leave the channel within the drain grace."""
        return self.channel_lines_per_s * self.drain_grace_us / 1e6


def is_any_true(value: Any) -> bool:
    """Return whether a setting by route is true for any; a list of one route is stored as its value."""
    return any(value) if isinstance(value, tuple) else value is True


def read_settings(values: Mapping[str, Any]) -> DecisionSettings:
    """Return the settings in a flat map by dotted path; unknown paths are ignored."""
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
        has_own_zone_routes=is_any_true(get("proxies.own_zone_routes", False)),
        proxies_by_zone=get("proxies.by_zone", False),
        expected_proxies=get("proxies.proxy_count", 0),
        default_table_size=get("proxies.default_size", None),
        proxies_eject=bool(get("proxies.ejects_after", 0)),
        message_head_lines=get("proxies.head", 0) + 1,  # plus the line of the acknowledgement request
        reports_per_s=get("proxies.hears_per_s", UNLIMITED),
        delivery_delay_us=get("proxies.late_us", 0),
        channel_lines_per_s=get("proxies.lines_per_s", UNLIMITED),
        channel_lines_max=get("proxies.pending_max", UNLIMITED),
        messages_max=get("proxies.pushes_allowed", 0),
        messages_window_us=get("proxies.counted_over_us", TICK_US),
        report_interval_us=get("proxies.report_every_us", TICK_US),
        uses_key_ranges=bool(get("proxies.slices", 0)),
        key_range_single_owner=get("proxies.one_owner", False),
        lease_us=get("proxies.tenure_us", 0),
        write_life_us=get("proxies.write_life_us", 0),
        transit_max_us=get("proxies.transit_max_us", 0),
        bare_max_us=get("proxies.bare_us", 0),
        drain_grace_us=get("rules.drain_grace_us", UNLIMITED),
        fall_multiple=get("rules.fall_multiple", DEFAULT_FALL_MULTIPLE),
        gone_is_not_final=get("rules.gone_does_not_bind", False),
        start_capacity=get("rules.start_capacity", INITIAL_FRACTION),
        warm_after_us=get("rules.warm_after_us", 0),
    )
