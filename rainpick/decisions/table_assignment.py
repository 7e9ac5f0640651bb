"""Creates tables, assigns servers to tables, and selects the table of each proxy.

Tables depend on settings and endpoint list alone, so that all directors of a zone have the same ones.
"""

from __future__ import annotations

from collections import defaultdict
from functools import partial
from zlib import crc32

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.locality import Locality
from rainpick.decisions.proxies import ProxyState
from rainpick.decisions.servers import GONE, READY, ServerState
from rainpick.decisions.tables import Table

PROXIES_PER_TABLE = 7  # with fewer expected proxies there is one table for all
TABLE_SIZE_MULTIPLE = 2.5  # servers in a table relative to the default table of a proxy
CROSS_ZONE_PENALTY_MIN = 0.03  # from this penalty on each table is for one zone
TABLES_PER_SERVER_MIN = 2
UNDERFILLED_FRACTION = 0.5  # a table below this fraction of the mean weight gets more servers
UNLIMITED_SERVERS = 1e9


def tie_break(server: ServerState, number: int) -> int:
    """Return a hash that orders servers alike in every process, and differently for each number."""
    return crc32(b"%d %s" % (number, repr(server.endpoint.address).encode()))


class AssignedWeights:
    """Weights in tables: usable ones by table, listed ones by table, machine type and locality."""

    def __init__(self) -> None:
        self.usable: dict[Table, float] = defaultdict(float)
        self.listed: dict[tuple[Table, int, bool], float] = defaultdict(float)


class TableAssignment:
    """Owns the tables and the assignment of servers to them."""

    def __init__(self, fleet: Fleet, locality: Locality):
        self.fleet = fleet
        self.locality = locality
        self.tables_by_zone: dict[int | None, list[Table]] = {}
        self.tables_per_server = 1

    def create_tables(self) -> None:
        """Create one table for all proxies, or several; called once, when the endpoint list is known."""
        settings, servers, tables = self.fleet.settings, self.fleet.servers, self.fleet.tables
        default_size = settings.default_table_size
        table_size = TABLE_SIZE_MULTIPLE * (UNLIMITED_SERVERS if default_size is None else default_size)
        count = settings.expected_proxies / PROXIES_PER_TABLE
        zones: list[int | None] = list({server.endpoint.zone: None for server in servers.values()}) or [None]
        has_table_per_zone = min(len(servers) / table_size, count) >= len(zones)
        if not has_table_per_zone or settings.cross_zone_penalty < CROSS_ZONE_PENALTY_MIN:
            zones, count = [None], count / settings.directors
        per_zone = int(count / len(zones))
        total_size = per_zone * table_size * len(zones)
        self.tables_per_server = max(TABLES_PER_SERVER_MIN, round(total_size / max(1, len(servers))))
        if self.tables_per_server >= per_zone:
            per_zone = self.tables_per_server = 1
        for zone in zones if zones == [None] else sorted(zone for zone in zones if zone is not None):
            group = [Table(len(tables) + number, zone) for number in range(per_zone)]
            self.tables_by_zone[zone] = group
            tables += group

    def home(self, proxy: ProxyState) -> Table:
        """Return the table that a proxy is to be bound to."""
        group = self.tables_by_zone.get(proxy.zone) or self.fleet.tables
        return group[proxy.number % len(group)]

    def weight(self, server: ServerState, table: Table) -> float:
        """Return the weight of a server in a table that should be published."""
        locality = self.locality.spill[table.zone] if self.locality.is_remote(server, table) else 1
        warming = 1 if server.is_warm else table.warming_fraction * server.concentration_factor
        return server.effective_weight() * locality * warming

    def update(self) -> None:
        """Assign new servers to tables, remove gone ones, and refill tables that lost much weight."""
        for proxy in self.fleet.unbound_proxies():
            self.home(proxy).used = True
        weights, unassigned = AssignedWeights(), []
        for server in self.fleet.servers.values():
            if server.status == GONE and server.withdrawn and not server.published_weights:
                server.tables = []
            elif server.status == READY and not server.tables:
                unassigned.append(server)
            for table in server.tables:
                key = table, server.endpoint.machine_type, self.locality.is_remote(server, table)
                weights.listed[key] += server.endpoint.weight * (server.status != GONE)
                weights.usable[table] += self.weight(server, table)
        for server in sorted(unassigned, key=lambda it: (it.endpoint.machine_type, tie_break(it, 0))):
            self.assign(server, weights)
        self.fill_underfilled_tables(weights)

    def assign(self, server: ServerState, weights: AssignedWeights) -> None:
        """Assign a server to the tables with the least weight of its machine type.

        Tables of its own zone and tables of other zones are selected separately.
        """
        machine_type = server.endpoint.machine_type
        for remote in (False, True):
            group = [table for table in self.fleet.tables if self.locality.is_remote(server, table) == remote]
            group.sort(key=partial(self.fill_order, server, remote, weights))
            for table in group[: self.tables_per_server]:
                server.tables.append(table)
                weights.listed[table, machine_type, remote] += server.endpoint.weight
                weights.usable[table] += self.weight(server, table)

    @staticmethod
    def fill_order(
        server: ServerState, remote: bool, weights: AssignedWeights, table: Table
    ) -> tuple[float, int]:
        """Return a sort key: tables with the least listed weight of the server's machine type come first."""
        listed = weights.listed[table, server.endpoint.machine_type, remote]
        return listed, tie_break(server, table.number)

    @staticmethod
    def reserve_order(table: Table, server: ServerState) -> tuple[float, int, int]:
        """Return a sort key by which servers are taken from the end of the list.

        Servers with a high percentage and in few tables come last.
        """
        return server.percentage, -len(server.tables), tie_break(server, table.number)

    def fill_underfilled_tables(self, weights: AssignedWeights) -> None:
        """Add servers to tables that lost much of their weight, those with a high percentage first."""
        tables, usable = self.fleet.tables, weights.usable
        mean = sum(usable[table] for table in tables) / max(1, len(tables))
        for table in [table for table in tables if usable[table] < UNDERFILLED_FRACTION * mean]:
            others = [
                server
                for server in self.fleet.servers.values()
                if server.percentage > 0 and table not in server.tables
            ]
            others.sort(key=partial(self.reserve_order, table))
            while others and usable[table] < UNDERFILLED_FRACTION * mean:
                server = others.pop()
                server.tables.append(table)
                # A server without a weight in this table counts as the mean, else all others would be added.
                usable[table] += self.weight(server, table) or mean
