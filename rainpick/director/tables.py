"""The tables that the decisions lay, and what each proxy must read so that it holds them. Free of I/O.

A snapshot is what a proxy holds: by server a 16-bit weight and the flags. Many proxies share a table, so the
way from one snapshot to the next is worked out, and later encoded, once for all of them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from xxhash import xxh3_64_hexdigest

from rainpick import model
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
HISTORY = 32  # versions of a table that are kept


def digest(lines: Lines) -> str:
    """XXH3 (64 bits, hexadecimal) of the canonical form: ``HOST:PORT WEIGHT``, a server a line, sorted.

    >>> digest({("127.0.0.1", 9001): (4096, OPEN)}) == xxh3_64_hexdigest(b"127.0.0.1:9001 4096\\n")
    True
    """
    rows = sorted(f"{host}:{port} {weight}\n" for (host, port), (weight, _) in lines.items())
    return xxh3_64_hexdigest("".join(rows).encode())


class Snapshot:
    """What a proxy holds; ``ways`` keeps how to get from here to later ones.

    Not ``known``: it says which servers, but not with which weights, so all lines of the other must be read.
    """

    __slots__ = ("lines", "known", "ways", "all", "table", "version", "hash")

    def __init__(self, lines: Lines, known: bool = True, table: int | None = None, version: int = 0):
        self.lines, self.known, self.ways = lines, known, {}
        self.table, self.version = table, version  # whose it is, and which
        self.all: tuple[Line, ...] | None = None
        self.hash: str | None = None

    @property
    def digest(self) -> str:
        """Of the canonical form; a proxy works it out for itself and compares."""
        if self.hash is None:
            self.hash = digest(self.lines)
        return self.hash

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
            rest = [
                Line(server, *held) for server, held in other.lines.items() if self.lines.get(server) != held
            ]
            shut += [line for line in rest if not line.weight]
            # Proxies far behind each other's times come from few snapshots; a handful of ways is enough.
            if len(self.ways) >= 8:
                self.ways.clear()
            known = Way(tuple(sorted(shut)), tuple(sorted(line for line in rest if line.weight)))
            self.ways[other] = known
        return known


class Proxy:
    """What one joined proxy holds, and which table it is to follow."""

    __slots__ = ("number", "table", "holds", "reach", "told")

    def __init__(self, number: int, standing: Iterable[Key], weight: int, obeys: bool):
        self.number, self.table = number, None
        # Whoever obeys levels is told of its table and its levels, too: what it was told last.
        self.told: tuple | None = (None, ()) if obeys else None
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
        self.history: dict[int, deque[Snapshot]] = {}
        # By table and route: what is let in, when another server is tried.
        self.levels: dict[int, dict[int, tuple[float, int]]] = {}
        self.overlay: Callable[[int, Lines], Lines] = lambda table, lines: lines

    def join(
        self, number: int, standing: Iterable[Key], obeys: bool = False, holds: Snapshot | None = None
    ) -> None:
        """``holds``: the version of a table that it has shown to hold, in place of servers alone."""
        self.leave(number)
        standing = holds.lines if holds is not None else standing
        proxy = self.proxies[number] = Proxy(number, standing, self.scale(1.0), obeys)
        proxy.holds = holds or proxy.holds
        self.loose.add(number)

    def orders(self, proxy: Proxy) -> tuple:
        """What a proxy that obeys levels is to be told beside the lines: its table, its levels by route."""
        routes = sorted({route for rows in self.levels.values() for route in rows})
        return proxy.table, tuple(
            (route, *self.level(proxy.table, route))
            for route in routes
            if self.level(proxy.table, route) is not None
        )

    def distrust(self, number: int) -> int:
        """A proxy does not hold what it was thought to: the whole table must follow. Its lines."""
        proxy = self.proxies[number]
        proxy.holds = Snapshot(proxy.holds.lines, known=False)
        return 1 + len(self.target(proxy).lines)

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
        if kind is model.SetWeight:
            table = self.lines.setdefault(order.table, {})
            if order.weight > 0:
                table[order.server] = order.weight
            else:
                table.pop(order.server, None)
            self.snapshots.pop(order.table, None)
            return dict.fromkeys(self.bound.get(order.table, ()), 1)
        if kind is model.SetWithdrawn:
            (self.withdrawn.add if order.withdrawn else self.withdrawn.discard)(order.server)
            reached = {}
            for number, table in self.lines.items():
                if order.server in table:
                    self.snapshots.pop(number, None)
                    reached |= dict.fromkeys(self.bound.get(number, ()), 1)
            holders = (number for number in self.loose if order.server in self.proxies[number].reach)
            return reached | dict.fromkeys(holders, 1)
        if kind is model.ClearTable:
            self.lines.pop(order.table, None)
            self.snapshots.pop(order.table, None)
            return dict.fromkeys(self.bound.get(order.table, ()), 1)
        if kind is model.BindProxy and order.proxy in self.proxies:
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
            snapshot = self.current(proxy.table)
        return snapshot

    def current(self, table: int) -> Snapshot:
        """The newest version of a table; a version differs from the one before in what it holds."""
        known = self.snapshots.get(table)
        if known is not None:
            return known
        lines = {
            server: (0, SHUT) if server in self.withdrawn else (self.scale(weight), OPEN)
            for server, weight in self.lines.get(table, {}).items()
        }
        lines = self.overlay(table, lines)
        history = self.history.setdefault(table, deque(maxlen=HISTORY))
        if not history or history[-1].lines != lines:
            history.append(Snapshot(lines, True, table, history[-1].version + 1 if history else 1))
        self.snapshots[table] = history[-1]
        return history[-1]

    def version(self, table: int, number: int) -> Snapshot | None:
        """An earlier version, if it is still kept."""
        return next((one for one in self.history.get(table, ()) if one.version == number), None)

    def level(self, table: int | None, route: int) -> tuple[float, int] | None:
        """What a table lets in of a route, and when its proxies try again; None if nothing was ordered."""
        own = self.levels.get(table, {}).get(route) if table is not None else None
        every = self.levels.get(model.ALL_TABLES, {}).get(route)
        if own is None or every is None:
            return own or every
        return min(own[0], every[0]), own[1]

    def admit(self, order: model.SetAdmission, routes: int) -> dict[int, int]:
        """Levels of a table, or of all."""
        rows = self.levels.setdefault(order.table, {})
        many = 0
        for route in range(routes):
            if not order.routes or order.routes >> route & 1:
                rows[route] = order.rate, order.retry_policy
                many += 1
        who = self.proxies if order.table == model.ALL_TABLES else self.bound.get(order.table, ())
        return dict.fromkeys(who, max(1, many))

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
        news = [
            Line(server, *held)
            for server, held in sorted(target.lines.items())
            if held != proxy.holds.lines[server]
        ]
        return Way(
            tuple([line for line in news if not line.weight]), tuple([line for line in news if line.weight])
        )

    def all_lines(self, number: int) -> tuple[Line, ...]:
        """Everything that a proxy holds, for one that wants the whole each time."""
        return self.proxies[number].holds.whole()
