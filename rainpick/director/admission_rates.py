"""Admission rates and retry policies by table and route, as set by the decision module. Does no I/O."""

from __future__ import annotations

from typing import NamedTuple

from rainpick import model


class Admission(NamedTuple):
    """The fraction of a route's requests that a proxy admits, and its policy for retrying elsewhere."""

    rate: float
    retry_policy: int


class RouteAdmission(NamedTuple):
    """An admission with the index of its route."""

    route: int
    rate: float
    retry_policy: int


class AdmissionRates:
    """The admissions set for single tables and for all tables."""

    def __init__(self) -> None:
        self.by_table: dict[int, dict[int, Admission]] = {}  # then by route

    def set(self, command: model.SetAdmission, route_count: int) -> int:
        """Apply a command; return the number of affected routes. Its ``routes`` is a bit set, 0 for all."""
        admissions = self.by_table.setdefault(command.table, {})
        affected = [
            route for route in range(route_count) if not command.routes or command.routes >> route & 1
        ]
        for route in affected:
            admissions[route] = Admission(command.rate, command.retry_policy)
        return len(affected)

    def get(self, table: int | None, route: int) -> Admission | None:
        """Return the admission of a route in a table: the lower rate, and the table's own retry policy.

        None if no command has set one.
        """
        own = self.by_table.get(table, {}).get(route) if table is not None else None
        common = self.by_table.get(model.ALL_TABLES, {}).get(route)
        if own is None or common is None:
            return own or common
        return Admission(min(own.rate, common.rate), own.retry_policy)

    def of_table(self, table: int | None) -> tuple[RouteAdmission, ...]:
        """Return the admissions that apply to a table, sorted by route."""
        routes = sorted({route for admissions in self.by_table.values() for route in admissions})
        admissions = [(route, self.get(table, route)) for route in routes]
        return tuple([RouteAdmission(route, *found) for route, found in admissions if found is not None])
