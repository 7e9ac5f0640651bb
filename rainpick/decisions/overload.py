"""Lowers the weight of what is overrun beside the rest: machine types, servers, and servers that warm up."""

from __future__ import annotations

from collections import Counter, defaultdict
from statistics import median
from typing import NamedTuple

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.fleet_load import Observations
from rainpick.decisions.servers import OBSERVED, ServerState
from rainpick.decisions.settings import TICK_US
from rainpick.decisions.sliding_window import SlidingWindow

ATTEMPTS_MIN = 4  # a server with fewer attempts is not judged
OVERRUN_MULTIPLE = 1.6  # a server is overrun from so many median costs on,
OVERRUN_OBJECTIVE_FRACTION = 0.6  # and from this part of the latency objective on
OVERRUN_DEVIATIONS = 2  # standard errors beyond chance
SERVERS_FRACTION = 0.25  # the part of the servers that may be reduced at once, one at least
TYPE_ATTEMPTS_MIN = 40  # the same for a machine type
TYPE_OVERRUN_MULTIPLE = 1.6
TYPE_OBJECTIVE_FRACTION = 0.5
TYPE_REPORTED_FRACTION = 0.75  # of its servers: the first that are reported on are those that fail most
FAILURE_COST = 2  # a failed attempt costs so many latency objectives
REDUCTION_POWER = 0.33  # this root of the ratio of costs is taken
REDUCTION_STEP_MIN = 0.5  # what a single reduction leaves at least
CAPACITY_FACTOR_MIN = 0.3  # what all reductions leave at least
SETTLE_TICKS = 2  # before it is judged again
RISE_TICKS = 8  # before its weight rises again
RISE_STEP = 0.125


def reduced(factor: float, ratio: float) -> float:
    """A factor after one reduction; ``ratio``: the cost that is usual over that met."""
    step: float = max(REDUCTION_STEP_MIN, ratio**REDUCTION_POWER)
    return max(CAPACITY_FACTOR_MIN, factor * step)


class ServerCost(NamedTuple):
    """What an attempt at a server costs on average."""

    cost_us: float
    attempts: int
    chance_multiple: float  # costs up to so many times the median may be chance


class OverloadProtection:
    """Lowers capacity factors of servers and machine types.

    It guards against listed weights that are wrong, and against anything that slows some servers.
    """

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.machine_type_factors: dict[int, float] = {}
        self.settled_us = 0  # when evidence counts again after a machine type was reduced

    def update(self) -> None:
        """Once a tick: reduce the machine type that is overrun most, or else the servers that are."""
        able = [
            server
            for server in self.fleet.servers.values()
            if self.fleet.is_warm(server)
            and not server.ejected_until_us
            and server.recovering_since_us is None
        ]
        costs = self.server_costs(able)
        if not self.adjust_machine_types(self.machine_type_costs(able, costs)):
            self.adjust_servers(costs)

    def server_costs(self, servers: list[ServerState]) -> dict[ServerState, ServerCost]:
        """The costs of those servers that have enough attempts."""
        clock, objective_us = self.fleet.clock, self.fleet.settings.latency_objective_us
        costs = {}
        for server in servers:
            row = Observations(*server.overload_observations.sums(clock.overload_bucket))
            if row.attempts >= ATTEMPTS_MIN:
                cost_us = (row.latency_us + row.failures * objective_us * FAILURE_COST) / row.attempts
                chance = 1 + OVERRUN_DEVIATIONS * row.attempts**-0.5
                costs[server] = ServerCost(cost_us, row.attempts, chance)
        return costs

    def machine_type_costs(
        self, able: list[ServerState], costs: dict[ServerState, ServerCost]
    ) -> dict[int, float]:
        """The median cost of each machine type of which most servers were reported on."""
        rows = defaultdict(list)
        for server, cost in costs.items():
            rows[server.endpoint.machine_type].append(cost)
        servers = Counter(server.endpoint.machine_type for server in able)
        return {
            machine_type: median(cost.cost_us for cost in group)
            for machine_type, group in rows.items()
            if len(group) > max(1, TYPE_REPORTED_FRACTION * servers[machine_type])
            and sum(cost.attempts for cost in group) >= TYPE_ATTEMPTS_MIN
        }

    def adjust_machine_types(self, costs: dict[int, float]) -> bool:
        """Raise the best machine type or reduce the worst, if they differ too much; whether they do."""
        if not costs:
            return False
        worst = max(costs, key=lambda machine_type: costs[machine_type])
        best = min(costs, key=lambda machine_type: costs[machine_type])
        objective_us = self.fleet.settings.latency_objective_us
        limit = max(TYPE_OVERRUN_MULTIPLE * costs[best], TYPE_OBJECTIVE_FRACTION * objective_us)
        if costs[worst] <= limit:
            return False
        factors = self.machine_type_factors
        if factors.get(best, 1.0) < 1:
            factors[best] = min(1.0, factors[best] + RISE_STEP)
        else:
            factors[worst] = reduced(factors.get(worst, 1.0), costs[best] / costs[worst])
        self.settled_us = self.fleet.clock.now + self.settle_us()
        for server in self.fleet.servers.values():
            server.overload_observations = SlidingWindow(OBSERVED)
        return True

    def adjust_servers(self, costs: dict[ServerState, ServerCost]) -> None:
        """Reduce the servers that are overrun most, and raise those that no longer are."""
        now, objective_us = self.fleet.clock.now, self.fleet.settings.latency_objective_us
        median_us = median([cost.cost_us for cost in costs.values()] or [0])
        most = max(1, int(SERVERS_FRACTION * len(costs)))
        by_excess = sorted(costs, key=lambda server: -costs[server].cost_us / costs[server].chance_multiple)
        for server in by_excess[:most]:
            cost = costs[server]
            multiple = max(OVERRUN_MULTIPLE, cost.chance_multiple)
            if cost.cost_us > max(median_us * multiple, OVERRUN_OBJECTIVE_FRACTION * objective_us):
                server.capacity_factor = reduced(server.capacity_factor, median_us / cost.cost_us)
                server.capacity_settled_us = now + self.settle_us()
                server.overload_observations = SlidingWindow(OBSERVED)
        for server, cost in costs.items():
            rested = now >= server.capacity_settled_us + RISE_TICKS * TICK_US
            if server.capacity_factor < 1 and cost.cost_us < median_us and rested:
                server.capacity_factor = min(1.0, server.capacity_factor + RISE_STEP)
                server.capacity_settled_us = now

    def settle_us(self) -> int:
        """How long a reduction has to show in the evidence."""
        return max(SETTLE_TICKS * TICK_US, 2 * self.fleet.clock.bucket_us)
