"""Binds proxies to their tables.

Tables with the earliest deadline are processed first, among these the tables with the busiest proxies. The
proxies of a table are bound in descending order of their request rate.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.proxies import ProxyState
from rainpick.decisions.publisher import Publisher
from rainpick.decisions.servers import ServerState
from rainpick.decisions.table_assignment import TableAssignment
from rainpick.decisions.tables import Table
from rainpick.decisions.withdrawals import Withdrawals


class Binding:
    """Binds the proxies that are not bound to a table yet.

    Each bind sends all servers of the table. Therefore terminating servers, which are draining or gone, are
    removed from a table before proxies are bound to it, and withdrawn servers if this saves lines.
    """

    def __init__(
        self, fleet: Fleet, assignment: TableAssignment, withdrawals: Withdrawals, publisher: Publisher
    ):
        self.fleet = fleet
        self.assignment = assignment
        self.withdrawals = withdrawals
        self.publisher = publisher
        # When a proxy was first left unbound for lack of capacity, or last bound while others were left.
        self.held_back_since_us: int | None = None

    def has_priority(self) -> bool:
        """Return whether binds precede all commands that no rule requires.

        They do if the send window has no capacity for the binds of all unbound proxies, and until all of them
        are bound, unless none could be bound for a drain grace. An unbound proxy may still use a draining
        server. It is told of ejections and admission rates by its bind; before, each is a message of its own
        to every unbound proxy that it reaches.
        """
        if self.held_back_since_us is None:
            return self.publisher.queue.window_capacity() < self.withdrawals.pending_bind_lines()
        held_back_us = self.fleet.clock.now - self.held_back_since_us
        return held_back_us < self.fleet.settings.drain_grace_us

    @property
    def is_held_back(self) -> bool:
        """Whether a proxy that may be sent a message was left unbound for lack of capacity."""
        return self.held_back_since_us is not None

    def publish(self) -> None:
        """Bind as many proxies as the send queue has capacity for."""
        unbound = self.fleet.unbound_proxies()
        if unbound:
            self.bind_all(unbound)
        left = self.fleet.unbound_proxies()
        if not any(self.publisher.available_messages(proxy) >= 1 for proxy in left):
            self.held_back_since_us = None
        elif self.held_back_since_us is None or len(left) < len(unbound):
            self.held_back_since_us = self.fleet.clock.now

    def bind_all(self, unbound: Sequence[ProxyState]) -> None:
        """Bind these proxies in the order of their urgency while the send queue has capacity."""
        waiting: dict[Table, list[ProxyState]] = defaultdict(list)
        for proxy in unbound:
            waiting[self.assignment.home_table(proxy)].append(proxy)
        quotas, withdrawals = self.publisher.quotas, self.withdrawals
        terminating, withdrawn = withdrawals.terminating_by_table(), withdrawals.withdrawn_by_table()
        sizes = self.table_lines()

        tables = waiting.keys() | terminating.keys()
        for table in sorted(
            tables, key=lambda table: self.urgency(table, waiting[table], terminating[table])
        ):
            if terminating[table] and withdrawals.remove(table, terminating[table], quotas.drain):
                sizes[table.number] -= len(terminating[table])
            if (
                withdrawn[table]
                and self.saves_lines(table, waiting[table])
                and withdrawals.remove(table, withdrawn[table], quotas.bind)
            ):
                sizes[table.number] -= 2 * len(withdrawn[table])
            self.bind_to(table, waiting[table], sizes[table.number])

    def urgency(
        self, table: Table, waiting: Sequence[ProxyState], terminating: Sequence[ServerState]
    ) -> tuple[int, float, int]:
        """Return the sort key of a table: its deadline class, then its highest rate of an unbound proxy."""
        busiest = max((proxy.request_rate for proxy in waiting), default=0.0)
        return self.withdrawals.deadline(terminating, waiting), -busiest, table.number

    def table_lines(self) -> Counter[int]:
        """Return, by table number, the lines of its servers in a bind: one for each, two if withdrawn."""
        servers = self.fleet.servers.values()
        sizes = Counter(number for server in servers for number in server.published_weights)
        sizes.update(number for server in servers if server.withdrawn for number in server.published_weights)
        return sizes

    def saves_lines(self, table: Table, waiting: Sequence[ProxyState]) -> bool:
        """Return whether removing a withdrawn server from a table takes fewer lines than binding with it.

        Always true during a takeover of the proxies of a failed director, because more of them are expected
        to join than those in ``waiting``.
        """
        lines = 1 if table.pending_lines else 1 + self.publisher.head_lines
        return self.withdrawals.is_takeover or len(table.proxies) * lines < 2 * len(waiting)

    def bind_to(self, table: Table, waiting: Sequence[ProxyState], table_lines: int) -> None:
        """Bind proxies to a table while there is capacity, in descending order of their request rate."""
        lines = self.publisher.head_lines + 1 + len(table.published_admission) + table_lines
        for proxy in sorted(waiting, key=lambda proxy: (-proxy.request_rate, proxy.number)):
            if self.publisher.can_bind(proxy, lines):
                self.publisher.bind(proxy, table, lines)
