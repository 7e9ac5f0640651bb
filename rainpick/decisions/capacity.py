"""How much warm capacity is in use, and what servers that warm up may take of the rest."""

from __future__ import annotations

from collections.abc import Collection

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.servers import ServerState

FEW_WARM_FRACTION = 0.75  # servers that warm up get less once warm weight is under this part of its peak


class WarmCapacity:
    """The listed weight of warm servers in use, in the fleet and in each table.

    Once few are left, proxies would send what those had to the servers that warm up: these get less then,
    ``warming_fraction`` of their percentage in the fleet, and each table's own fraction on top.
    """

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.warm_weight = 0.0
        self.peak_warm_weight = 0.0
        self.warming_fraction = 1.0

    def update_fleet(self, warm: Collection[ServerState]) -> None:
        """Sum up the fleet. What is back but not yet published takes no requests: it spares nobody."""
        in_use = (
            server.endpoint.weight for server in warm if not (server.ejected_until_us or server.withdrawn)
        )
        self.warm_weight = sum(in_use)
        self.peak_warm_weight = max(self.warm_weight, self.peak_warm_weight, 1e-9)
        left = (self.warm_weight or self.peak_warm_weight) / self.peak_warm_weight
        self.warming_fraction = min(1.0, left / FEW_WARM_FRACTION)

    def update_tables(self) -> None:
        """Sum up each table, once the servers' percentages are known."""
        for table in self.fleet.tables:
            table.warm_weight = 0.0
        for server in self.fleet.servers.values():
            if server.is_warm and server.percentage:
                for table in server.tables:
                    table.warm_weight += server.endpoint.weight
        for table in self.fleet.tables:
            table.peak_warm_weight = max(table.peak_warm_weight, table.warm_weight)
            left = (table.warm_weight or table.peak_warm_weight) / table.peak_warm_weight
            # The fleet's fraction is in the servers' percentages already.
            table.warming_fraction = min(1.0, left / FEW_WARM_FRACTION / self.warming_fraction)
