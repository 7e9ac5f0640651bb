"""Versions of tables as proxies hold them, and the deltas between versions. Does no I/O.

A snapshot maps each server to its 16-bit weight and its flags. Many proxies share a table, so the delta
between two snapshots is computed, and later encoded, once for all of them.
"""

from __future__ import annotations

from typing import NamedTuple

from xxhash import xxh3_64_hexdigest

from rainpick.director.addresses import Key
from rainpick.sasp.constants import CONFIDENT, CONTACT, MAX_WEIGHT, QUIESCE, SELF_REGISTERED

WeightAndFlags = tuple[int, int]
Lines = dict[Key, WeightAndFlags]  # by server

OPEN = CONTACT | CONFIDENT | SELF_REGISTERED  # may be sent requests
WITHDRAWN = CONTACT | SELF_REGISTERED | QUIESCE  # in the table, but withdrawn
REMOVED = SELF_REGISTERED  # no longer in the table; the director does not know its state

MAX_DELTAS = 8  # cached deltas of a snapshot; proxies that lag behind hold only a few distinct snapshots


class Line(NamedTuple):
    """A server with its 16-bit weight and its SASP flags, as sent to a proxy."""

    server: Key
    weight: int
    flags: int


class Scale:
    """Converts the weights of tables to 16 bits.

    A single factor keeps ratios constant over time and between tables. No weight in a table
    exceeds ``max_weight``, since no listed weight does and a percentage is at most 1. A weight w becomes the
    integer nearest to w * 65535 / max_weight, but a positive weight never becomes 0. The relative error is at
    most max_weight / (131070 * w).

    >>> Scale(16.0)(4.0), Scale(16.0)(1e-9), Scale(16.0)(0.0)
    (16384, 1, 0)
    >>> 1 - Scale(16.0)(0.16) / (0.16 * 65535 / 16) < Scale(16.0).bound(0.16)
    True
    """

    def __init__(self, max_weight: float):
        self.factor: float = MAX_WEIGHT / max_weight

    def __call__(self, weight: float) -> int:
        """Return a weight as 16 bits; 0 for a server that must not receive requests."""
        if weight <= 0:
            return 0
        return min(MAX_WEIGHT, max(1, round(weight * self.factor)))

    def bound(self, weight: float) -> float:
        """Return the largest relative error of the conversion of this weight."""
        return 0.5 / (weight * self.factor)


class Delta(NamedTuple):
    """The difference between two snapshots: the lines that withdraw or remove servers, then the others."""

    withdrawn: tuple[Line, ...]
    others: tuple[Line, ...]

    @property
    def lines(self) -> tuple[Line, ...]:
        """All lines, in sending order."""
        return self.withdrawn + self.others


EMPTY_DELTA = Delta((), ())


def digest(lines: Lines) -> str:
    """Return the XXH3 hash (64 bits, hexadecimal) of the canonical form of some lines.

    The canonical form has one row ``HOST:PORT WEIGHT`` for each server, sorted.

    >>> digest({("127.0.0.1", 9001): (4096, OPEN)}) == xxh3_64_hexdigest(b"127.0.0.1:9001 4096\\n")
    True
    """
    rows = sorted(f"{host}:{port} {weight}\n" for (host, port), (weight, _) in lines.items())
    return xxh3_64_hexdigest("".join(rows).encode())


class Snapshot:
    """The lines that a proxy holds: a version of a table, or the servers that it held before it was bound.

    If ``known`` is False, the weights that the proxy holds are unknown, and a delta from this snapshot
    contains all lines of the other one.
    """

    __slots__ = ("lines", "known", "table", "version", "deltas", "sorted_lines", "cached_digest")

    def __init__(self, lines: Lines, known: bool = True, table: int | None = None, version: int = 0):
        self.lines = lines
        self.known = known
        self.table = table
        self.version = version
        self.deltas: dict[Snapshot, Delta] = {}  # cached deltas to later snapshots
        self.sorted_lines: tuple[Line, ...] | None = None
        self.cached_digest: str | None = None

    @property
    def digest(self) -> str:
        """The digest of the canonical form; a proxy compares it with the digest of its own lines."""
        if self.cached_digest is None:
            self.cached_digest = digest(self.lines)
        return self.cached_digest

    def sorted_entries(self) -> tuple[Line, ...]:
        """Return all lines, withdrawn servers first."""
        if self.sorted_lines is None:
            lines = [Line(server, weight, flags) for server, (weight, flags) in self.lines.items()]
            self.sorted_lines = tuple(sorted(lines, key=lambda line: (line.weight > 0, line)))
        return self.sorted_lines

    def delta_to(self, other: Snapshot) -> Delta:
        """Return the delta from this snapshot to another one, from the cache if possible."""
        if other is self:
            return EMPTY_DELTA
        if not self.known:
            removed = self.lines.keys() - other.lines.keys()
            return Delta(
                tuple([Line(server, 0, REMOVED) for server in sorted(removed)]), other.sorted_entries()
            )
        delta = self.deltas.get(other)
        if delta is None:
            delta = self.compute_delta(other)
            if len(self.deltas) >= MAX_DELTAS:
                self.deltas.clear()
            self.deltas[other] = delta
        return delta

    def compute_delta(self, other: Snapshot) -> Delta:
        """Compute the delta to another snapshot; the weights of both must be known."""
        withdrawn = [Line(server, 0, REMOVED) for server in self.lines.keys() - other.lines.keys()]
        changed = [
            Line(server, *weight_and_flags)
            for server, weight_and_flags in other.lines.items()
            if self.lines.get(server) != weight_and_flags
        ]
        withdrawn += [line for line in changed if not line.weight]
        return Delta(tuple(sorted(withdrawn)), tuple(sorted(line for line in changed if line.weight)))
