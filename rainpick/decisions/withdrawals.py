"""Withdraws servers that drain, are gone or ejected, so that no proxy uses one past the drain grace.

Withdrawals go out at once while the span that is written ahead has capacity for all that they reach.
Otherwise each table lets go of its draining servers as its deadline comes, all in one message: who is to be
bound soon need not be sent them, and a message less is a head less for each of its proxies.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.proxies import ProxyState
from rainpick.decisions.publisher import Publisher, TableCommand
from rainpick.decisions.send_queue import ChannelState, Claim
from rainpick.decisions.servers import DRAINING, GONE, ServerState
from rainpick.decisions.table_assignment import DEFAULT_TABLES
from rainpick.decisions.tables import Table
from rainpick.model import SetWeight, SetWithdrawn

TAKEOVER_FRACTION = 0.5  # of the span written ahead: binds that take more are a takeover
DEFERRED_GRACE_FRACTION = 0.8  # of the grace that a deferred withdrawal leaves proxies to their binds
DEADLINES = 8  # parts of the grace in which deadlines count as the same: the busiest proxies go first

ServersByTable = dict[Table, list[ServerState]]


class Withdrawals:
    """Owns whether a takeover is under way: more proxies wait to be bound than can be at once."""

    def __init__(self, fleet: Fleet, publisher: Publisher):
        self.fleet = fleet
        self.publisher = publisher
        self.is_takeover = False

    def publish(self) -> set[Table]:
        """Withdraw what drains, is gone or ejected; returns the tables that still use one that drains."""
        claims = self.publisher.claims
        closing = [
            server
            for server in self.fleet.servers.values()
            if server.percentage <= 0 and not server.withdrawn
        ]
        self.is_takeover = self.binds_exceed_span()
        self.withdraw_ending([server for server in closing if server.is_ending])
        self.remove_without_waiting_proxies(claims.drain)
        # Ejections, and what only a list that may be wrong calls gone, leave capacity and a message to
        # drains: a queue that they had filled let drains in one by one, each with the heads of its messages.
        others = [server for server in closing if not server.is_ending]
        for server in sorted(others, key=lambda server: server.presumed_gone):
            self.withdraw(server, claims.ejection)
        return set(self.ending_by_table())

    def withdraw_ending(self, ending: list[ServerState]) -> None:
        """Withdraw servers that drain or are gone; in a takeover those in tables wait for their deadlines."""
        now, grace_us = self.fleet.clock.now, self.fleet.settings.drain_grace_us
        behind = any(server.withdrawal_deferred and server.published_weights for server in ending)
        for server in ending:
            overdue = now - server.drain_started_us > DEFERRED_GRACE_FRACTION * grace_us
            deferred = self.is_takeover and not overdue or behind and bool(server.published_weights)
            server.withdrawal_deferred = deferred or not self.withdraw(server, self.publisher.claims.drain)
            behind = behind or server.withdrawal_deferred

    def binds_exceed_span(self) -> bool:
        """Whether binding the proxies that wait takes more than half of what is written ahead."""
        settings, publisher = self.fleet.settings, self.publisher
        table_lines = DEFAULT_TABLES * (settings.default_table_size or 0)
        lines = publisher.head_lines + 1 + len(settings.routes) + table_lines
        return len(self.fleet.unbound_proxies()) * lines > TAKEOVER_FRACTION * publisher.queue.span

    def withdraw(self, server: ServerState, claim: Claim) -> bool:
        """Withdraw a server from all who may use it; False if there is no capacity.

        Where nobody is known to use it no command is given: it would be a message to each proxy that has
        joined but is not known yet, and those are bound without it.
        """
        address, gone = server.endpoint.address, server.status == GONE
        tables = [table for table in server.tables if table.number in server.published_weights]
        holders = self.fleet.unbound_holders(server)
        commands: list[TableCommand] = [SetWithdrawn(address, True)]
        if gone:
            commands += [SetWeight(table.number, address, 0.0) for table in tables]
        if server.withdrawal_deferred and not tables and not any(group.proxies for group in holders):
            commands = []
        if not self.publisher.write(commands, [*tables, *holders], 1 + gone, claim):
            return False
        server.withdrawn = True
        if gone:
            server.published_weights = {}
        return True

    def ending_by_table(self) -> ServersByTable:
        """By table, the servers that drain or are gone and that its proxies still use."""
        return self.by_table(
            server
            for server in self.fleet.servers.values()
            if server.percentage <= 0 and not server.withdrawn and server.is_ending
        )

    def withdrawn_by_table(self) -> ServersByTable:
        """By table, the withdrawn servers that drain or are gone: a bind carries two lines for each."""
        return self.by_table(
            server
            for server in self.fleet.servers.values()
            if server.withdrawn and server.status in (GONE, DRAINING)
        )

    @staticmethod
    def by_table(servers: Iterable[ServerState]) -> ServersByTable:
        """Servers by each table that has published them."""
        result: ServersByTable = defaultdict(list)
        for server in servers:
            for table in server.tables:
                if table.number in server.published_weights:
                    result[table].append(server)
        return result

    def deadline(self, ending: Sequence[ServerState], waiting: Sequence[ProxyState]) -> int:
        """In which part of the grace a table is due: for what it uses, and for those who wait for it."""
        since_us = [server.drain_started_us for server in ending] + [proxy.joined_us for proxy in waiting]
        return int(min(since_us) // (self.fleet.settings.drain_grace_us / DEADLINES))

    def remove_without_waiting_proxies(self, claim: Claim) -> None:
        """While no proxy waits: remove ending servers from tables, the earliest deadline first."""
        if self.fleet.unbound_proxies():
            return
        ending = self.ending_by_table()
        for table in sorted(ending, key=lambda table: (self.deadline(ending[table], ()), table.number)):
            self.remove(table, ending[table], claim)

    def remove(self, table: Table, servers: Sequence[ServerState], claim: Claim) -> bool:
        """Remove servers from a table, all in one message for each proxy; False if there is no capacity."""
        commands = [SetWeight(table.number, server.endpoint.address, 0.0) for server in servers]
        if not self.publisher.write(commands, [table], len(commands), claim):
            return False
        for server in servers:
            server.published_weights.pop(table.number)
        return True

    def channel_state(self) -> ChannelState:
        """How full the send queue is, and how near what is still due comes to its deadline."""
        unbound, ending = self.fleet.unbound_proxies(), self.ending_by_table()
        since_us = [proxy.joined_us for proxy in unbound]
        since_us += [server.drain_started_us for group in ending.values() for server in group]
        now, queue = self.fleet.clock.now, self.publisher.queue
        return ChannelState(
            waiting=queue.waiting,
            backlog=queue.backlog(),
            limit=queue.limit,
            ahead=queue.span,
            unbound=len(unbound),
            drains=len(ending),
            grace_used=(now - min(since_us, default=now)) / self.fleet.settings.drain_grace_us,
            takeover=self.is_takeover,
        )
