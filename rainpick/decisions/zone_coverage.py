"""Keeps a server of the own zone in the table of each proxy for routes that may use no other zone.

Some routes may only use servers in the zone of the proxy. A table that has servers of other zones is not
empty, but its proxies of this zone have no server for such a route. If a zone has a warm server, one is kept
in use: the last one is not ejected, and each table with a proxy of the zone has one.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.servers import ServerState
from rainpick.decisions.table_assignment import TableAssignment
from rainpick.decisions.tables import Table, TableZone


class Coverage:
    """The tables in which any of some servers is published without being withdrawn, and in which zones."""

    def __init__(self, servers: Iterable[ServerState], needed: Collection[TableZone]):
        """``needed``: the zones of which a table needs a server of its own; none by default."""
        self.needed = needed
        self.tables: set[int] = set()
        self.zones: set[TableZone] = set()
        for server in servers:
            if server.withdrawn:
                continue
            self.tables.update(server.published_weights)
            if needed:
                zone = server.endpoint.zone
                self.zones.update(TableZone(number, zone) for number in server.published_weights)

    def lacks(self, table: Table, server: ServerState) -> bool:
        """Return whether a table has none of the servers, or none of the zone of ``server`` but needs one."""
        if table.number not in self.tables:
            return True
        pair = TableZone(table.number, server.endpoint.zone)
        return bool(self.needed) and pair in self.needed and pair not in self.zones


class ZoneCoverage:
    """Determines which tables need a server of which zone; none unless some routes keep to their zone."""

    def __init__(self, fleet: Fleet, assignment: TableAssignment):
        self.fleet = fleet
        self.assignment = assignment
        self.needed: set[TableZone] = set()

    def update(self) -> None:
        """Update the tables and zones of the joined proxies."""
        if self.fleet.settings.has_own_zone_routes:
            self.needed = self.assignment.needed_zones = {
                TableZone(self.assignment.home_table(proxy).number, proxy.zone)
                for proxy in self.fleet.proxies.values()
            }

    def is_needed(self, server: ServerState) -> bool:
        """Return whether the ejection of a server would leave a table without a warm server of its zone."""
        zone = server.endpoint.zone
        return any(
            TableZone(number, zone) in self.needed and not self.has_other(server, number)
            for number in server.published_weights
        )

    def has_other(self, server: ServerState, table: int) -> bool:
        """Return whether a table has another warm server of the same zone in use."""
        return any(
            other is not server
            and other.endpoint.zone == server.endpoint.zone
            and table in other.published_weights
            and not other.withdrawn
            and not other.ejected_until_us
            and self.fleet.is_warm(other)
            for other in self.fleet.servers.values()
        )

    def end_ejections(self, warm: Iterable[ServerState]) -> None:
        """End one ejection in each needed zone whose warm servers are all ejected, the first to end."""
        ejected: dict[int, list[ServerState]] = {}
        for server in warm:
            ejected.setdefault(server.endpoint.zone, []).append(server)
        for zone in {pair.zone for pair in self.needed}:
            servers = ejected.get(zone, [])
            if servers and all(server.ejected_until_us for server in servers):
                min(servers, key=lambda server: server.ejected_until_us).ejected_until_us = 0

    def assign(self) -> None:
        """Assign a server to each table that has none of a needed zone, a warm one if there is any."""
        for pair in sorted(self.needed):
            table = self.fleet.tables[pair.table]
            usable = [
                server
                for server in self.fleet.servers.values()
                if server.endpoint.zone == pair.zone and server.percentage > 0
            ]
            warm = [server for server in usable if server.is_warm]
            candidates = warm or usable
            if candidates and not any(table in server.tables for server in candidates):
                max(
                    candidates, key=lambda server: TableAssignment.reserve_order(table, server)
                ).tables.append(table)
