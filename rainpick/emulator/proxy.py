"""An emulated proxy, which stores the published weights and picks servers by them."""

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

PickPolicy = Literal["lottery", "wheel", "pair"]
"""Load balancing policy: weighted random, smooth weighted round robin, or power of two choices."""

# The open servers, which are those with a weight above 0, and the running sums of their weights.
Choices: TypeAlias = tuple[list[Key], list[int]]


@dataclass(slots=True)
class Observations:
    """A proxy's observations of a server since its last report."""

    attempts: int = 0
    failures: int = 0
    latency_us: int = 0  # total latency of the answered attempts

    def add(self, other: Observations) -> None:
        """Add another proxy's observations of the same server."""
        self.attempts += other.attempts
        self.failures += other.failures
        self.latency_us += other.latency_us


class Proxy:
    """A proxy. It starts with the servers of its default table, each with weight 1."""

    def __init__(
        self,
        number: int,
        zone: int,
        pick_policy: PickPolicy,
        random: RandomStream,
        default_table: Iterable[Key] = (),
    ):
        self.number, self.zone, self.pick_policy, self.random = number, zone, pick_policy, random
        self.weights: dict[Key, int] = dict.fromkeys(default_table, 1)
        self.choices: Choices | None = None  # cache of ``all_choices``; None after the weights changed
        self.in_flight: Counter[Key] = Counter()
        self.credits: dict[Key, float] = {}  # state of the smooth weighted round robin
        self.observations: dict[Key, Observations] = {}  # observations since the last report, by server
        self.attempts = 0  # number of attempts to all servers since the last report

    def update(self, entries: Iterable[Line]) -> None:
        """Apply the entries of a message: withdrawn servers get weight 0, removed servers are deleted."""
        self.choices = None
        for entry in entries:
            if entry.weight or entry.flags & WITHDRAWN == WITHDRAWN:
                self.weights[entry.server] = entry.weight
            else:
                self.weights.pop(entry.server, None)
                self.credits.pop(entry.server, None)

    def pick(self, excluded: Collection[Key] = ()) -> Key | None:
        """Pick an open server that is not excluded, by the policy; None if there is none."""
        if self.pick_policy == "wheel":
            return self.pick_round_robin(excluded)
        servers, sums = self.open_choices(excluded) if excluded else self.all_choices()
        if not servers:
            return None
        first = self.draw_server(servers, sums)
        if self.pick_policy == "lottery":
            return first
        second = self.draw_server(servers, sums)
        return first if self.in_flight[first] <= self.in_flight[second] else second

    def pick_round_robin(self, excluded: Collection[Key]) -> Key | None:
        """Pick by smooth weighted round robin the server with the largest credit; None if there is none.

        A pick first adds the weight of each server to the server's credit. Then it subtracts the sum of these
        weights from the credit of the picked server.
        """
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
        """Return the open servers that are not excluded."""
        entries = [entry for entry in self.weights.items() if entry[1] and entry[0] not in excluded]
        return [server for server, _ in entries], list(accumulate(weight for _, weight in entries))

    def all_choices(self) -> Choices:
        """Return all open servers; the result is cached until the weights change."""
        if self.choices is None:
            self.choices = self.open_choices(())
        return self.choices

    def draw_server(self, servers: list[Key], sums: list[int]) -> Key:
        """Return a random server with probability proportional to its weight."""
        return servers[bisect(sums, self.random.uniform() * sums[-1])]

    def record(self, server: Key, failed: bool, latency_us: int) -> None:
        """Add a completed attempt to the observations of the next report."""
        observations = self.observations.get(server)
        if observations is None:
            observations = self.observations[server] = Observations()
        observations.attempts += 1
        if failed:
            observations.failures += 1
        else:
            observations.latency_us += latency_us
