"""Shared tables: all proxies bound to a table use the same servers with the same weights."""

from __future__ import annotations

from typing import NamedTuple

from rainpick.decisions.proxies import ProxyGroup


class TableZone(NamedTuple):
    """A table and the zone of a proxy that is bound to it, or is to be."""

    table: int
    zone: int


class Table(ProxyGroup):
    """A table and the proxies that are bound to it; with ``zone`` None it serves all zones."""

    def __init__(self, number: int, zone: int | None):
        super().__init__()
        self.number = self.table_number = number
        self.zone = zone
        self.used = False  # whether any proxy has been bound to the table or is to be bound to it
        self.published_admission: dict[int, float] = {}  # published admission rate by route
        self.warm_weight = 0.0  # total listed weight of the table's warm servers in use
        self.peak_warm_weight = 1e-9  # maximum of warm_weight so far
        self.warming_fraction = 1.0  # factor for the percentage of servers that warm up
        # Proxies that will be bound to the table. They joined from another director, and may still use the
        # servers that it published in a table with this number.
        self.unbound = ProxyGroup()
