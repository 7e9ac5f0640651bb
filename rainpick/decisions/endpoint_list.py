"""Follows the endpoint list: which servers there are, and which of them drain, are gone or doubtful."""

from __future__ import annotations

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.servers import DRAINING, GONE, MISSING, OBSERVED, READY, ServerState
from rainpick.decisions.sliding_window import SlidingWindow
from rainpick.model import Address, Endpoint, EndpointUpdate, UpdateKind

FORGET_TICKS = 30  # a server gone for so many ticks is forgotten
FORGOTTEN_MAX = 4096  # forgotten servers of which it is still known that they were withdrawn


class EndpointList:
    """Applies updates of the endpoint list to the fleet's servers."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        # Forgotten servers that proxies still hold as withdrawn, the newest last.
        self.forgotten: dict[Address, bool] = {}

    def apply(self, update: EndpointUpdate) -> None:
        """Take in an update that did not fail."""
        for entry in update.endpoints:
            self.apply_entry(entry)
        servers = self.fleet.servers
        present = {entry.address for entry in update.endpoints}
        if update.kind != UpdateKind.DELTA:
            for address in servers.keys() - present:
                self.drop(servers[address])
        if update.kind == UpdateKind.CACHED:
            zones = len({entry.zone for entry in update.endpoints})
            self.fleet.clock.fit_buckets(len(present), zones)

    def apply_entry(self, entry: Endpoint) -> None:
        """Take in one entry."""
        if entry.state == GONE and entry.address in self.forgotten:
            return
        server = self.fleet.servers.setdefault(entry.address, ServerState(entry))
        server.withdrawn = server.withdrawn or self.forgotten.pop(entry.address, False)
        if entry.state == GONE:
            self.drop(server)
            return
        now = self.fleet.clock.now
        if entry.started_us != server.endpoint.started_us:
            server.reset()
        elif entry.state == READY and server.status == DRAINING:
            server.recovering_since_us = now
        if entry.state == DRAINING and server.status != DRAINING:
            server.drain_started_us = now
        server.endpoint = entry
        server.status = entry.state
        server.presumed_gone = False

    def drop(self, server: ServerState) -> None:
        """The list no longer has a server. Where that is not final, what still answers is kept."""
        if server.status == READY and self.fleet.settings.gone_is_not_final:
            server.status = MISSING
            server.observations = SlidingWindow(OBSERVED)
        elif server.status != MISSING:
            if server.status != DRAINING:
                server.drain_started_us = self.fleet.clock.now
            server.status = GONE

    def forget_gone(self) -> None:
        """Once a tick: forget servers that are long gone.

        Servers are replaced all day: neither memory nor the time of a step may grow with those that left.
        """
        servers = self.fleet.servers
        for address, server in list(servers.items()):
            out_of_use = server.status == GONE and not server.tables
            server.gone_ticks = server.gone_ticks + 1 if out_of_use else 0
            if server.gone_ticks > FORGET_TICKS:
                del servers[address]
                self.forgotten[address] = True
        while len(self.forgotten) > FORGOTTEN_MAX:
            del self.forgotten[next(iter(self.forgotten))]
