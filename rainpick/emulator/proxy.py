"""A plain proxy: it holds the lines that it was written and picks by them; it decides nothing else."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Literal

from rainpick.director.tables import SHUT, Key, Line
from rainpick.emulator.chance import Chance

Pick = Literal["lottery", "wheel", "pair"]


class Proxy:
    """``pick`` says how: by lot, by smooth weighted round robin, or the less busy of two lots."""

    def __init__(self, number: int, zone: int, pick: Pick, chance: Chance, standing: Iterable[Key] = ()):
        self.number, self.zone, self.how, self.chance = number, zone, pick, chance
        self.lines: dict[Key, int] = dict.fromkeys(standing, 1)
        self.busy: Counter[Key] = Counter()
        self.wheel: dict[Key, float] = {}
        self.met: dict[Key, list[int]] = {}  # since the last report: tries, dropped, microseconds
        self.calls = 0
        self.level: float | None = None

    def read(self, lines: Iterable[Line]) -> None:
        for line in lines:
            if line.weight or line.flags & SHUT == SHUT:
                self.lines[line.server] = line.weight
            else:
                self.lines.pop(line.server, None)
                self.wheel.pop(line.server, None)

    def pick(self, tried: Iterable[Key] = ()) -> Key | None:
        """A server, not one of those tried; None if it has no open line left."""
        able = {server: weight for server, weight in self.lines.items() if weight and server not in tried}
        if not able:
            return None
        total = sum(able.values())
        if self.how == "wheel":
            for server, weight in able.items():
                self.wheel[server] = self.wheel.get(server, 0) + weight
            best = max(able, key=lambda server: self.wheel[server])
            self.wheel[best] -= total
            return best
        first = self.lot(able, total)
        if self.how == "lottery":
            return first
        second = self.lot(able, total)
        return first if self.busy[first] <= self.busy[second] else second

    def lot(self, able: dict[Key, int], total: int) -> Key:
        left = self.chance.uniform() * total
        for server, weight in able.items():
            left -= weight
            if left < 0:
                return server
        return server

    def note(self, server: Key, dropped: bool, took_us: int) -> None:
        row = self.met.setdefault(server, [0, 0, 0])
        row[0] += 1
        row[1] += dropped
        row[2] += 0 if dropped else took_us
