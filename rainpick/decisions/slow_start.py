"""The percentage of its weight that a server gets: slow start, recovery ramp, ejection, reduced capacity.

A server that recovers from a drain or an ejection climbs a step a tick. One that has just started never gets
more than it surely can do at its age: it must not be overloaded while it warms up.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.fleet_load import CALM_SUCCESS_RATIO
from rainpick.decisions.servers import ServerState
from rainpick.decisions.settings import INITIAL_FRACTION, SEVERE_LATENCY_RATIO, TICK_US

STEP_FRACTION = 0.25  # a recovering server gets so much more each tick
SEVERE_SUCCESS_RATIO = 0.35  # severe congestion: a lower part of all attempts is answered


class Conditions(NamedTuple):
    """What a percentage depends on beside the server itself."""

    machine_type_factors: Mapping[int, float]  # lower for machine types that were overrun
    success_ratio: float  # of the fleet
    latency_ratio: float  # of the fleet
    warming_fraction: float  # what is left to servers that warm up


class SlowStart:
    """Works out percentages; docs/design.md says which part is the design's ramp."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet

    def advance(self, server: ServerState, conditions: Conditions) -> float:
        """The percentage of a server as of now, from 0 to 1; ends its recovery if that is complete."""
        if not server.is_serving or server.ejected_until_us:
            return 0.0
        machine_type = server.endpoint.machine_type
        full = server.capacity_factor * conditions.machine_type_factors.get(machine_type, 1.0)
        percentage = full
        if server.recovering_since_us is not None:
            percentage = min(full, self.recovery_fraction(server, server.recovering_since_us))
            if percentage >= full:
                server.recovering_since_us = None
        if not self.fleet.is_warm(server):
            percentage = min(percentage, self.warming_percentage(server, full, conditions))
        return percentage

    def recovery_fraction(self, server: ServerState, since_us: int) -> float:
        """How far a server is on its recovery ramp.

        What was ejected waits with its second step until it has been reported on.
        """
        clock = self.fleet.clock
        probation_us = max(TICK_US, 2 * clock.bucket_us) if server.consecutive_ejections else 0
        steps = max(0, (clock.now - since_us - probation_us) // TICK_US)
        return INITIAL_FRACTION + STEP_FRACTION * steps

    def warming_percentage(self, server: ServerState, full: float, conditions: Conditions) -> float:
        """The most that a server may get that has just started."""
        settings = self.fleet.settings
        # Proxies that eject failing servers by themselves send all to those left, whatever their weight.
        if conditions.success_ratio < CALM_SUCCESS_RATIO and settings.proxies_eject:
            return 0.0
        age_us = self.fleet.clock.now - server.endpoint.started_us
        least = settings.start_capacity
        capacity = least + (1 - least) * max(0, age_us) / max(1, settings.warm_after_us)
        severity = severe_congestion_factor(conditions, settings.fall_multiple)
        return full * capacity * severity * conditions.warming_fraction


def severe_congestion_factor(conditions: Conditions, fall_multiple: float) -> float:
    """What severe congestion leaves to servers that warm up: 1.0 where there is none."""
    latency_limit = fall_multiple / SEVERE_LATENCY_RATIO
    return min(
        1.0,
        conditions.success_ratio / SEVERE_SUCCESS_RATIO,
        latency_limit / max(conditions.latency_ratio, latency_limit),
    )
