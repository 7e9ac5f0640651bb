"""Tracks the warm capacity in use, and reduces servers that warm up when little of this capacity is left."""

from __future__ import annotations

from collections.abc import Collection

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.servers import ServerState

LOW_WARM_WEIGHT_FRACTION = 0.75  # fraction of the peak warm weight below which warming servers are reduced


class WarmCapacity:
    """The listed weight of warm servers in use, in the fleet and in each table.

    When few warm servers are left, proxies would send the requests of the lost ones to servers that warm up.
    Therefore the percentage of servers that warm up is multiplied by ``warming_fraction`` in the whole fleet,
    and in each table by the ``warming_fraction`` of that table as well. Without any warm server, both are 1.
    """

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.warm_weight = 0.0
        self.peak_warm_weight = 0.0
        self.warming_fraction = 1.0

    def update_fleet(self, warm: Collection[ServerState]) -> None:
        """Update the warm weight of the fleet.

        Ejected and withdrawn servers receive no requests and do not count, nor does a server that has
        returned but is not readmitted yet.
        """
        in_use = (
            server.endpoint.weight for server in warm if not (server.ejected_until_us or server.withdrawn)
        )
        self.warm_weight = sum(in_use)
        self.peak_warm_weight = max(self.warm_weight, self.peak_warm_weight, 1e-9)
        remaining = (self.warm_weight or self.peak_warm_weight) / self.peak_warm_weight
        self.warming_fraction = min(1.0, remaining / LOW_WARM_WEIGHT_FRACTION)

    def update_tables(self) -> None:
        """Update the warm weight of each table from the servers' percentages, which must be set before."""
        for table in self.fleet.tables:
            table.warm_weight = 0.0
        for server in self.fleet.servers.values():
            if server.is_warm and server.percentage:
                for table in server.tables:
                    table.warm_weight += server.endpoint.weight
        for table in self.fleet.tables:
            table.peak_warm_weight = max(table.peak_warm_weight, table.warm_weight)
            remaining = (table.warm_weight or table.peak_warm_weight) / table.peak_warm_weight
            # The servers' percentages already include the warming fraction of the fleet.
            table.warming_fraction = min(1.0, remaining / LOW_WARM_WEIGHT_FRACTION / self.warming_fraction)
