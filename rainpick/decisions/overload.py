"""Lowers the weight of overloaded servers, and of all servers of an overloaded machine type.

Only warm servers are evaluated, but the reduction of a machine type also applies to servers that warm up.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from statistics import median
from typing import NamedTuple

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.fleet_load import Observations
from rainpick.decisions.servers import OBSERVATION_COLUMNS, ServerState
from rainpick.decisions.settings import TICK_US
from rainpick.decisions.sliding_window import SlidingWindow

ATTEMPTS_MIN = 4  # a server with fewer attempts is not evaluated
# A server is overloaded if the average cost of its attempts exceeds all of these three limits.
OVERLOAD_COST_MULTIPLE = 1.6  # first limit, as a multiple of the median cost of all servers
OVERLOAD_OBJECTIVE_FRACTION = 0.6  # second limit, as a fraction of the latency objective
OVERLOAD_DEVIATIONS = 2  # third limit, in standard errors above the median cost of all servers
REDUCED_SERVERS_FRACTION_MAX = 0.25  # maximum fraction of servers reduced in a tick, but at least one server
TYPE_ATTEMPTS_MIN = 40  # a machine type with fewer attempts is not evaluated
# A machine type is overloaded if the median cost of its servers exceeds both of these limits.
TYPE_OVERLOAD_COST_MULTIPLE = 1.6  # first limit, as a multiple of the cost of the best machine type
TYPE_OBJECTIVE_FRACTION = 0.5  # second limit, as a fraction of the latency objective
# A machine type is evaluated once more than this fraction of its servers was reported on, because the servers
# that fail most are reported on first.
TYPE_REPORTED_FRACTION = 0.75
FAILURE_COST = 2  # cost of a failed attempt, as a multiple of the latency objective
REDUCTION_POWER = 0.33  # exponent that dampens the ratio of costs in a reduction
REDUCTION_STEP_MIN = 0.5  # minimum factor of a single reduction
CAPACITY_FACTOR_MIN = 0.3  # minimum capacity factor after all reductions
SETTLE_TICKS = 2  # minimum number of ticks before a reduced server or machine type is evaluated again
RECOVERY_TICKS = 8  # ticks after a reduction has settled before the weight of the server is raised again
RECOVERY_STEP = 0.125  # amount by which a capacity factor is raised


def reduced(factor: float, ratio: float) -> float:
    """Return a capacity factor after one reduction; ``ratio`` is the usual cost over the observed cost."""
    step: float = max(REDUCTION_STEP_MIN, ratio**REDUCTION_POWER)
    return max(CAPACITY_FACTOR_MIN, factor * step)


class ServerCost(NamedTuple):
    """The average cost of an attempt at a server.

    The cost of an answered attempt is its latency, the cost of a failed one a multiple of the latency
    objective.
    """

    cost_us: float
    attempts: int
    noise_multiple: float  # costs up to this multiple of the median may be random


class OverloadProtection:
    """Lowers the capacity factors of overloaded servers and machine types.

    This compensates for wrong listed weights and for any fault that slows some of the servers.
    """

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.machine_type_factors: dict[int, float] = {}
        self.settled_us = 0  # time from which reports are used after a change of a machine type's factor

    def update(self) -> None:
        """Adjust capacity factors; called once a tick.

        If the costs of the machine types differ too much, the factor of a machine type is changed; otherwise
        factors of single servers may be changed.
        """
        eligible = [
            server
            for server in self.fleet.servers.values()
            if self.fleet.is_warm(server)
            and not server.ejected_until_us
            and server.recovering_since_us is None
        ]
        costs = self.server_costs(eligible)
        if not self.adjust_machine_types(self.machine_type_costs(eligible, costs)):
            self.adjust_servers(costs)

    def server_costs(self, servers: list[ServerState]) -> dict[ServerState, ServerCost]:
        """Return the costs of the servers that have at least ``ATTEMPTS_MIN`` attempts."""
        clock, objective_us = self.fleet.clock, self.fleet.settings.latency_objective_us
        costs = {}
        for server in servers:
            row = Observations(*server.overload_observations.sums(clock.overload_bucket))
            if row.attempts >= ATTEMPTS_MIN:
                cost_us = (row.latency_us + row.failures * objective_us * FAILURE_COST) / row.attempts
                noise = 1 + OVERLOAD_DEVIATIONS * row.attempts**-0.5
                costs[server] = ServerCost(cost_us, row.attempts, noise)
        return costs

    def machine_type_costs(
        self, eligible: list[ServerState], costs: dict[ServerState, ServerCost]
    ) -> dict[int, float]:
        """Return the median cost of each machine type with enough reports.

        A type needs ``TYPE_ATTEMPTS_MIN`` attempts and a cost of at least two of its eligible servers, and of
        more than the fraction ``TYPE_REPORTED_FRACTION`` of them.
        """
        rows = defaultdict(list)
        for server, cost in costs.items():
            rows[server.endpoint.machine_type].append(cost)
        servers = Counter(server.endpoint.machine_type for server in eligible)
        return {
            machine_type: median(cost.cost_us for cost in group)
            for machine_type, group in rows.items()
            if len(group) > max(1, TYPE_REPORTED_FRACTION * servers[machine_type])
            and sum(cost.attempts for cost in group) >= TYPE_ATTEMPTS_MIN
        }

    def adjust_machine_types(self, costs: dict[int, float]) -> bool:
        """Change one machine type's factor if the costs of the types differ too much; return whether they do.

        The factor of the cheapest type is raised if it was reduced earlier; otherwise that of the costliest
        type is reduced.
        """
        if not costs:
            return False
        worst = max(costs, key=lambda machine_type: costs[machine_type])
        best = min(costs, key=lambda machine_type: costs[machine_type])
        objective_us = self.fleet.settings.latency_objective_us
        limit = max(TYPE_OVERLOAD_COST_MULTIPLE * costs[best], TYPE_OBJECTIVE_FRACTION * objective_us)
        if costs[worst] <= limit:
            return False
        factors = self.machine_type_factors
        if factors.get(best, 1.0) < 1:
            factors[best] = min(1.0, factors[best] + RECOVERY_STEP)
        else:
            factors[worst] = reduced(factors.get(worst, 1.0), costs[best] / costs[worst])
        self.settled_us = self.fleet.clock.now + self.settling_time_us()
        for server in self.fleet.servers.values():
            server.overload_observations = SlidingWindow(OBSERVATION_COLUMNS)
        return True

    def adjust_servers(self, costs: dict[ServerState, ServerCost]) -> None:
        """Lower the capacity factors of the most overloaded servers, and raise lowered factors again.

        A lowered factor is raised in steps while the cost of its server is below the median.
        """
        now, objective_us = self.fleet.clock.now, self.fleet.settings.latency_objective_us
        median_us = median([cost.cost_us for cost in costs.values()] or [0])
        max_reduced = max(1, int(REDUCED_SERVERS_FRACTION_MAX * len(costs)))
        by_excess = sorted(costs, key=lambda server: -costs[server].cost_us / costs[server].noise_multiple)
        for server in by_excess[:max_reduced]:
            cost = costs[server]
            multiple = max(OVERLOAD_COST_MULTIPLE, cost.noise_multiple)
            if cost.cost_us > max(median_us * multiple, OVERLOAD_OBJECTIVE_FRACTION * objective_us):
                server.capacity_factor = reduced(server.capacity_factor, median_us / cost.cost_us)
                server.capacity_settled_us = now + self.settling_time_us()
                server.overload_observations = SlidingWindow(OBSERVATION_COLUMNS)
        for server, cost in costs.items():
            settled = now >= server.capacity_settled_us + RECOVERY_TICKS * TICK_US
            if server.capacity_factor < 1 and cost.cost_us < median_us and settled:
                server.capacity_factor = min(1.0, server.capacity_factor + RECOVERY_STEP)
                server.capacity_settled_us = now

    def settling_time_us(self) -> int:
        """Return the time until the effect of a reduction is visible in the load reports."""
        return max(SETTLE_TICKS * TICK_US, 2 * self.fleet.clock.bucket_us)
