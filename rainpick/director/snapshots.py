"""Versions of tables as proxies hold them, and the lines that lead from one to another. Free of I/O.

A snapshot is what a proxy holds: by server a 16-bit weight and the flags. Many proxies share a table, so the
delta from one snapshot to the next is worked out, and later encoded, once for all of them.
"""

from __future__ import annotations

from typing import NamedTuple

from xxhash import xxh3_64_hexdigest

from rainpick.director.addresses import Key
from rainpick.sasp.constants import CONFIDENT, CONTACT, MAX_WEIGHT, QUIESCE, SELF_REGISTERED

WeightAndFlags = tuple[int, int]
Lines = dict[Key, WeightAndFlags]

OPEN = CONTACT | CONFIDENT | SELF_REGISTERED  # may be sent requests
WITHDRAWN = CONTACT | SELF_REGISTERED | QUIESCE  # withdrawn, though it stands in the table
REMOVED = SELF_REGISTERED  # not in the table any more, and nobody vouches for it

MAX_DELTAS = 8  # from one snapshot that are cached; proxies that lag behind come from few snapshots


class Line(NamedTuple):
    """A server with its 16-bit weight and its SASP flags, as a proxy is sent it."""

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
        self.factor: float = MAX_WEIGHT / most

    def __call__(self, weight: float) -> int:
        """A weight as 16 bits; 0 for a server that is not to be sent anything."""
        if weight <= 0:
            return 0
        return min(MAX_WEIGHT, max(1, round(weight * self.factor)))

    def bound(self, weight: float) -> float:
        """The largest relative error of this weight."""
        return 0.5 / (weight * self.factor)


class Delta(NamedTuple):
    """The delta between two snapshots: first the lines that withdraw servers, then the others."""

    withdrawn: tuple[Line, ...]
    others: tuple[Line, ...]

    @property
    def lines(self) -> tuple[Line, ...]:
        """All lines, in the order in which they are sent."""
        return self.withdrawn + self.others


EMPTY_DELTA = Delta((), ())


def digest(lines: Lines) -> str:
    """XXH3 (64 bits, hexadecimal) of the canonical form: ``HOST:PORT WEIGHT``, a server a line, sorted.

    >>> digest({("127.0.0.1", 9001): (4096, OPEN)}) == xxh3_64_hexdigest(b"127.0.0.1:9001 4096\\n")
    True
    """
    rows = sorted(f"{host}:{port} {weight}\n" for (host, port), (weight, _) in lines.items())
    return xxh3_64_hexdigest("".join(rows).encode())


class Snapshot:
    """What a proxy holds: a version of a table, or what it held before it had one.

    If it is not ``known``, the servers are known and their weights are not: a delta from it has all lines of
    the other snapshot.
    """

    __slots__ = ("lines", "known", "table", "version", "deltas", "sorted_lines", "cached_digest")

    def __init__(self, lines: Lines, known: bool = True, table: int | None = None, version: int = 0):
        self.lines = lines
        self.known = known
        self.table = table
        self.version = version
        self.deltas: dict[Snapshot, Delta] = {}  # to later snapshots
        self.sorted_lines: tuple[Line, ...] | None = None
        self.cached_digest: str | None = None

    @property
    def digest(self) -> str:
        """Of the canonical form; a proxy computes it from what it holds and compares."""
        if self.cached_digest is None:
            self.cached_digest = digest(self.lines)
        return self.cached_digest

    def whole(self) -> tuple[Line, ...]:
        """All lines, withdrawn servers first."""
        if self.sorted_lines is None:
            lines = [Line(server, weight, flags) for server, (weight, flags) in self.lines.items()]
            self.sorted_lines = tuple(sorted(lines, key=lambda line: (line.weight > 0, line)))
        return self.sorted_lines

    def to(self, other: Snapshot) -> Delta:
        """The delta to another snapshot."""
        if other is self:
            return EMPTY_DELTA
        if not self.known:
            removed = self.lines.keys() - other.lines.keys()
            return Delta(tuple([Line(server, 0, REMOVED) for server in sorted(removed)]), other.whole())
        delta = self.deltas.get(other)
        if delta is None:
            delta = self.delta_to(other)
            if len(self.deltas) >= MAX_DELTAS:
                self.deltas.clear()
            self.deltas[other] = delta
        return delta

    def delta_to(self, other: Snapshot) -> Delta:
        """Work out the delta between two snapshots whose weights are known."""
        withdrawn = [Line(server, 0, REMOVED) for server in self.lines.keys() - other.lines.keys()]
        changed = [
            Line(server, *weight_and_flags)
            for server, weight_and_flags in other.lines.items()
            if self.lines.get(server) != weight_and_flags
        ]
        withdrawn += [line for line in changed if not line.weight]
        return Delta(tuple(sorted(withdrawn)), tuple(sorted(line for line in changed if line.weight)))
