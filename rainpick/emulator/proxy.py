"""An emulated proxy: it holds the weights that it was sent and picks servers by them."""

from __future__ import annotations

from bisect import bisect
from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from itertools import accumulate
from typing import Literal, TypeAlias

from rainpick.director.addresses import Key
from rainpick.director.snapshots import WITHDRAWN, Line
from rainpick.emulator.random_streams import RandomStream

Pick = Literal["lottery", "wheel", "pair"]
"""How a proxy picks: by weighted lot, by smooth weighted round robin, or the less busy of two lots."""

Choices: TypeAlias = tuple[list[Key], list[int]]  # open servers, and their weights summed up


@dataclass(slots=True)
class Observations:
    """What a proxy observed at a server since its last report."""

    attempts: int = 0
    failures: int = 0
    latency_us: int = 0  # of all answered attempts together

    def add(self, other: Observations) -> None:
        """Add another proxy's observations of the same server."""
        self.attempts += other.attempts
        self.failures += other.failures
        self.latency_us += other.latency_us


class Proxy:
    """One proxy; it starts with the servers of a default table, each of weight 1."""

    def __init__(
        self, number: int, zone: int, pick: Pick, random: RandomStream, default_table: Iterable[Key] = ()
    ):
        self.number, self.zone, self.policy, self.random = number, zone, pick, random
        self.weights: dict[Key, int] = dict.fromkeys(default_table, 1)
        self.choices: Choices | None = None  # of all open servers, until the weights change
        self.in_flight: Counter[Key] = Counter()
        self.credits: dict[Key, float] = {}  # of the smooth weighted round robin
        self.observations: dict[Key, Observations] = {}  # since the last report, as the next one
        self.attempts = 0

    def update(self, entries: Iterable[Line]) -> None:
        """Apply the entries of a message: a withdrawn server stays with weight 0, a removed one goes."""
        self.choices = None
        for entry in entries:
            if entry.weight or entry.flags & WITHDRAWN == WITHDRAWN:
                self.weights[entry.server] = entry.weight
            else:
                self.weights.pop(entry.server, None)
                self.credits.pop(entry.server, None)

    def pick(self, excluded: Collection[Key] = ()) -> Key | None:
        """Pick an open server that is not excluded; None if there is none."""
        if self.policy == "wheel":
            return self.pick_round_robin(excluded)
        servers, sums = self.open_choices(excluded) if excluded else self.all_choices()
        if not servers:
            return None
        first = self.draw(servers, sums)
        if self.policy == "lottery":
            return first
        second = self.draw(servers, sums)
        return first if self.in_flight[first] <= self.in_flight[second] else second

    def pick_round_robin(self, excluded: Collection[Key]) -> Key | None:
        """Pick the server that is furthest behind its share."""
        weights = {
            server: weight for server, weight in self.weights.items() if weight and server not in excluded
        }
        for server, weight in weights.items():
            self.credits[server] = self.credits.get(server, 0) + weight
        best = max(weights, key=lambda server: self.credits[server], default=None)
        if best is not None:
            self.credits[best] -= sum(weights.values())
        return best

    def open_choices(self, excluded: Collection[Key]) -> Choices:
        """Collect the open servers that are not excluded."""
        entries = [entry for entry in self.weights.items() if entry[1] and entry[0] not in excluded]
        return [server for server, _ in entries], list(accumulate(weight for _, weight in entries))

    def all_choices(self) -> Choices:
        """Give all open servers, cached until the weights change."""
        if self.choices is None:
            self.choices = self.open_choices(())
        return self.choices

    def draw(self, servers: list[Key], sums: list[int]) -> Key:
        """Draw one server by weight."""
        return servers[bisect(sums, self.random.uniform() * sums[-1])]

    def record(self, server: Key, failed: bool, latency_us: int) -> None:
        """Record the end of an attempt for the next report."""
        observations = self.observations.get(server)
        if observations is None:
            observations = self.observations[server] = Observations()
        observations.attempts += 1
        if failed:
            observations.failures += 1
        else:
            observations.latency_us += latency_us
