"""Withdraws draining, gone and ejected servers; no proxy may use a terminating one beyond the drain grace.

Terminating servers are those that are draining or gone. A withdrawal is published at once if the send window
has capacity for all proxies that may use the server. Otherwise it is deferred: all terminating servers of a
table are removed from the table in one message, tables with the earliest deadline first. This saves lines:
proxies that are bound later need no withdrawal, and each proxy of the table is sent fewer message heads.

When another director fails, its proxies join this one and have to be bound. During such a takeover,
withdrawals are deferred for most of the drain grace to leave the channel to the binds.
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

TAKEOVER_FRACTION = 0.5  # a takeover begins when the pending binds exceed this fraction of the send window
DEFERRED_GRACE_FRACTION = 0.8  # fraction of the drain grace for which a takeover defers a withdrawal
DEADLINE_CLASSES = 8  # deadline classes per drain grace; within a class the busiest proxies are bound first

ServersByTable = dict[Table, list[ServerState]]


class Withdrawals:
    """Publishes withdrawals, and detects takeovers.

    ``is_takeover`` is true while the binds of all unbound proxies exceed ``TAKEOVER_FRACTION`` of the send
    window.
    """

    def __init__(self, fleet: Fleet, publisher: Publisher):
        self.fleet = fleet
        self.publisher = publisher
        self.is_takeover = False

    def publish(self) -> set[Table]:
        """Withdraw terminating servers; return the tables that still have a terminating one."""
        self.is_takeover = self.binds_exceed_window()
        self.withdraw_terminating([server for server in self.unpublished() if server.is_terminating])
        self.remove_terminating(self.publisher.quotas.drain)
        return set(self.terminating_by_table())

    def publish_ejections(self) -> None:
        """Withdraw ejected servers, and servers that are only presumed gone.

        They leave queue capacity and one message to each proxy for drains. When they filled the queue, drains
        were sent one by one, each with its own message heads.
        """
        ejected = [server for server in self.unpublished() if not server.is_terminating]
        for server in sorted(ejected, key=lambda server: server.presumed_gone):
            self.withdraw(server, self.publisher.quotas.ejection)

    def unpublished(self) -> list[ServerState]:
        """Return the servers that have to be withdrawn and are not yet."""
        return [
            server
            for server in self.fleet.servers.values()
            if server.percentage <= 0 and not server.withdrawn
        ]

    def withdraw_terminating(self, terminating: list[ServerState]) -> None:
        """Withdraw terminating servers, or defer their withdrawals.

        During a takeover each withdrawal is deferred until ``DEFERRED_GRACE_FRACTION`` of the server's drain
        grace has passed. At any time, a withdrawal for which the send queue has no capacity is deferred.
        While the withdrawal of one server is deferred, so are those of all other servers that are published
        in tables, so that each table can remove these servers in one message.
        """
        now, grace_us = self.fleet.clock.now, self.fleet.settings.drain_grace_us
        earlier_deferred = any(
            server.withdrawal_deferred and server.published_weights for server in terminating
        )
        for server in terminating:
            overdue = now - self.used_since_us(server) > DEFERRED_GRACE_FRACTION * grace_us
            left_to_binds = server.withdrawal_deferred and not server.published_weights
            deferred = (self.is_takeover or left_to_binds) and not overdue
            deferred = deferred or earlier_deferred and bool(server.published_weights)
            server.withdrawal_deferred = deferred or not self.withdraw(server, self.publisher.quotas.drain)
            earlier_deferred = earlier_deferred or server.withdrawal_deferred

    def used_since_us(self, server: ServerState) -> int:
        """Return from when on the drain grace of a terminating server runs.

        If no table has the server, only unbound proxies may use it, from their joins on.
        """
        if server.published_weights:
            return server.drain_started_us
        holders = self.fleet.unbound_holders(server)
        joined_us = [proxy.joined_us for group in holders for proxy in group.proxies.values()]
        return max(server.drain_started_us, min(joined_us, default=0))

    def binds_exceed_window(self) -> bool:
        """Return whether the binds of all unbound proxies exceed ``TAKEOVER_FRACTION`` of the send window."""
        return self.pending_bind_lines() > TAKEOVER_FRACTION * self.publisher.queue.window

    def pending_bind_lines(self) -> float:
        """Return the number of lines that the binds of all unbound proxies take, with tables of full size."""
        settings, publisher = self.fleet.settings, self.publisher
        table_lines = TABLE_SIZE_MULTIPLE * (settings.default_table_size or 0)
        lines = publisher.head_lines + 1 + len(settings.routes) + table_lines
        return len(self.fleet.unbound_proxies()) * lines

    def withdraw(self, server: ServerState, quota: Quota) -> bool:
        """Withdraw a server from all proxies that may use it; returns False if there is no capacity.

        If the withdrawal was deferred and no joined proxy may use the server any more, the server is marked
        as withdrawn without a command. A command would cost a message to each proxy whose join has not
        reached the director yet, and the director binds such a proxy without the server anyway.
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
        """Return, by table, the terminating servers that are still published in it and not withdrawn."""
        return self.by_table(
            server
            for server in self.fleet.servers.values()
            if server.percentage <= 0 and not server.withdrawn and server.is_terminating
        )

    def withdrawn_by_table(self) -> ServersByTable:
        """Return, by table, the withdrawn servers to remove before a bind, in which each has two lines.

        These are draining and gone servers. During a takeover ejected servers are removed as well, although
        they have to be published again when they are readmitted.
        """
        return self.by_table(
            server
            for server in self.fleet.servers.values()
            if server.withdrawn and (self.is_takeover or server.status in (GONE, DRAINING))
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
        """Return the deadline class of a table; a lower class has an earlier deadline.

        It is determined by the earliest drain of its terminating servers or join of its unbound proxies.
        """
        since_us = [server.drain_started_us for server in terminating] + [
            proxy.joined_us for proxy in waiting
        ]
        return int(min(since_us) // (self.fleet.settings.drain_grace_us / DEADLINE_CLASSES))

    def remove_terminating(self, quota: Quota) -> None:
        """Remove terminating servers from tables, tables with the earliest deadline first.

        Does nothing while proxies are unbound: ``Binding`` then removes these servers before it binds.
        """
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
        """Return the state of the send queue, of binds and of drains, for logs and metrics."""
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
            silent_s=queue.silent_us() / 1e6,
            expired=self.publisher.expired_lines,
            suspended=queue.progress.suspended,
            uncertain=queue.uncertain.lines,
            written=dict(self.publisher.statistics.written),
            held_back=dict(self.publisher.statistics.held_back),
            unmatched=self.publisher.statistics.unmatched_acknowledgements,
        )
