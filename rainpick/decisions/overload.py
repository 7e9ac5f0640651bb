"""Lowers the weight of overloaded servers and machine types, servers that warm up included."""

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
# A server is overloaded if the cost of its attempts is above each of these three limits.
OVERLOAD_COST_MULTIPLE = 1.6  # of the median cost
OVERLOAD_OBJECTIVE_FRACTION = 0.6  # of the latency objective
OVERLOAD_DEVIATIONS = 2  # standard errors above the median cost
REDUCED_SERVERS_FRACTION_MAX = 0.25  # of the servers; at least one may be reduced at once
TYPE_ATTEMPTS_MIN = 40  # a machine type with fewer attempts is not evaluated
# A machine type is overloaded if the median cost of its servers is above both of these limits.
TYPE_OVERLOAD_COST_MULTIPLE = 1.6  # of the cost of the best machine type
TYPE_OBJECTIVE_FRACTION = 0.5  # of the latency objective
# A machine type is evaluated once more than this fraction of its servers was reported on, because the servers
# that fail most are reported on first.
TYPE_REPORTED_FRACTION = 0.75
FAILURE_COST = 2  # cost of a failed attempt in latency objectives
REDUCTION_POWER = 0.33  # a reduction is the ratio of costs to this power
REDUCTION_STEP_MIN = 0.5  # minimum factor of a single reduction
CAPACITY_FACTOR_MIN = 0.3  # minimum capacity factor after all reductions
SETTLE_TICKS = 2  # ticks before a reduced server or machine type is evaluated again
RECOVERY_TICKS = 8  # ticks before the weight of a reduced server is raised again
RECOVERY_STEP = 0.125


def reduced(factor: float, ratio: float) -> float:
    """Return a capacity factor after one reduction; ``ratio`` is the usual cost over the observed cost."""
    step: float = max(REDUCTION_STEP_MIN, ratio**REDUCTION_POWER)
    return max(CAPACITY_FACTOR_MIN, factor * step)


class ServerCost(NamedTuple):
    """The average cost of an attempt at a server."""

    cost_us: float
    attempts: int
    noise_multiple: float  # costs up to this multiple of the median may be random


class OverloadProtection:
    """Lowers the capacity factors of overloaded servers and machine types.

    It compensates for wrong listed weights and for any fault that slows some of the servers.
    """

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.machine_type_factors: dict[int, float] = {}
        self.settled_us = 0  # from when on reports count after a machine type was reduced

    def update(self) -> None:
        """Reduce the most overloaded machine type, or else the overloaded servers; called once a tick."""
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
        """Return the costs of the servers that have enough attempts."""
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
        """Return the median cost of each machine type for which most servers were reported on."""
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
        """Raise the best machine type or reduce the worst if they differ too much; return whether they do."""
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
        """Reduce the most overloaded servers, and raise reduced ones that are overloaded no longer."""
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
        """Return the time for a reduction to take effect in the load reports."""
        return max(SETTLE_TICKS * TICK_US, 2 * self.fleet.clock.bucket_us)
