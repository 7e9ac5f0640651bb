"""Two streams of orders for one day side by side: what was recorded, and what would have been ordered.

The recorded reports answer the recorded orders. Once the replayed ones would have sent a good part of the
calls to other servers, the reports no longer tell what those would have led to: from there on a replay
shows what the module would have done with those reports, not how the day would have gone. ``Compare`` finds
that moment.
"""

from __future__ import annotations

import copy
from collections import Counter
from typing import Any, NamedTuple

from rainpick.record.view import Nearest, View, named

PARTS = 0.2  # of the calls that go elsewhere, as a mean over the last while: from there on it no longer tells
OVER_S = 10
POINTS = 240  # of a series; twice as many are folded into half


class Series:
    """Means over equal spans of time; spans double when there are too many, so memory stays flat."""

    def __init__(self, begin_us: int, span_us: int = 1_000_000):
        self.begin_us, self.span_us = begin_us, span_us
        self.sums: list[float] = []
        self.counts: list[int] = []

    def add(self, now: int, value: float) -> None:
        place = (now - self.begin_us) // self.span_us
        while place >= 2 * POINTS:
            self.fold()
            place = (now - self.begin_us) // self.span_us
        missing = place + 1 - len(self.sums)
        self.sums += [0.0] * missing
        self.counts += [0] * missing
        self.sums[place] += value
        self.counts[place] += 1

    def fold(self) -> None:
        self.span_us *= 2
        if len(self.sums) % 2:
            self.sums.append(0.0)
            self.counts.append(0)
        self.sums = [sum(pair) for pair in zip(self.sums[::2], self.sums[1::2], strict=True)]
        self.counts = [sum(pair) for pair in zip(self.counts[::2], self.counts[1::2], strict=True)]

    def points(self) -> list[tuple[float, float]]:
        """(second, mean) of the spans that hold something."""
        return [
            (place * self.span_us / 1e6, total / many)
            for place, (total, many) in enumerate(zip(self.sums, self.counts, strict=True))
            if many
        ]


class Moved(NamedTuple):
    """A server whose share of the calls would have been another."""

    server: str
    recorded: float  # mean over the day
    replayed: float


class Compared(NamedTuple):
    """What a comparison found. Seconds are from the beginning of the life."""

    counts: dict[str, tuple[int, int]]
    throttled_s: tuple[float, float]
    nearest: dict[str, tuple[Nearest | None, Nearest | None]]
    tells_until_s: float | None  # None: to the end
    parted: float  # mean part of the calls that go elsewhere, over the whole day
    moved: list[Moved]
    parting: list[tuple[float, float]]
    series: dict[str, tuple[list, list]]  # by server: its share over time, recorded and replayed


class Compare:
    """Takes a day step by step; memory does not grow with its length."""

    def __init__(self, begin_us: int, recorded: dict[str, Any], replayed: dict[str, Any]):
        self.begin_us = begin_us
        one = View(recorded)
        # One view serves for both until they part: most days are played to see that they do not.
        self.sides = one, one if recorded == replayed else View(replayed)
        self.looked_us = begin_us
        self.parting = Series(begin_us)
        self.lately: list[float] = []
        self.shares: dict[Any, tuple[Series, Series]] = {}
        self.means: tuple[Counter, Counter] = Counter(), Counter()
        self.looks, self.apart = 0, 0.0
        self.tells_until_us: int | None = None

    def take(self, now: int, events: list, recorded: list, replayed: list) -> None:
        one, other = self.sides
        if one is other and list(replayed) != list(recorded):
            other = copy.deepcopy(one)
            self.sides = one, other
        one.hear(now, events)
        one.take(now, recorded)
        if other is not one:
            other.hear(now, events)
            other.take(now, replayed)
        # Once a second is enough: proxies are told weights some times a tick at most.
        if now - self.looked_us >= 1_000_000:
            self.look(now)

    def look(self, now: int) -> None:
        self.looked_us = now
        old = self.sides[0].shares()
        new = old if self.sides[0] is self.sides[1] else self.sides[1].shares()
        every = dict.fromkeys((*old, *new))  # not a set: sums must not hang on a hash seed
        apart = sum(abs(old.get(server, 0.0) - new.get(server, 0.0)) for server in every) / 2
        self.looks, self.apart = self.looks + 1, self.apart + apart
        self.parting.add(now, apart)
        self.lately = [*self.lately[-OVER_S + 1 :], apart]
        if self.tells_until_us is None and sum(self.lately) / OVER_S > PARTS:
            self.tells_until_us = now
        for server in every:
            pair = self.shares.setdefault(server, (Series(self.begin_us), Series(self.begin_us)))
            for side, share in enumerate((old.get(server, 0.0), new.get(server, 0.0))):
                pair[side].add(now, share)
                self.means[side][server] += share

    def result(self, most: int = 12) -> Compared:
        """``most``: so many servers, those whose share moved most."""
        old, new = self.sides
        looks = max(1, self.looks)
        moved = [
            Moved(named(server), self.means[0][server] / looks, self.means[1][server] / looks)
            for server in self.shares
        ]
        distance = {
            named(server): sum(
                abs(one[1] - two[1]) for one, two in zip(*(each.points() for each in pair), strict=False)
            )
            for server, pair in self.shares.items()
        }
        moved.sort(key=lambda row: (-distance[row.server], row.server))
        chosen = {row.server for row in moved[:most] if distance[row.server] > 1e-9}
        until = self.tells_until_us
        return Compared(
            {name: (old.counts[name], new.counts[name]) for name in sorted(old.counts | new.counts)},
            (old.throttled_us / 1e6, new.throttled_us / 1e6),
            {
                name: (old.nearest.get(name), new.nearest.get(name))
                for name in sorted(old.nearest.keys() | new.nearest.keys())
            },
            None if until is None else (until - self.begin_us) / 1e6,
            self.apart / looks,
            [row for row in moved if row.server in chosen],
            self.parting.points(),
            {
                named(server): (pair[0].points(), pair[1].points())
                for server, pair in self.shares.items()
                if named(server) in chosen
            },
        )
