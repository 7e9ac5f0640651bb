"""A served system's server: slots or shared cores, a waiting room, a cold start, a limit on connections.

Two ways of working, as queueing theory has them: slots (so many calls at once, the rest wait: M/M/c with
Poisson arrivals and exponential work) and ``sharing`` (all calls share the cores: processor sharing).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable
from heapq import heappop, heappush
from typing import NamedTuple

from rainpick.emulator.heap import Heap

ANSWERED, DROPPED, REFUSED, BROKEN = "answered", "dropped", "refused", "broken"
Done = Callable[[str], None]


class Kind(NamedTuple):
    """What a server is able to. Times in microseconds; ``speed`` is work done in a microsecond by a core."""

    cores: int = 4
    speed: float = 1.0
    sharing: bool = False
    room: int = 64  # calls that may wait, or with ``sharing`` be worked on beside the cores'
    connections: int = 10_000
    warm_us: int = 0  # from its start to full speed, in a straight line
    start_capacity: float = 1.0  # its part at the start
    thrash: float = 0.0  # with ``sharing``: the part of its speed that each call over the cores costs


class Call:
    """A try under way at a server."""

    __slots__ = ("done", "left", "ticket")

    def __init__(self, work: float, done: Done):
        self.left, self.done, self.ticket = work, done, 0


class Server:
    """One server. ``take`` hands it a call of some work; ``done`` is told the outcome, once."""

    def __init__(self, heap: Heap, name: Hashable, kind: Kind):
        self.heap, self.name, self.kind = heap, name, kind
        self.up, self.started_us, self.hung, self.slow = True, -kind.warm_us, False, 1.0
        self.waiting: deque[Call] = deque()
        self.working: set[Call] = set()
        self.shared: list[tuple[float, int, Call]] = []  # by when, in work a call, each is ready
        self.given = 0.0  # work that each sharing call has got since the beginning
        self.seen_us, self.count = heap.now, 0
        self.ready: int | None = None  # the ticket of the next that is ready

    # How fast

    def able(self) -> float:
        """The part of its speed that it has just now."""
        kind = self.kind
        if self.hung:
            return 0.0
        age = (self.heap.now - self.started_us) / kind.warm_us if kind.warm_us else 1.0
        return min(1.0, kind.start_capacity + (1 - kind.start_capacity) * max(0.0, age)) / self.slow

    def rate(self) -> float:
        """Work that each of the sharing calls gets in a microsecond."""
        many = len(self.shared)
        over = max(0, many - self.kind.cores)
        speed = self.kind.speed * self.able() / (1 + self.kind.thrash * over)
        return speed * min(1.0, self.kind.cores / many) if many else 0.0

    # What happens to it

    def start(self) -> None:
        self.up, self.started_us, self.hung = True, self.heap.now, False

    def stop(self) -> None:
        """It goes at once: calls under way break."""
        calls = [*self.waiting, *self.working, *(call for _, _, call in self.shared)]
        self.up = False
        self.waiting.clear()
        self.working.clear()
        self.shared.clear()
        for call in calls:
            if call.ticket:
                self.heap.cancel(call.ticket)
            call.done(BROKEN)
        self.plan()

    def change(self, slow: float = 1.0, hung: bool = False) -> None:
        """A fault begins or ends. Slots finish what they began; sharing calls feel it at once."""
        self.settle()
        self.slow, was, self.hung = slow, self.hung, hung
        self.plan()
        if was and not hung:
            self.fill()

    def open(self) -> int:
        return len(self.waiting) + len(self.working) + len(self.shared)

    def take(self, work: float, done: Done) -> None:
        if not self.up or self.open() >= self.kind.connections:
            done(REFUSED)
        elif self.open() >= self.kind.cores + self.kind.room:
            done(DROPPED)
        elif self.kind.sharing:
            self.settle()
            self.count += 1
            heappush(self.shared, (self.given + work, self.count, Call(work, done)))
            self.plan()
        else:
            self.waiting.append(Call(work, done))
            self.fill()

    # Slots

    def fill(self) -> None:
        while self.waiting and len(self.working) < self.kind.cores and not self.hung:
            call = self.waiting.popleft()
            self.working.add(call)
            took = call.left / (self.kind.speed * self.able())
            call.ticket = self.heap.after(max(1, round(took)), self.finish, call)

    def finish(self, call: Call) -> None:
        if self.hung:  # it hangs over what it holds, too
            call.ticket = self.heap.after(10_000, self.finish, call)
            return
        self.working.discard(call)
        call.ticket = 0
        call.done(ANSWERED)
        self.fill()

    # Sharing

    def settle(self) -> None:
        """Give out the work done since it was last looked at."""
        self.given += (self.heap.now - self.seen_us) * self.rate()
        self.seen_us = self.heap.now

    def plan(self) -> None:
        if self.ready is not None:
            self.heap.cancel(self.ready)
            self.ready = None
        rate = self.rate()
        if self.shared and rate:
            wait = max(0.0, self.shared[0][0] - self.given) / rate
            # A cold server gets faster meanwhile: looked at again before long.
            cold = self.kind.warm_us and self.able() * self.slow < 1
            self.ready = self.heap.after(
                min(max(1, round(wait)), 20_000) if cold else max(1, round(wait)), self.look
            )

    def look(self) -> None:
        self.ready = None
        self.settle()
        done = []
        near = self.given * (1 + 1e-9) + 0.5 * self.rate()  # half a microsecond is ready
        while self.shared and self.shared[0][0] <= near:
            done.append(heappop(self.shared)[2])
        self.plan()
        for call in done:
            call.done(ANSWERED)
