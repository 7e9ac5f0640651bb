"""The warm capacity in use, and the reduction of servers that warm up once little of it is left."""

from __future__ import annotations

from collections.abc import Collection

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.servers import ServerState

LOW_WARM_WEIGHT_FRACTION = 0.75  # of the peak warm weight; below it servers that warm up get less


class WarmCapacity:
    """The listed weight of warm servers in use, in the fleet and in each table.

    When few warm servers are left, proxies would send the requests of the lost ones to servers that warm up.
    Therefore the percentage of servers that warm up is multiplied by ``warming_fraction`` in the whole fleet,
    and additionally by the fraction of each table.
    """

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.warm_weight = 0.0
        self.peak_warm_weight = 0.0
        self.warming_fraction = 1.0

    def update_fleet(self, warm: Collection[ServerState]) -> None:
        """Update the warm weight of the fleet.

        Servers that have returned but are not published yet receive no requests and do not count.
        """
        in_use = (
            server.endpoint.weight for server in warm if not (server.ejected_until_us or server.withdrawn)
        )
        self.warm_weight = sum(in_use)
        self.peak_warm_weight = max(self.warm_weight, self.peak_warm_weight, 1e-9)
        remaining = (self.warm_weight or self.peak_warm_weight) / self.peak_warm_weight
        self.warming_fraction = min(1.0, remaining / LOW_WARM_WEIGHT_FRACTION)

    def update_tables(self) -> None:
        """Update the warm weight of each table, after the servers' percentages have been set."""
        for table in self.fleet.tables:
            table.warm_weight = 0.0
        for server in self.fleet.servers.values():
            if server.is_warm and server.percentage:
                for table in server.tables:
                    table.warm_weight += server.endpoint.weight
        for table in self.fleet.tables:
            table.peak_warm_weight = max(table.peak_warm_weight, table.warm_weight)
            remaining = (table.warm_weight or table.peak_warm_weight) / table.peak_warm_weight
            # The servers' percentages already include the fraction of the fleet.
            table.warming_fraction = min(1.0, remaining / LOW_WARM_WEIGHT_FRACTION / self.warming_fraction)
