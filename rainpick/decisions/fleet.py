"""What all decisions of a director share: settings, clock, servers, proxies and tables."""

from __future__ import annotations

from collections.abc import Iterable

from rainpick.decisions.clock import StepClock
from rainpick.decisions.proxies import ProxyGroup, ProxyState
from rainpick.decisions.servers import ServerState
from rainpick.decisions.settings import DecisionSettings
from rainpick.decisions.tables import Table
from rainpick.model import Address


class Fleet:
    """The state that several decisions read. Who writes what is said in ``docs/architecture.md``.

    ``unbound`` are proxies that wait for a table and may hold anything; each table has a group of its own
    for those that may hold what another director published under its number.
    """

    def __init__(self, settings: DecisionSettings, now: int):
        self.settings = settings
        self.clock = StepClock(settings, now)
        self.servers: dict[Address, ServerState] = {}
        self.proxies: dict[int, ProxyState] = {}
        self.tables: list[Table] = []
        self.unbound = ProxyGroup()

    def is_warm(self, server: ServerState) -> bool:
        """Whether a server is serving and old enough for its full capacity."""
        started_us = server.endpoint.started_us
        old = not started_us or self.clock.now - started_us >= self.settings.warm_after_us
        return server.is_serving and old

    def unbound_groups(self) -> Iterable[ProxyGroup]:
        """All groups of proxies that wait for a table."""
        yield self.unbound
        for table in self.tables:
            yield table.unbound

    def unbound_proxies(self) -> list[ProxyState]:
        """All proxies that wait for a table."""
        return [proxy for group in self.unbound_groups() for proxy in group.proxies.values()]

    def unbound_holders(self, server: ServerState) -> list[ProxyGroup]:
        """Proxies that wait for a table and may hold the server: from a former director, or by default."""
        return [self.unbound, *(table.unbound for table in server.tables or self.tables)]
