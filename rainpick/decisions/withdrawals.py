"""Withdraws draining, gone and ejected servers, so that no proxy uses one longer than the drain grace.

Withdrawals are published at once while the send window has capacity for all proxies that they reach.
Otherwise each table removes its draining servers when its deadline comes, all in one message. This saves
lines: proxies that are bound soon need not be sent the withdrawals, and each proxy of the table is sent fewer
message heads.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.proxies import ProxyState
from rainpick.decisions.publisher import Publisher, TableCommand
from rainpick.decisions.send_queue import ChannelState, Quota
from rainpick.decisions.servers import DRAINING, GONE, ServerState
from rainpick.decisions.table_assignment import TABLE_SIZE_MULTIPLE
from rainpick.decisions.tables import Table
from rainpick.model import SetWeight, SetWithdrawn

TAKEOVER_FRACTION = 0.5  # binds that take more than this fraction of the send window are a takeover
DEFERRED_GRACE_FRACTION = 0.8  # of the drain grace for which a withdrawal is deferred in favour of binds
DEADLINE_CLASSES = 8  # per drain grace; within one deadline class the busiest proxies go first

ServersByTable = dict[Table, list[ServerState]]


class Withdrawals:
    """Publishes withdrawals; owns the takeover state: more proxies are unbound than can be bound at once."""

    def __init__(self, fleet: Fleet, publisher: Publisher):
        self.fleet = fleet
        self.publisher = publisher
        self.is_takeover = False

    def publish(self) -> set[Table]:
        """Withdraw draining, gone and ejected servers; return the tables that still use a terminating one."""
        quotas = self.publisher.quotas
        unpublished = [
            server
            for server in self.fleet.servers.values()
            if server.percentage <= 0 and not server.withdrawn
        ]
        self.is_takeover = self.binds_exceed_window()
        self.withdraw_terminating([server for server in unpublished if server.is_terminating])
        self.remove_terminating(quotas.drain)
        # Ejections, and servers that only a possibly wrong list reports as gone, leave capacity and a message
        # to drains. When they filled the queue, drains went out one by one, each with its own message heads.
        others = [server for server in unpublished if not server.is_terminating]
        for server in sorted(others, key=lambda server: server.presumed_gone):
            self.withdraw(server, quotas.ejection)
        return set(self.terminating_by_table())

    def withdraw_terminating(self, terminating: list[ServerState]) -> None:
        """Withdraw servers that are draining or gone.

        In a takeover servers in tables wait for their deadlines.
        """
        now, grace_us = self.fleet.clock.now, self.fleet.settings.drain_grace_us
        earlier_deferred = any(
            server.withdrawal_deferred and server.published_weights for server in terminating
        )
        for server in terminating:
            overdue = now - server.drain_started_us > DEFERRED_GRACE_FRACTION * grace_us
            deferred = self.is_takeover and not overdue or earlier_deferred and bool(server.published_weights)
            server.withdrawal_deferred = deferred or not self.withdraw(server, self.publisher.quotas.drain)
            earlier_deferred = earlier_deferred or server.withdrawal_deferred

    def binds_exceed_window(self) -> bool:
        """Return whether binding all unbound proxies takes more than half of the send window."""
        settings, publisher = self.fleet.settings, self.publisher
        table_lines = TABLE_SIZE_MULTIPLE * (settings.default_table_size or 0)
        lines = publisher.head_lines + 1 + len(settings.routes) + table_lines
        return len(self.fleet.unbound_proxies()) * lines > TAKEOVER_FRACTION * publisher.queue.window

    def withdraw(self, server: ServerState, quota: Quota) -> bool:
        """Withdraw a server from all proxies that may use it; returns False if there is no capacity.

        If no known proxy uses it, no command is published: it would cost a message to each proxy that has
        joined but is not known yet, and those proxies are bound without the server.
        """
        address, gone = server.endpoint.address, server.status == GONE
        tables = [table for table in server.tables if table.number in server.published_weights]
        holders = self.fleet.unbound_holders(server)
        commands: list[TableCommand] = [SetWithdrawn(address, True)]
        if gone:
            commands += [SetWeight(table.number, address, 0.0) for table in tables]
        if server.withdrawal_deferred and not tables and not any(group.proxies for group in holders):
            commands = []
        if not self.publisher.write(commands, [*tables, *holders], 1 + gone, quota):
            return False
        server.withdrawn = True
        if gone:
            server.published_weights = {}
        return True

    def terminating_by_table(self) -> ServersByTable:
        """Return, by table, the draining or gone servers that its proxies still use."""
        return self.by_table(
            server
            for server in self.fleet.servers.values()
            if server.percentage <= 0 and not server.withdrawn and server.is_terminating
        )

    def withdrawn_by_table(self) -> ServersByTable:
        """Return, by table, withdrawn servers that are draining or gone; a bind has two lines for each."""
        return self.by_table(
            server
            for server in self.fleet.servers.values()
            if server.withdrawn and server.status in (GONE, DRAINING)
        )

    @staticmethod
    def by_table(servers: Iterable[ServerState]) -> ServersByTable:
        """Group servers by each table in which they are published."""
        result: ServersByTable = defaultdict(list)
        for server in servers:
            for table in server.tables:
                if table.number in server.published_weights:
                    result[table].append(server)
        return result

    def deadline(self, terminating: Sequence[ServerState], waiting: Sequence[ProxyState]) -> int:
        """Return the deadline class of a table: of its terminating servers and the proxies waiting for it."""
        since_us = [server.drain_started_us for server in terminating] + [
            proxy.joined_us for proxy in waiting
        ]
        return int(min(since_us) // (self.fleet.settings.drain_grace_us / DEADLINE_CLASSES))

    def remove_terminating(self, quota: Quota) -> None:
        """Remove terminating servers from tables, the earliest deadline first, unless proxies are unbound."""
        if self.fleet.unbound_proxies():
            return
        terminating = self.terminating_by_table()
        for table in sorted(
            terminating, key=lambda table: (self.deadline(terminating[table], ()), table.number)
        ):
            self.remove(table, terminating[table], quota)

    def remove(self, table: Table, servers: Sequence[ServerState], quota: Quota) -> bool:
        """Remove servers from a table in one message to each proxy; returns False if there is no capacity."""
        commands = [SetWeight(table.number, server.endpoint.address, 0.0) for server in servers]
        if not self.publisher.write(commands, [table], len(commands), quota):
            return False
        for server in servers:
            server.published_weights.pop(table.number)
        return True

    def channel_state(self) -> ChannelState:
        """Return the load of the send queue, and how near pending drains and binds are to their deadlines."""
        unbound, terminating = self.fleet.unbound_proxies(), self.terminating_by_table()
        since_us = [proxy.joined_us for proxy in unbound]
        since_us += [server.drain_started_us for group in terminating.values() for server in group]
        now, queue = self.fleet.clock.now, self.publisher.queue
        return ChannelState(
            waiting=queue.waiting,
            backlog=queue.backlog(),
            limit=queue.limit,
            ahead=queue.window,
            unbound=len(unbound),
            drains=len(terminating),
            grace_used=(now - min(since_us, default=now)) / self.fleet.settings.drain_grace_us,
            takeover=self.is_takeover,
        )
