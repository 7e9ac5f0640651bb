"""Applies the endpoint list to the fleet: adds servers, and marks them as draining, gone or missing."""

from __future__ import annotations

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.servers import DRAINING, GONE, MISSING, OBSERVATION_COLUMNS, READY, ServerState
from rainpick.decisions.sliding_window import SlidingWindow
from rainpick.model import Address, Endpoint, EndpointUpdate, UpdateKind

FORGET_TICKS = 30  # ticks after which the state of a gone server is deleted
FORGOTTEN_MAX = 4096  # maximum number of servers with deleted state whose addresses are kept


class EndpointList:
    """Applies updates of the endpoint list to the fleet's servers."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        # Addresses of servers whose state was deleted, the newest last. Proxies still have these servers as
        # withdrawn, so a server that returns to the list has to be readmitted.
        self.forgotten: dict[Address, bool] = {}

    def apply(self, update: EndpointUpdate) -> None:
        """Apply an update that did not fail; the cached list also determines the length of time buckets."""
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
        """Apply one entry of the list: add, update or drop its server."""
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
        """Mark a server that the list reports as gone or no longer contains as missing or gone.

        A ready server becomes missing if the setting ``gone_is_not_final`` allows that it still serves. A
        missing server remains missing; any other becomes gone.
        """
        if server.status == READY and self.fleet.settings.gone_is_not_final:
            server.status = MISSING
            server.observations = SlidingWindow(OBSERVATION_COLUMNS)
        elif server.status != MISSING:
            if server.status != DRAINING:
                server.drain_started_us = self.fleet.clock.now
            server.status = GONE

    def forget_gone(self) -> None:
        """Delete the state of servers that have been gone for ``FORGET_TICKS`` ticks; called once a tick.

        Servers are replaced continuously, and neither memory nor the time of a step may grow with the number
        of servers that have left. Servers that are still assigned to a table are kept.
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
