"""The percentage of its weight that a server gets: slow start, recovery ramp, ejection, reduced capacity.

The percentage of a server that recovers from a drain or an ejection rises by one step a tick. A server that
has just started never gets more than the capacity guaranteed at its age, so that it is not overloaded while
it warms up.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.fleet_load import HEALTHY_SUCCESS_RATIO
from rainpick.decisions.servers import ServerState
from rainpick.decisions.settings import DEFAULT_FALL_MULTIPLE, INITIAL_FRACTION, TICK_US

STEP_FRACTION = 0.25  # added to the percentage of a recovering server each tick
SEVERE_SUCCESS_RATIO = 0.35  # a lower fraction of answered attempts is severe congestion


class Conditions(NamedTuple):
    """The inputs of a percentage other than the state of the server itself."""

    machine_type_factors: Mapping[int, float]  # lowered for overloaded machine types
    success_ratio: float  # fraction of recent attempts that the fleet answered
    latency_ratio: float  # median latency of servers divided by the latency objective
    warming_fraction: float  # reduces servers that warm up while few warm ones are left


class SlowStart:
    """Computes the percentages of servers; docs/design.md states which part is the ramp of the design."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet

    def advance(self, server: ServerState, conditions: Conditions) -> float:
        """Return the current percentage of a server, from 0 to 1.

        Also ends the recovery of a server whose recovery ramp has reached its full percentage.
        """
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
        """Return the percentage of a server on its recovery ramp.

        After an ejection, the first increase is delayed by the time that load reports on the server need to
        arrive.
        """
        clock = self.fleet.clock
        probation_us = max(TICK_US, 2 * clock.bucket_us) if server.consecutive_ejections else 0
        steps = max(0, (clock.now - since_us - probation_us) // TICK_US)
        return INITIAL_FRACTION + STEP_FRACTION * steps

    def warming_percentage(self, server: ServerState, full: float, conditions: Conditions) -> float:
        """Return the maximum percentage of a server that has just started."""
        settings = self.fleet.settings
        # Proxies that eject failing servers themselves send all attempts to the remaining servers, whatever
        # the weights of these are.
        if conditions.success_ratio < HEALTHY_SUCCESS_RATIO and settings.proxies_eject:
            return 0.0
        age_us = self.fleet.clock.now - server.endpoint.started_us
        minimum = settings.start_capacity
        capacity = minimum + (1 - minimum) * max(0, age_us) / max(1, settings.warm_after_us)
        severity = severe_congestion_factor(conditions, settings.fall_multiple)
        return full * capacity * severity * conditions.warming_fraction


def severe_congestion_factor(conditions: Conditions, fall_multiple: float) -> float:
    """Return the factor by which severe congestion reduces percentages of warming servers; 1.0 without it."""
    latency_limit = fall_multiple / DEFAULT_FALL_MULTIPLE
    return min(
        1.0,
        conditions.success_ratio / SEVERE_SUCCESS_RATIO,
        latency_limit / max(conditions.latency_ratio, latency_limit),
    )
