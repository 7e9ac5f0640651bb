"""Publishes weights of servers in tables.

Servers for empty tables, weights that have to fall at once and warm servers for tables that have none are
published in any step; all other changes, such as the steps of a slow start, in batches once a tick.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Sequence

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.proxies import ProxyGroup
from rainpick.decisions.publisher import Publisher, TableCommand
from rainpick.decisions.send_queue import Quota
from rainpick.decisions.servers import GONE, ServerState
from rainpick.decisions.table_assignment import TableAssignment
from rainpick.decisions.tables import Table
from rainpick.decisions.zone_coverage import Coverage
from rainpick.model import SetWeight, SetWithdrawn

IMMEDIATE_LOWERING_MULTIPLE = 1.5  # a published weight above this multiple of the target is lowered at once


class WeightUpdates:
    """Updates published weights to the target weights, as far as the send queue allows."""

    def __init__(self, fleet: Fleet, assignment: TableAssignment, publisher: Publisher):
        self.fleet = fleet
        self.assignment = assignment
        self.publisher = publisher
        self.pending_readmissions: list[ServerState] = []
        # Tables whose new weights are not published yet, in the order in which they became pending.
        self.pending_tables: list[Table] = []
        self.batch_due = False  # whether all tables are to be added to pending_tables

    def schedule(self) -> None:
        """Schedule weight updates of all tables; called once a tick."""
        self.pending_readmissions = list(self.fleet.servers.values())
        self.batch_due = True

    def fill_empty_tables(self, coverage: Coverage, quota: Quota) -> None:
        """Publish servers to used tables without servers, or without one of a zone that they need."""
        for server in self.fleet.servers.values():
            empty = [table for table in server.tables if table.used and coverage.lacks(table, server)]
            if empty:
                self.publish(server, quota, empty)

    def protect_warming_servers(
        self,
        warm: Collection[ServerState],
        coverage: Coverage,
        warm_coverage: Coverage,
        draining_tables: Collection[Table],
    ) -> None:
        """Lower excessive weights before the next tick, and publish warm servers to tables that have none.

        ``coverage`` is that by all servers, ``warm_coverage`` that by warm ones. ``draining_tables`` are the
        tables in which a terminating server is still published.
        """
        for server in [server for server in self.fleet.servers.values() if server.percentage]:
            # An unused table needs no warm server, unless the server has to be readmitted anyway.
            without_warm = [
                table
                for table in server.tables
                if server in warm and warm_coverage.lacks(table, server) and (table.used or server.withdrawn)
            ]
            lowered = [table for table in server.tables if self.is_lowered(server, table)]
            # Lowered weights of servers that warm up may use the message and the capacity reserved for
            # drains, and each table is sent a message as soon as its own proxies can receive it. Without
            # this, half a zone that returned within a second, in six list updates, waited until all proxies
            # of its tables could receive a message. A warm server for a table that has only servers that warm
            # up may use the reserve as well: such a table once waited 3 s, and then the other zone was lost.
            # In a table with a terminating server, the reserve is left to the removal of that server.
            for table in dict.fromkeys((*lowered, *without_warm)):
                urgent = table in without_warm and table.number in coverage.tables
                deferrable = table in draining_tables or server in warm and not urgent
                quotas = self.publisher.quotas
                self.publish(server, quotas.ejection if deferrable else quotas.rule, [table])

    def is_lowered(self, server: ServerState, table: Table) -> bool:
        """Return whether the published weight exceeds ``IMMEDIATE_LOWERING_MULTIPLE`` times the target.

        Never true for a withdrawn server.
        """
        published = server.published_weights.get(table.number, 0.0)
        limit = IMMEDIATE_LOWERING_MULTIPLE * self.assignment.weight(server, table)
        return not server.withdrawn and published > limit

    def target_weights(self, server: ServerState, only: Sequence[Table] | None) -> dict[int, float]:
        """Return the weights that a server will have after it is published, by table number.

        If ``only`` is None or the server is withdrawn, it gets its target weight in all its tables. Otherwise
        it gets its target weight only in the tables in ``only``.
        """
        target = {}
        for table in server.tables:
            weight = self.assignment.weight(server, table) if table.used else 0.0
            if weight:
                target[table.number] = weight
        if only is None or server.withdrawn:
            return target
        # The server keeps its published weights in other tables: filling a table for proxies that have just
        # joined must not cause early updates of all other tables. Such updates once waited in the channel
        # ahead of the binds of a failed director's proxies.
        numbers = {table.number for table in only}
        weights = {number: weight for number, weight in target.items() if number in numbers}
        return weights | {
            number: weight for number, weight in server.published_weights.items() if number not in numbers
        }

    def publish(self, server: ServerState, quota: Quota, only: Sequence[Table] | None = None) -> bool:
        """Publish the weights of a server to tables, and readmit it if it was withdrawn.

        Returns False if there is no capacity, True also if nothing has to be published. A gone server that is
        withdrawn is removed from its tables instead. During a deployment such servers would otherwise fill
        the tables, and each takes two lines of a bind: binding the proxies of a failed director once took
        longer than the drain grace.
        """
        removable = server.withdrawn and server.status == GONE
        readmitted = server.withdrawn and server.status != GONE
        if not server.percentage and not removable:
            return True
        target = self.target_weights(server, only)
        stale = [
            table
            for table in server.tables
            if target.get(table.number) != server.published_weights.get(table.number)
        ]
        if not stale and not readmitted:
            return True
        address = server.endpoint.address
        commands: list[TableCommand] = [
            SetWeight(table.number, address, target.get(table.number, 0.0)) for table in stale
        ]
        groups: list[ProxyGroup] = list(stale)
        if readmitted:
            commands.append(SetWithdrawn(address, False))
            groups = [table for table in server.tables if table.number in target or table in stale]
            groups += self.fleet.unbound_holders(server)
        if not self.publisher.write(commands, groups, 1 + readmitted, quota):
            return False
        server.withdrawn = removable
        server.published_weights = target
        return True

    def publish_batch(self, quota: Quota) -> None:
        """Readmit servers, and publish the new weights of each table in one message.

        If the queue has no capacity for all tables, the remaining ones come first in the next batch, so that
        each table is updated eventually.
        """
        self.pending_readmissions = [
            server
            for server in self.pending_readmissions
            if server.withdrawn and server.percentage and not self.publish(server, quota)
        ]
        stale = self.stale_weights()
        if self.batch_due:
            self.batch_due = False
            pending = self.pending_tables
            pending += [table for table in self.fleet.tables if table not in pending]
        self.pending_tables = [
            table
            for table in self.pending_tables
            if table in stale and not self.publish_table(table, stale[table], quota)
        ]

    def stale_weights(self) -> dict[Table, dict[ServerState, float]]:
        """Return, by table, the servers whose published weight differs from the target, with target weights.

        Servers that are withdrawn or have to be are not included, except gone ones, whose target weight is 0.
        """
        stale: dict[Table, dict[ServerState, float]] = defaultdict(dict)
        for server in self.fleet.servers.values():
            removable = server.withdrawn and server.status == GONE
            if not removable and (not server.percentage or server.withdrawn):
                continue
            for table in server.tables:
                in_use = table.used and not removable
                weight = self.assignment.weight(server, table) if in_use else 0.0
                if weight != server.published_weights.get(table.number, 0.0):
                    stale[table][server] = weight
        return stale

    def publish_table(self, table: Table, weights: dict[ServerState, float], quota: Quota) -> bool:
        """Publish new weights in a table in one message; returns False if there is no capacity."""
        commands = [
            SetWeight(table.number, server.endpoint.address, weight) for server, weight in weights.items()
        ]
        if not self.publisher.write(commands, [table], len(commands), quota):
            return False
        for server, weight in weights.items():
            if weight:
                server.published_weights[table.number] = weight
            else:
                del server.published_weights[table.number]
        return True
