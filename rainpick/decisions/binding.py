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

    def publish(self) -> None:
        """Bind as many proxies as the send queue has capacity for."""
        waiting: dict[Table, list[ProxyState]] = defaultdict(list)
        for proxy in self.fleet.unbound_proxies():
            waiting[self.assignment.home_table(proxy)].append(proxy)
        if not waiting:
            return
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
