"""Admission rates and retry policies by table and route, as the decisions ordered them. Free of I/O."""

from __future__ import annotations

from typing import NamedTuple

from rainpick import model


class Admission(NamedTuple):
    """Which fraction of a route's requests a proxy admits, and when it retries at another server."""

    rate: float
    retry_policy: int


class RouteAdmission(NamedTuple):
    """An admission with the index of its route."""

    route: int
    rate: float
    retry_policy: int


class AdmissionRates:
    """What was ordered for each table and for all tables together."""

    def __init__(self) -> None:
        self.by_table: dict[int, dict[int, Admission]] = {}  # then by route

    def set(self, order: model.SetAdmission, route_count: int) -> int:
        """Carry out an order; how many routes it concerns. Its ``routes`` is a bit set, 0 for all."""
        admissions = self.by_table.setdefault(order.table, {})
        concerned = [route for route in range(route_count) if not order.routes or order.routes >> route & 1]
        for route in concerned:
            admissions[route] = Admission(order.rate, order.retry_policy)
        return len(concerned)

    def get(self, table: int | None, route: int) -> Admission | None:
        """What holds for a route in a table: the lower rate, the table's own retry policy.

        None if nothing was ordered.
        """
        own = self.by_table.get(table, {}).get(route) if table is not None else None
        common = self.by_table.get(model.ALL_TABLES, {}).get(route)
        if own is None or common is None:
            return own or common
        return Admission(min(own.rate, common.rate), own.retry_policy)

    def of_table(self, table: int | None) -> tuple[RouteAdmission, ...]:
        """What holds in a table, by route."""
        routes = sorted({route for admissions in self.by_table.values() for route in admissions})
        admissions = [(route, self.get(table, route)) for route in routes]
        return tuple([RouteAdmission(route, *found) for route, found in admissions if found is not None])
