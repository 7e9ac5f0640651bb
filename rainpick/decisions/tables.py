"""Shared tables, and groups of proxies that are sent the same messages."""

from __future__ import annotations

from rainpick.decisions.proxies import ProxyState


class ProxyGroup:
    """Proxies that the same commands reach.

    ``pending_lines`` counts the lines that the step under way writes to each of them, the head left out.
    """

    def __init__(self) -> None:
        self.proxies: dict[int, ProxyState] = {}
        self.pending_lines = 0


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
