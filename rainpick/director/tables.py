"""The tables that the decisions lay, and what each proxy must read so that it holds them. Free of I/O.

A snapshot is what a proxy holds: by server a 16-bit weight and the flags. Many proxies share a table, so the
way from one snapshot to the next is worked out, and later encoded, once for all of them.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from rainpick import interface as api
from rainpick.sasp import codec

Key = tuple[str, int]
Lines = dict[Key, tuple[int, int]]

OPEN = codec.CONTACT | codec.CONFIDENT | codec.SELF_REGISTERED
SHUT = codec.CONTACT | codec.SELF_REGISTERED | codec.QUIESCE
OUT = codec.SELF_REGISTERED  # not in the table any more, and nobody vouches for it


class Line(NamedTuple):
    server: Key
    weight: int
    flags: int


class Scale:
    """Weights of tables as 16 bits: one factor for all, so that ratios last over time and between tables.

    The largest listed weight is ``most``; a percentage is at most 1. So a weight w becomes the nearest of
    w * 65535 / most, and never 0 for a live line. The ratio is off by at most most / (131070 * w).

    >>> Scale(16.0)(4.0), Scale(16.0)(1e-9), Scale(16.0)(0.0)
    (16384, 1, 0)
    >>> 1 - Scale(16.0)(0.16) / (0.16 * 65535 / 16) < Scale(16.0).bound(0.16)
    True
    """

    def __init__(self, most: float):
        self.factor = codec.WEIGHT_MOST / most

    def __call__(self, weight: float) -> int:
        if weight <= 0:
            return 0
        return min(codec.WEIGHT_MOST, max(1, round(weight * self.factor)))

    def bound(self, weight: float) -> float:
        """The largest relative error of this weight."""
        return 0.5 / (weight * self.factor)


class Way(NamedTuple):
    """What to read to get from one snapshot to another: first what is shut out, then the rest."""

    shut: tuple[Line, ...]
    rest: tuple[Line, ...]

    @property
    def lines(self) -> tuple[Line, ...]:
        return self.shut + self.rest


NOWHERE = Way((), ())


class Snapshot:
    """What a proxy holds; ``ways`` keeps how to get from here to later ones.

    Not ``known``: it says which servers, but not with which weights, so all lines of the other must be read.
    """

    __slots__ = ("lines", "known", "ways", "all")

    def __init__(self, lines: Lines, known: bool = True):
        self.lines, self.known, self.ways = lines, known, {}
        self.all: tuple[Line, ...] | None = None

    def whole(self) -> tuple[Line, ...]:
        if self.all is None:
            rows = [Line(server, *held) for server, held in self.lines.items()]
            self.all = tuple(sorted(rows, key=lambda line: (line.weight > 0, line)))
        return self.all

    def to(self, other: Snapshot) -> Way:
        """The lines to read to get there."""
        if other is self:
            return NOWHERE
        if not self.known:
            gone = self.lines.keys() - other.lines.keys()
            return Way(tuple([Line(server, 0, OUT) for server in sorted(gone)]), other.whole())
        known = self.ways.get(other)
        if known is None:
            shut = [Line(server, 0, OUT) for server in self.lines.keys() - other.lines.keys()]
            rest = [Line(server, *held) for server, held in other.lines.items()
                    if self.lines.get(server) != held]
            shut += [line for line in rest if not line.weight]
            # Proxies far behind each other's times come from few snapshots; a handful of ways is enough.
            if len(self.ways) >= 8:
                self.ways.clear()
            known = Way(tuple(sorted(shut)), tuple(sorted(line for line in rest if line.weight)))
            self.ways[other] = known
        return known


class Proxy:
    """What one joined proxy holds, and which table it is to follow."""

    __slots__ = ("number", "table", "holds", "reach")

    def __init__(self, number: int, standing: Iterable[Key], weight: int):
        self.number, self.table = number, None
        # What it holds from before: it named the servers; their weights are not known here.
        self.reach = frozenset(standing)
        self.holds = Snapshot(dict.fromkeys(self.reach, (weight, 0)), known=False)


class Tables:
    """All tables, withdrawals and bindings as ordered so far."""

    def __init__(self, scale: Scale, weight_of):
        """``weight_of``: the listed weight of a server, for what an unbound proxy is readmitted to."""
        self.scale, self.weight_of = scale, weight_of
        self.lines: dict[int, dict[Key, float]] = {}
        self.withdrawn: set[Key] = set()
        self.proxies: dict[int, Proxy] = {}
        self.bound: dict[int, set[int]] = {}  # by table
        self.loose: set[int] = set()
        self.snapshots: dict[int, Snapshot] = {}

    def join(self, number: int, standing: Iterable[Key]) -> None:
        self.leave(number)
        self.proxies[number] = Proxy(number, standing, self.scale(1.0))
        self.loose.add(number)

    def extend(self, number: int, standing: Iterable[Key]) -> int:
        """A proxy holds further servers; how many lines it will have to read for them."""
        proxy = self.proxies[number]
        more = {server: (self.scale(1.0), 0) for server in standing if server not in proxy.holds.lines}
        proxy.reach |= more.keys()
        proxy.holds = Snapshot(proxy.holds.lines | more, proxy.holds.known)
        return len(more)

    def leave(self, number: int) -> None:
        proxy = self.proxies.pop(number, None)
        if proxy is not None:
            self.loose.discard(number)
            self.bound.get(proxy.table, set()).discard(number)

    def carry_out(self, order) -> dict[int, int]:
        """Do what an order says; by proxy concerned, how many lines it costs there."""
        kind = type(order)
        if kind is api.SetLine:
            table = self.lines.setdefault(order.table, {})
            if order.weight > 0:
                table[order.server] = order.weight
            else:
                table.pop(order.server, None)
            self.snapshots.pop(order.table, None)
            return dict.fromkeys(self.bound.get(order.table, ()), 1)
        if kind is api.Withdraw:
            (self.withdrawn.add if order.on else self.withdrawn.discard)(order.server)
            reached = {}
            for number, table in self.lines.items():
                if order.server in table:
                    self.snapshots.pop(number, None)
                    reached |= dict.fromkeys(self.bound.get(number, ()), 1)
            holders = (number for number in self.loose if order.server in self.proxies[number].reach)
            return reached | dict.fromkeys(holders, 1)
        if kind is api.ClearTable:
            self.lines.pop(order.table, None)
            self.snapshots.pop(order.table, None)
            return dict.fromkeys(self.bound.get(order.table, ()), 1)
        if kind is api.Bind and order.proxy in self.proxies:
            proxy = self.proxies[order.proxy]
            self.loose.discard(order.proxy)
            self.bound.get(proxy.table, set()).discard(order.proxy)
            self.bound.setdefault(order.table, set()).add(order.proxy)
            proxy.table = order.table
            return {order.proxy: 1 + len(self.lines.get(order.table, ()))}
        return {}

    def target(self, proxy: Proxy) -> Snapshot:
        """What this proxy must hold now."""
        if proxy.table is None:
            return self.standing(proxy)
        snapshot = self.snapshots.get(proxy.table)
        if snapshot is None:
            lines = {server: (0, SHUT) if server in self.withdrawn else (self.scale(weight), OPEN)
                     for server, weight in self.lines.get(proxy.table, {}).items()}
            snapshot = self.snapshots[proxy.table] = Snapshot(lines)
        return snapshot

    def standing(self, proxy: Proxy) -> Snapshot:
        """An unbound proxy keeps what it has, less what is withdrawn."""
        lines = dict(proxy.holds.lines)
        for server, (weight, _) in proxy.holds.lines.items():
            if server in self.withdrawn and weight:
                lines[server] = 0, SHUT
            elif server not in self.withdrawn and not weight:
                lines[server] = self.scale(self.weight_of(server)), OPEN
        return proxy.holds if lines == proxy.holds.lines else Snapshot(lines, known=False)

    def advance(self, number: int) -> Way:
        """The lines that bring a proxy up to date; it counts as holding them from here on."""
        proxy = self.proxies[number]
        target = self.target(proxy)
        way = self.loose_way(proxy, target) if proxy.table is None else proxy.holds.to(target)
        proxy.holds = target
        return way

    @staticmethod
    def loose_way(proxy: Proxy, target: Snapshot) -> Way:
        """Only what is withdrawn or readmitted: of the rest an unbound proxy knows more than is known."""
        news = [Line(server, *held) for server, held in sorted(target.lines.items())
                if held != proxy.holds.lines[server]]
        return Way(tuple([line for line in news if not line.weight]),
                   tuple([line for line in news if line.weight]))

    def all_lines(self, number: int) -> tuple[Line, ...]:
        """Everything that a proxy holds, for one that wants the whole each time."""
        return self.proxies[number].holds.whole()
