"""Binds proxies to their tables, the earliest deadline first, then the busiest proxies."""

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
    """Binds the proxies that wait for a table.

    A table goes as a whole: what it uses that drains is removed before proxies are bound to it.
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
            waiting[self.assignment.home(proxy)].append(proxy)
        if not waiting:
            return
        claims, withdrawals = self.publisher.claims, self.withdrawals
        ending, withdrawn = withdrawals.ending_by_table(), withdrawals.withdrawn_by_table()
        sizes = self.table_lines()

        tables = waiting.keys() | ending.keys()
        for table in sorted(tables, key=lambda table: self.urgency(table, waiting[table], ending[table])):
            if ending[table] and withdrawals.remove(table, ending[table], claims.drain):
                sizes[table.number] -= len(ending[table])
            if (
                withdrawn[table]
                and self.saves_lines(table, waiting[table])
                and withdrawals.remove(table, withdrawn[table], claims.bind)
            ):
                sizes[table.number] -= 2 * len(withdrawn[table])
            self.bind_to(table, waiting[table], sizes[table.number])

    def urgency(
        self, table: Table, waiting: Sequence[ProxyState], ending: Sequence[ServerState]
    ) -> tuple[int, float, int]:
        """Tables with the earliest deadline come first, then those with the busiest proxy that waits."""
        busiest = max((proxy.request_rate for proxy in waiting), default=0.0)
        return self.withdrawals.deadline(ending, waiting), -busiest, table.number

    def table_lines(self) -> Counter[int]:
        """By table, the lines that a bind carries: its servers, and again those that are withdrawn."""
        servers = self.fleet.servers.values()
        sizes = Counter(number for server in servers for number in server.published_weights)
        sizes.update(number for server in servers if server.withdrawn for number in server.published_weights)
        return sizes

    def saves_lines(self, table: Table, waiting: Sequence[ProxyState]) -> bool:
        """Whether removing a server from a table costs less than binding proxies with it.

        In a takeover more proxies come than have joined so far.
        """
        lines = 1 if table.pending_lines else 1 + self.publisher.head_lines
        return self.withdrawals.is_takeover or len(table.proxies) * lines < 2 * len(waiting)

    def bind_to(self, table: Table, waiting: Sequence[ProxyState], table_lines: int) -> None:
        """Bind proxies to a table, the busiest first, while there is capacity."""
        lines = self.publisher.head_lines + 1 + len(table.published_admission) + table_lines
        for proxy in sorted(waiting, key=lambda proxy: (-proxy.request_rate, proxy.number)):
            if self.publisher.can_bind(proxy, lines):
                self.publisher.bind(proxy, table, lines)
