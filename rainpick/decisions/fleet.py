"""The state shared by all decisions of a director: settings, clock, servers, proxies and tables."""

from __future__ import annotations

from collections.abc import Iterable

from rainpick.decisions.clock import StepClock
from rainpick.decisions.proxies import ProxyGroup, ProxyState
from rainpick.decisions.servers import ServerState
from rainpick.decisions.settings import DecisionSettings
from rainpick.decisions.tables import Table
from rainpick.model import Address


class Fleet:
    """The state that several decisions read; ``docs/architecture.md`` lists which module writes which part.

    ``unbound`` contains the unbound proxies that may use any server, because the director does not know their
    default tables. An unbound proxy that joined from another director may still use the servers which that
    director published; it is in the group ``unbound`` of the table that it will be bound to.
    """

    def __init__(self, settings: DecisionSettings, now: int):
        self.settings = settings
        self.clock = StepClock(settings, now)
        self.servers: dict[Address, ServerState] = {}
        self.proxies: dict[int, ProxyState] = {}
        self.tables: list[Table] = []
        self.unbound = ProxyGroup()

    def is_warm(self, server: ServerState) -> bool:
        """Return whether a server is serving and has run long enough to have its full capacity."""
        started_us = server.endpoint.started_us
        old = not started_us or self.clock.now - started_us >= self.settings.warm_after_us
        return server.is_serving and old

    def unbound_groups(self) -> Iterable[ProxyGroup]:
        """Return all groups of unbound proxies."""
        yield self.unbound
        for table in self.tables:
            yield table.unbound

    def unbound_proxies(self) -> list[ProxyState]:
        """Return all proxies that are not bound to a table."""
        return [proxy for group in self.unbound_groups() for proxy in group.proxies.values()]

    def unbound_holders(self, server: ServerState) -> list[ProxyGroup]:
        """Return the groups of unbound proxies that may use a server.

        An earlier director may have published the server to such proxies, or it may be in their default
        tables.
        """
        return [self.unbound, *(table.unbound for table in server.tables or self.tables)]
