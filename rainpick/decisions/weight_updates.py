"""Publishes weights: of empty tables, of servers that warm up, and the steps of slow start in batches."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.proxies import ProxyGroup
from rainpick.decisions.publisher import Publisher, TableCommand
from rainpick.decisions.send_queue import Claim
from rainpick.decisions.servers import GONE, ServerState
from rainpick.decisions.table_assignment import TableAssignment
from rainpick.decisions.tables import Table
from rainpick.model import SetWeight, SetWithdrawn

LOWERED_MULTIPLE = 1.5  # a published weight over so many times the wanted one is lowered without delay


def served_tables(servers: Iterable[ServerState]) -> set[int]:
    """The numbers of the tables in which some of these servers is published and not withdrawn."""
    return {number for server in servers if not server.withdrawn for number in server.published_weights}


class WeightUpdates:
    """Brings published weights up to the wanted ones, as the send queue allows."""

    def __init__(self, fleet: Fleet, assignment: TableAssignment, publisher: Publisher):
        self.fleet = fleet
        self.assignment = assignment
        self.publisher = publisher
        self.pending_readmissions: list[ServerState] = []
        self.pending_tables: list[Table] = []  # that are due new weights, in turn
        self.batch_due = False  # all tables are due new weights in this tick

    def schedule(self) -> None:
        """Once a tick: all tables are due their new weights."""
        self.pending_readmissions = list(self.fleet.servers.values())
        self.batch_due = True

    def fill_empty_tables(self, served: Collection[int], claim: Claim) -> None:
        """Publish what a table should hold that has no server; ``served``: numbers of those that have one."""
        for server in self.fleet.servers.values():
            empty = [table for table in server.tables if table.used and table.number not in served]
            if empty:
                self.publish(server, claim, empty)

    def protect_warming_servers(
        self,
        warm: Collection[ServerState],
        served: Collection[int],
        served_warm: Collection[int],
        overdue: Collection[Table],
    ) -> None:
        """Lower weights without waiting for the tick, and bring warm servers to tables that have none.

        ``served`` and ``served_warm`` are the numbers of tables that have a server, or a warm one;
        ``overdue`` are tables that still use one that drains.
        """
        for server in [server for server in self.fleet.servers.values() if server.percentage]:
            # A table that nobody uses need not be sent a server that is not to be readmitted.
            without_warm = [
                table
                for table in server.tables
                if server in warm and table.number not in served_warm and (table.used or server.withdrawn)
            ]
            lowered = [table for table in server.tables if self.is_lowered(server, table)]
            # They may use what is kept for drains, all in one message, and each table as it can: half a zone
            # was back in a second, sent in six pieces, and waited for all of its tables' proxies at once. So
            # may warm weights for a table of servers that warm up: it waited 3 s, and then the other zone
            # was lost.
            for table in dict.fromkeys((*lowered, *without_warm)):
                urgent = table in without_warm and table.number in served
                deferrable = table in overdue or server in warm and not urgent
                claims = self.publisher.claims
                self.publish(server, claims.ejection if deferrable else claims.rule, [table])

    def is_lowered(self, server: ServerState, table: Table) -> bool:
        """Whether the wanted weight of a server is far under the published one."""
        published = server.published_weights.get(table.number, 0.0)
        limit = LOWERED_MULTIPLE * self.assignment.weight(server, table)
        return not server.withdrawn and published > limit

    def wanted_weights(self, server: ServerState, only: Sequence[Table] | None) -> dict[int, float]:
        """The weights of a server by table once it is published, if it is in use in ``only`` some tables."""
        wanted = {}
        for table in server.tables:
            weight = self.assignment.weight(server, table) if table.used else 0.0
            if weight:
                wanted[table.number] = weight
        if only is None or server.withdrawn:
            return wanted
        # Other tables keep what they have: laying a table for proxies that just joined must not bring
        # updates forward in all others, which waited in the channel before the binds of a lost director's.
        numbers = {table.number for table in only}
        weights = {number: weight for number, weight in wanted.items() if number in numbers}
        return weights | {
            number: weight for number, weight in server.published_weights.items() if number not in numbers
        }

    def publish(self, server: ServerState, claim: Claim, only: Sequence[Table] | None = None) -> bool:
        """Send tables the weight of a server, readmit it if it was withdrawn; False if there is no capacity.

        The weights of one that drained and is gone go, too: a deployment would fill tables with them, and
        each is two lines of a bind: binding the proxies of a lost director took longer than the grace.
        """
        removable = server.withdrawn and server.status == GONE
        readmitted = server.withdrawn and server.status != GONE
        if not server.percentage and not removable:
            return True
        wanted = self.wanted_weights(server, only)
        stale = [
            table
            for table in server.tables
            if wanted.get(table.number) != server.published_weights.get(table.number)
        ]
        if not stale and not readmitted:
            return True
        address = server.endpoint.address
        commands: list[TableCommand] = [
            SetWeight(table.number, address, wanted.get(table.number, 0.0)) for table in stale
        ]
        groups: list[ProxyGroup] = list(stale)
        if readmitted:
            commands.append(SetWithdrawn(address, False))
            groups = [table for table in server.tables if table.number in wanted or table in stale]
            groups += self.fleet.unbound_holders(server)
        if not self.publisher.write(commands, groups, 1 + readmitted, claim):
            return False
        server.withdrawn = removable
        server.published_weights = wanted
        return True

    def publish_batch(self, claim: Claim) -> None:
        """Readmit servers, and send tables their new weights, all of a table in one message.

        The tables take turns: where the queue has no capacity for all of them each gets its message in time.
        """
        self.pending_readmissions = [
            server
            for server in self.pending_readmissions
            if server.withdrawn and server.percentage and not self.publish(server, claim)
        ]
        stale = self.stale_weights()
        if self.batch_due:
            self.batch_due = False
            pending = self.pending_tables
            pending += [table for table in self.fleet.tables if table not in pending]
        self.pending_tables = [
            table
            for table in self.pending_tables
            if table in stale and not self.publish_table(table, stale[table], claim)
        ]

    def stale_weights(self) -> dict[Table, dict[ServerState, float]]:
        """By table, the servers whose published weight is not the wanted one, with that."""
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

    def publish_table(self, table: Table, weights: dict[ServerState, float], claim: Claim) -> bool:
        """Send a table new weights in one message; False if there is no capacity."""
        commands = [
            SetWeight(table.number, server.endpoint.address, weight) for server, weight in weights.items()
        ]
        if not self.publisher.write(commands, [table], len(commands), claim):
            return False
        for server, weight in weights.items():
            if weight:
                server.published_weights[table.number] = weight
            else:
                del server.published_weights[table.number]
        return True
