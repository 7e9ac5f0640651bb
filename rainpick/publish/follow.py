"""What a subscriber is sent so that it holds the newest version, and how a proxy follows. Free of I/O.

The director's side: from what a subscriber holds (a version, or nothing that is known) to the newest one, as
a change where that is shorter, else the whole. Who is behind is never sent a story: the way is always from
what it holds to what is newest, so a backlog is one message. ``Follower``, a proxy's side, checks each step.
"""

from __future__ import annotations

from collections import OrderedDict

from xxhash import xxh3_64_hexdigest

from rainpick.director.tables import Snapshot, Way
from rainpick.publish.payloads import Change, Line, Orders, Trouble, Whole, encode, place

SHARED_MOST = 256


class Writer:
    """Makes table parts and shares them between all who take the same step."""

    def __init__(self, epoch: str):
        self.epoch = epoch
        self.parts: OrderedDict[tuple, tuple] = OrderedDict()
        self.wholes = self.changes = 0

    def part(self, table: int, before: Snapshot | None, after: Snapshot) -> tuple[Whole | Change, bytes]:
        """The way from one version of a table to another, and its bytes."""
        known = before is not None and before.known and before.table == table
        mark = (table, id(before) if known else None, id(after))
        found = self.parts.get(mark)
        if found is not None and found[2] is after and found[3] is before or found and not known:
            return found[0], found[1]
        made = self.change(table, before, after) if known else None
        if made is None or len(made.set) + len(made.out) >= len(after.lines):
            made = self.whole(table, after)
        found = made, encode(made), after, before if known else None
        self.parts[mark] = found
        if len(self.parts) > SHARED_MOST:
            self.parts.popitem(last=False)
        return found[0], found[1]

    def whole(self, table: int, after: Snapshot) -> Whole:
        lines = tuple([Line(place(server), weight) for server, weight, _ in after.whole()])
        return Whole(self.epoch, table, after.version, after.digest, lines)

    def change(self, table: int, before: Snapshot, after: Snapshot) -> Change:
        way = before.to(after)
        gone = tuple([place(line.server) for line in way.shut if line.server not in after.lines])
        lines = tuple(
            [Line(place(line.server), line.weight) for line in way.lines if line.server in after.lines]
        )
        return Change(self.epoch, table, before.version, after.version, after.digest, lines, gone)

    def loose(self, way: Way) -> tuple[tuple[Line, ...], tuple[str, ...]]:
        """Withdrawals and returns for a proxy without a table."""
        return tuple([Line(place(line.server), line.weight) for line in way.lines]), ()


def canonical_digest(lines: dict[str, int]) -> str:
    """The digest of a table as a proxy holds it: the same canonical form as the director's."""
    rows = sorted(f"{server} {weight}\n" for server, weight in lines.items())
    return xxh3_64_hexdigest("".join(rows).encode())


class Follower:
    """A proxy's side: holds a table, takes what comes, and says what does not fit.

    ``lines`` is what it holds, weight 0 for what is shut out. Until trouble is healed it keeps what it has;
    withdrawals (weight 0 and servers that are out) are taken even from a change that does not fit.
    """

    def __init__(self, lines: dict[str, int] | None = None):
        self.lines: dict[str, int] = dict(lines or {})
        self.epoch, self.table, self.version = "", None, 0
        self.digest = ""
        self.broken = False
        self.levels: tuple = ()

    def take(self, one: Whole | Change | Orders) -> Trouble | None:
        """Apply a payload; what to say if it can't be followed."""
        if isinstance(one, Orders):
            self.levels = one.levels
            if one.epoch != self.epoch or one.table != self.table:
                self.epoch, self.table, self.version, self.broken = one.epoch, one.table, 0, False
            if one.table is None:
                self.lines.update({line.server: line.weight for line in one.set if line.server in self.lines})
                return None
            return self.take(one.part) if one.part is not None else None
        if one.table != self.table or one.epoch != self.epoch:
            return None  # of a table that it is not on
        if isinstance(one, Whole):
            if self.broken or one.version >= self.version:
                return self.whole(one)
            return None  # older than what it holds
        return self.change(one)

    def whole(self, one: Whole) -> Trouble | None:
        fresh = {line.server: line.weight for line in one.lines}
        if canonical_digest(fresh) != one.digest:
            return self.trouble("digest")
        self.lines, self.version, self.digest, self.broken = fresh, one.version, one.digest, False
        return None

    def change(self, one: Change) -> Trouble | None:
        if one.version <= self.version and not self.broken:
            return None  # doubled, or overtaken by a newer one
        if one.base != self.version or self.broken:
            self.shut(one)
            return self.trouble("gap")
        fresh = {server: weight for server, weight in self.lines.items() if server not in set(one.out)}
        fresh |= {line.server: line.weight for line in one.set}
        if canonical_digest(fresh) != one.digest:
            self.shut(one)
            return self.trouble("digest")
        self.lines, self.version, self.digest = fresh, one.version, one.digest
        return None

    def shut(self, one: Change) -> None:
        """Withdrawals do not wait for healing: nothing goes where a newer version does not send."""
        for server in one.out:
            self.lines.pop(server, None)
        for line in one.set:
            if not line.weight and line.server in self.lines:
                self.lines[line.server] = 0

    def trouble(self, why: str) -> Trouble | None:
        """Said once; then it waits for the whole."""
        if self.broken:
            return None
        self.broken = True
        return Trouble(why, self.epoch, self.table, self.version)

    def open_lines(self) -> dict[str, int]:
        return {server: weight for server, weight in self.lines.items() if weight}
