"""A plain proxy: it holds the lines that it was written and picks by them; it decides nothing else."""

from __future__ import annotations

from bisect import bisect
from collections import Counter
from collections.abc import Collection, Iterable
from itertools import accumulate
from typing import Literal

from rainpick.director.tables import SHUT, Key, Line
from rainpick.emulator.chance import Chance

Pick = Literal["lottery", "wheel", "pair"]


class Proxy:
    """``pick`` says how: by lot, by smooth weighted round robin, or the less busy of two lots."""

    def __init__(self, number: int, zone: int, pick: Pick, chance: Chance, standing: Iterable[Key] = ()):
        self.number, self.zone, self.how, self.chance = number, zone, pick, chance
        self.lines: dict[Key, int] = dict.fromkeys(standing, 1)
        self.drawn: tuple[list[Key], list[int]] | None = None  # open servers, their weights summed up
        self.busy: Counter[Key] = Counter()
        self.wheel: dict[Key, float] = {}
        self.met: dict[Key, list[int]] = {}  # since the last report: tries, dropped, microseconds
        self.calls = 0

    def read(self, lines: Iterable[Line]) -> None:
        self.drawn = None
        for line in lines:
            if line.weight or line.flags & SHUT == SHUT:
                self.lines[line.server] = line.weight
            else:
                self.lines.pop(line.server, None)
                self.wheel.pop(line.server, None)

    def pick(self, tried: Collection[Key] = ()) -> Key | None:
        """A server, not one of those tried; None if it has no open line left."""
        if self.how == "wheel":
            return self.turn(tried)
        servers, sums = (self.drawn or self.draw()) if not tried else self.able(tried)
        if not servers:
            return None
        first = self.lot(servers, sums)
        if self.how == "lottery":
            return first
        second = self.lot(servers, sums)
        return first if self.busy[first] <= self.busy[second] else second

    def turn(self, tried: Collection[Key]) -> Key | None:
        able = {server: weight for server, weight in self.lines.items() if weight and server not in tried}
        for server, weight in able.items():
            self.wheel[server] = self.wheel.get(server, 0) + weight
        best = max(able, key=lambda server: self.wheel[server], default=None)
        if best is not None:
            self.wheel[best] -= sum(able.values())
        return best

    def able(self, tried: Collection[Key]) -> tuple[list[Key], list[int]]:
        rows = [row for row in self.lines.items() if row[1] and row[0] not in tried]
        return [server for server, _ in rows], list(accumulate(weight for _, weight in rows))

    def draw(self) -> tuple[list[Key], list[int]]:
        self.drawn = self.able(())
        return self.drawn

    def lot(self, servers: list[Key], sums: list[int]) -> Key:
        return servers[bisect(sums, self.chance.uniform() * sums[-1])]

    def note(self, server: Key, dropped: bool, took_us: int) -> None:
        row = self.met.setdefault(server, [0, 0, 0])
        row[0] += 1
        row[1] += dropped
        row[2] += 0 if dropped else took_us
