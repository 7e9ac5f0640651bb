"""Zone preference and spill-over: the extent to which the tables of a zone use servers of other zones."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.servers import ServerState
from rainpick.decisions.tables import Table

SPILL_STEP = 0.25  # spill-over is a multiple of this fraction


class Locality:
    """Determines the spill-over of each zone.

    This is the fraction of its weight that a server of another zone gets in the tables of the zone. 0: the
    zone has capacity for all its own requests; 1: its tables use the servers of all zones alike.
    """

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.spill: dict[int | None, float] = {}

    def is_remote(self, server: ServerState, table: Table) -> bool:
        """Return whether a server is in another zone than a table; false if the table serves all zones."""
        return table.zone not in (None, server.endpoint.zone)

    def update(self, zones: Iterable[int | None]) -> None:
        """Set the spill-over of zones whose target differs by more than one step, rounded to steps."""
        for zone, target in self.target_spill(zones).items():
            if abs(target - self.spill.setdefault(zone, 0.0)) > SPILL_STEP:
                self.spill[zone] = round(target / SPILL_STEP) * SPILL_STEP

    def target_spill(self, zones: Iterable[int | None]) -> dict[int | None, float]:
        """Return, by zone, the excess of demand over usable capacity, divided by this capacity; at most 1.

        The demand is estimated from the usual request rates of the proxies that joined this director.
        """
        fleet, settings = self.fleet, self.fleet.settings
        usable: dict[int | None, float] = defaultdict(float)
        requested: dict[int | None, float] = defaultdict(float)
        for server in fleet.servers.values():
            usable[server.endpoint.zone] += server.effective_weight() * (not server.withdrawn)
        for proxy in fleet.proxies.values():
            requested[proxy.zone] += proxy.request_rate
        rate_per_proxy = sum(requested.values()) / max(1, len(fleet.proxies)) or 1.0
        target = {}
        for zone in zones:
            own = settings.proxies_by_zone and zone == settings.zone
            ratio = requested[zone] * (1 if own else settings.directors) / rate_per_proxy
            ratio *= sum(usable.values()) / max(1, settings.expected_proxies) / max(usable[zone], 1e-9)
            target[zone] = min(1.0, max(0.0, ratio - 1))
        return target
