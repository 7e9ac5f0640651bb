"""Admission rates and retry policies by table and route, from ``SetAdmission`` commands. Does no I/O."""

from __future__ import annotations

from typing import NamedTuple

from rainpick import model


class Admission(NamedTuple):
    """A route's admission rate, in the unit that ``proxies.admit`` selects, and its retry policy."""

    rate: float
    retry_policy: int


class RouteAdmission(NamedTuple):
    """The admission rate and the retry policy of the route with this index."""

    route: int
    rate: float
    retry_policy: int


class AdmissionRates:
    """The admissions set for single tables, and those set for all tables at once (key ``ALL_TABLES``)."""

    def __init__(self) -> None:
        self.by_table: dict[int, dict[int, Admission]] = {}  # by table, then by route index

    def set(self, command: model.SetAdmission, route_count: int) -> int:
        """Apply a command; return the number of routes that it affects.

        The bit mask ``command.routes`` selects the routes; 0 stands for all of them.
        """
        admissions = self.by_table.setdefault(command.table, {})
        affected = [
            route for route in range(route_count) if not command.routes or command.routes >> route & 1
        ]
        for route in affected:
            admissions[route] = Admission(command.rate, command.retry_policy)
        return len(affected)

    def get(self, table: int | None, route: int) -> Admission | None:
        """Return the admission that applies to a route in a table; None if no command has set one.

        If one is set for the table and one for all tables, the lower of their rates applies, with the retry
        policy of the one for the table.
        """
        specific = self.by_table.get(table, {}).get(route) if table is not None else None
        common = self.by_table.get(model.ALL_TABLES, {}).get(route)
        if specific is None or common is None:
            return specific or common
        return Admission(min(specific.rate, common.rate), specific.retry_policy)

    def of_table(self, table: int | None) -> tuple[RouteAdmission, ...]:
        """Return the admissions that apply to a table (None: to unbound proxies), sorted by route."""
        routes = sorted({route for admissions in self.by_table.values() for route in admissions})
        admissions = [(route, self.get(table, route)) for route in routes]
        return tuple([RouteAdmission(route, *found) for route, found in admissions if found is not None])
