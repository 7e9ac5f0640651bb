"""Creates tables, assigns servers to tables, and selects the table of each proxy.

The number and the zones of the tables depend only on the settings and the endpoint list, so that all
directors of a zone create the same tables.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection
from functools import partial
from zlib import crc32

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.locality import Locality
from rainpick.decisions.proxies import ProxyState
from rainpick.decisions.servers import GONE, READY, ServerState
from rainpick.decisions.tables import Table, TableZone

PROXIES_PER_TABLE = 7  # expected proxies for each table; with fewer in total there is a single table
TABLE_SIZE_MULTIPLE = 2.5  # servers in a table, as a multiple of those in the default table of a proxy
CROSS_ZONE_PENALTY_MIN = 0.03  # with a smaller penalty, tables serve all zones
TABLES_PER_SERVER_MIN = 2  # minimum number of tables of each server, unless there are too few tables
UNDERFILLED_FRACTION = 0.5  # a table below this fraction of the mean usable weight gets more servers
UNLIMITED_SERVERS = 1e9


def tie_break(server: ServerState, number: int) -> int:
    """Return a hash that orders servers in the same way in every process, but differently for each number."""
    return crc32(b"%d %s" % (number, repr(server.endpoint.address).encode()))


class AssignedWeights:
    """The total weights of the servers that are assigned to tables."""

    def __init__(self) -> None:
        self.usable: dict[Table, float] = defaultdict(float)  # total target weight by table
        # Total listed weight by table, machine type, and whether the servers are in other zones.
        self.listed: dict[tuple[Table, int, bool], float] = defaultdict(float)


class TableAssignment:
    """Owns the tables and the assignment of servers to them."""

    def __init__(self, fleet: Fleet, locality: Locality):
        self.fleet = fleet
        self.locality = locality
        self.tables_by_zone: dict[int | None, list[Table]] = {}
        self.tables_per_server = 1
        # Zones of which a table needs a server, for routes that keep to the zone of the proxy.
        self.needed_zones: Collection[TableZone] = ()

    def create_tables(self) -> None:
        """Create the tables: for each zone, or else for all zones together, one or several.

        Called once, when the endpoint list is known.
        """
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

    def home_table(self, proxy: ProxyState) -> Table:
        """Return the table that a proxy is to be bound to."""
        group = self.tables_by_zone.get(proxy.zone) or self.fleet.tables
        return group[proxy.number % len(group)]

    def weight(self, server: ServerState, table: Table) -> float:
        """Return the target weight of a server in a table."""
        is_remote = self.locality.is_remote(server, table)
        if is_remote and self.needed_zones:
            is_remote = TableZone(table.number, server.endpoint.zone) not in self.needed_zones
        locality = self.locality.spill[table.zone] if is_remote else 1
        warming = 1 if server.is_warm else table.warming_fraction * server.concentration_factor
        return server.effective_weight() * locality * warming

    def update(self) -> None:
        """Assign new servers to tables, and add servers to tables that have lost much of their weight.

        Also marks the home tables of unbound proxies as used, and ends the assignment of gone servers that
        are withdrawn and published in no table.
        """
        for proxy in self.fleet.unbound_proxies():
            self.home_table(proxy).used = True
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
        for server in sorted(
            unassigned, key=lambda server: (server.endpoint.machine_type, tie_break(server, 0))
        ):
            self.assign(server, weights)
        self.fill_underfilled_tables(weights)

    def assign(self, server: ServerState, weights: AssignedWeights) -> None:
        """Assign a server to the tables with the least weight of its machine type.

        These are selected separately among the tables of the server's zone and among those of other zones.
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
        """Return the sort key of servers that may be added to a table; the last one is added first.

        Servers with a higher percentage come later; with equal percentages, those in fewer tables.
        """
        return server.percentage, -len(server.tables), tie_break(server, table.number)

    def fill_underfilled_tables(self, weights: AssignedWeights) -> None:
        """Add servers to tables whose usable weight is far below the mean of all tables.

        Servers with a high percentage are added first.
        """
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
                # A server whose target weight in this table is 0 counts with the mean usable weight of the
                # tables. Otherwise all other servers would be added as well.
                usable[table] += self.weight(server, table) or mean
