"""Which tables there are, which servers stand in which of them, and which proxy is bound to which.

Tables follow from settings and endpoint list alone, so that another director of the zone has the same.
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

PROXIES_PER_TABLE = 7  # with fewer there is one table for all
DEFAULT_TABLES = 2.5  # the servers of a table, in default tables of a proxy
CROSS_ZONE_PENALTY_MIN = 0.03  # tables are of one zone from this penalty on
TABLES_PER_SERVER_MIN = 2
THIN_FRACTION = 0.5  # a table under this part of the mean weight gets more servers
UNLIMITED_SERVERS = 1e9


def tie_break(server: ServerState, number: int) -> int:
    """An order of servers that is the same in every process, and another one for each number."""
    return crc32(b"%d %s" % (number, repr(server.endpoint.address).encode()))


class AssignedWeights:
    """Weights that stand in tables: usable ones by table, listed ones by table, machine type and locality."""

    def __init__(self) -> None:
        self.usable: dict[Table, float] = defaultdict(float)
        self.listed: dict[tuple[Table, int, bool], float] = defaultdict(float)


class TableAssignment:
    """Owns the tables and the servers in them."""

    def __init__(self, fleet: Fleet, locality: Locality):
        self.fleet = fleet
        self.locality = locality
        self.tables_by_zone: dict[int | None, list[Table]] = {}
        self.tables_per_server = 1

    def create_tables(self) -> None:
        """Create one table for all, or several; once, when the list is known."""
        settings, servers, tables = self.fleet.settings, self.fleet.servers, self.fleet.tables
        default_size = settings.default_table_size
        table_size = DEFAULT_TABLES * (UNLIMITED_SERVERS if default_size is None else default_size)
        count = settings.expected_proxies / PROXIES_PER_TABLE
        zones: list[int | None] = list({server.endpoint.zone: None for server in servers.values()}) or [None]
        enough = min(len(servers) / table_size, count) >= len(zones)
        if not enough or settings.cross_zone_penalty < CROSS_ZONE_PENALTY_MIN:
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
        """The table that a proxy is bound to."""
        group = self.tables_by_zone.get(proxy.zone) or self.fleet.tables
        return group[proxy.number % len(group)]

    def weight(self, server: ServerState, table: Table) -> float:
        """The weight of a server in a table, as it should be published."""
        locality = self.locality.spill[table.zone] if self.locality.is_remote(server, table) else 1
        warming = 1 if server.is_warm else table.warming_fraction * server.concentration_factor
        return server.effective_weight() * locality * warming

    def update(self) -> None:
        """Put new servers into tables, take those out that are gone, fill up tables that got thin."""
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
        self.fill_thin_tables(weights)

    def assign(self, server: ServerState, weights: AssignedWeights) -> None:
        """Put a server into the tables with the least of its machine type, of its own zone and of others."""
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
        """Tables with the least listed weight of a server's machine type come first."""
        listed = weights.listed[table, server.endpoint.machine_type, remote]
        return listed, tie_break(server, table.number)

    @staticmethod
    def reserve_order(table: Table, server: ServerState) -> tuple[float, int, int]:
        """Servers with a high percentage and in few tables come last, and are taken first."""
        return server.percentage, -len(server.tables), tie_break(server, table.number)

    def fill_thin_tables(self, weights: AssignedWeights) -> None:
        """Add servers to tables that have lost much of their weight, those with a high percentage first."""
        tables, usable = self.fleet.tables, weights.usable
        mean = sum(usable[table] for table in tables) / max(1, len(tables))
        for table in [table for table in tables if usable[table] < THIN_FRACTION * mean]:
            others = [
                server
                for server in self.fleet.servers.values()
                if server.percentage > 0 and table not in server.tables
            ]
            others.sort(key=partial(self.reserve_order, table))
            while others and usable[table] < THIN_FRACTION * mean:
                server = others.pop()
                server.tables.append(table)
                # One without a weight here would use up all others.
                usable[table] += self.weight(server, table) or mean
