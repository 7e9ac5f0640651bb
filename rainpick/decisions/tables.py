"""Shared tables: proxies that are bound to one hold the same servers at the same weights."""

from __future__ import annotations

from rainpick.decisions.proxies import ProxyGroup


class Table(ProxyGroup):
    """A table that the proxies bound to it share; ``zone`` None: it serves all zones."""

    def __init__(self, number: int, zone: int | None):
        super().__init__()
        self.number = number
        self.zone = zone
        self.used = False  # a proxy was bound to it, or will be
        self.published_admission: dict[int, float] = {}  # by route
        self.warm_weight = 0.0  # listed weight of its warm servers in use
        self.peak_warm_weight = 1e-9  # the most that was
        self.warming_fraction = 1.0  # what servers that warm up get of their percentage here
        self.unbound = ProxyGroup()  # who will be bound to it and may still hold it from another director
