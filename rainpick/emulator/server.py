"""An emulated server: slots or shared cores, a queue, a slow start, a limit on connections, faults.

There are two disciplines, as queueing theory has them: slots (so many calls at once, the rest wait: M/M/c
with Poisson arrivals and exponential work) and processor sharing (all calls share the cores).
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Hashable
from enum import StrEnum
from heapq import heappop, heappush
from typing import NamedTuple, TypeAlias

from rainpick.emulator.clock import Ticket, VirtualClock

HUNG_RETRY_US = 10_000  # how long after a finished call of a hung server is looked at again
WARM_UP_CHECK_US = 20_000  # how often the speed of shared cores is brought up to date during a slow start


class Outcome(StrEnum):
    """How an attempt ended."""

    ANSWERED = "answered"
    DROPPED = "dropped"  # the queue is full
    REFUSED = "refused"  # the server is down or out of connections
    BROKEN = "broken"  # the server stopped during the call
    TIMED_OUT = "late"
    NO_SERVER = "no line"  # the proxy has no open server


OutcomeCallback: TypeAlias = Callable[[Outcome], None]


class ServerType(NamedTuple):
    """What a server is able to. Times are in microseconds; ``speed`` is work per microsecond and core."""

    cores: int = 4
    speed: float = 1.0
    sharing: bool = False
    queue_capacity: int = 64  # calls that may wait, or with ``sharing`` be worked on beyond the cores'
    max_connections: int = 10_000
    warm_up_us: int = 0  # from the start to full speed, in a straight line
    start_capacity: float = 1.0  # fraction of the speed at the start
    thrash: float = 0.0  # with ``sharing``: fraction of the speed that each call beyond the cores costs


class Server(ABC):
    """One server, up and warm at first. Subclasses are the disciplines."""

    def __init__(self, clock: VirtualClock, name: Hashable, server_type: ServerType):
        self.clock, self.name, self.type = clock, name, server_type
        self.up, self.started_us = True, -server_type.warm_up_us
        self.hung, self.slowdown = False, 1.0

    def speed_fraction(self) -> float:
        """Give the fraction of its speed that the server has now."""
        if self.hung:
            return 0.0
        warm_up_us, start = self.type.warm_up_us, self.type.start_capacity
        age = (self.clock.now - self.started_us) / warm_up_us if warm_up_us else 1.0
        return min(1.0, start + (1 - start) * max(0.0, age)) / self.slowdown

    def start(self) -> None:
        """Start, which begins a slow start."""
        self.up, self.started_us, self.hung = True, self.clock.now, False

    def stop(self) -> None:
        """Stop at once: calls in progress break."""
        self.up = False
        for done in self.remove_calls():
            done(Outcome.BROKEN)

    def handle(self, work: float, done: OutcomeCallback) -> None:
        """Handle a call of some work, in microseconds at speed 1; ``done`` is called once."""
        calls = self.call_count()
        if not self.up or calls >= self.type.max_connections:
            done(Outcome.REFUSED)
        elif calls >= self.type.cores + self.type.queue_capacity:
            done(Outcome.DROPPED)
        else:
            self.admit(work, done)

    @abstractmethod
    def set_fault(self, slowdown: float = 1.0, hung: bool = False) -> None:
        """Begin a fault, or with no arguments end it."""

    @abstractmethod
    def call_count(self) -> int:
        """Count the calls that wait or are worked on."""

    @abstractmethod
    def admit(self, work: float, done: OutcomeCallback) -> None:
        """Begin a call or put it into the queue."""

    @abstractmethod
    def remove_calls(self) -> list[OutcomeCallback]:
        """Remove all calls, and give their callbacks."""


class SlotCall:
    """A call at a server with slots."""

    __slots__ = ("done", "ticket", "work")

    def __init__(self, work: float, done: OutcomeCallback):
        self.work, self.done = work, done
        self.ticket: Ticket = 0  # of its end, once it is worked on


class SlotServer(Server):
    """Works on as many calls at once as it has cores; a fault lets it finish at the speed of the begin."""

    def __init__(self, clock: VirtualClock, name: Hashable, server_type: ServerType):
        super().__init__(clock, name, server_type)
        self.queue: deque[SlotCall] = deque()
        self.working: set[SlotCall] = set()

    def set_fault(self, slowdown: float = 1.0, hung: bool = False) -> None:
        """Begin or end a fault: calls that begin from now on feel it."""
        recovered = self.hung and not hung
        self.slowdown, self.hung = slowdown, hung
        if recovered:
            self.fill_slots()

    def call_count(self) -> int:
        """Count the calls that wait or are worked on."""
        return len(self.queue) + len(self.working)

    def admit(self, work: float, done: OutcomeCallback) -> None:
        """Queue a call, and begin it if a slot is free."""
        self.queue.append(SlotCall(work, done))
        self.fill_slots()

    def remove_calls(self) -> list[OutcomeCallback]:
        """Remove all calls and cancel their ends."""
        for call in self.working:
            self.clock.cancel(call.ticket)
        callbacks = [call.done for call in (*self.queue, *self.working)]
        self.queue.clear()
        self.working.clear()
        return callbacks

    def fill_slots(self) -> None:
        """Begin calls that wait while slots are free."""
        while self.queue and len(self.working) < self.type.cores and not self.hung:
            call = self.queue.popleft()
            self.working.add(call)
            duration_us = call.work / (self.type.speed * self.speed_fraction())
            call.ticket = self.clock.schedule_after(max(1, round(duration_us)), self.finish, call)

    def finish(self, call: SlotCall) -> None:
        """End a call; while the server hangs, its end is put off."""
        if self.hung:
            call.ticket = self.clock.schedule_after(HUNG_RETRY_US, self.finish, call)
            return
        self.working.discard(call)
        call.done(Outcome.ANSWERED)
        self.fill_slots()


class SharedCoreServer(Server):
    """Shares its cores among all calls; a change of its speed changes all of them at once.

    All calls get work at the same rate. So one sum of the work that each has got is kept, and a call ends
    when the sum has grown by its work.
    """

    def __init__(self, clock: VirtualClock, name: Hashable, server_type: ServerType):
        super().__init__(clock, name, server_type)
        self.calls: list[tuple[float, int, OutcomeCallback]] = []  # heap by the sum at which each ends
        self.work_done = 0.0  # the sum
        self.updated_us = clock.now  # when it was last brought up to date
        self.admitted = 0
        self.next_end: Ticket | None = None

    def set_fault(self, slowdown: float = 1.0, hung: bool = False) -> None:
        """Begin or end a fault: calls in progress feel it at once."""
        self.settle()
        self.slowdown, self.hung = slowdown, hung
        self.schedule_next_end()

    def call_count(self) -> int:
        """Count the calls that share the cores."""
        return len(self.calls)

    def admit(self, work: float, done: OutcomeCallback) -> None:
        """Begin a call, which slows down the others."""
        self.settle()
        self.admitted += 1
        heappush(self.calls, (self.work_done + work, self.admitted, done))
        self.schedule_next_end()

    def remove_calls(self) -> list[OutcomeCallback]:
        """Remove all calls."""
        callbacks = [done for _, _, done in self.calls]
        self.calls.clear()
        self.schedule_next_end()
        return callbacks

    def rate(self) -> float:
        """Give the work that each call gets in a microsecond."""
        calls = len(self.calls)
        if not calls:
            return 0.0
        excess = max(0, calls - self.type.cores)
        speed = self.type.speed * self.speed_fraction() / (1 + self.type.thrash * excess)
        return speed * min(1.0, self.type.cores / calls)

    def settle(self) -> None:
        """Account for the work done since this was last called, at the rate of now."""
        self.work_done += (self.clock.now - self.updated_us) * self.rate()
        self.updated_us = self.clock.now

    def schedule_next_end(self) -> None:
        """Schedule the end of the call that is next to end at the present rate."""
        if self.next_end is not None:
            self.clock.cancel(self.next_end)
            self.next_end = None
        rate = self.rate()
        if not self.calls or not rate:
            return
        delay_us = max(1, round(max(0.0, self.calls[0][0] - self.work_done) / rate))
        warming_up = self.type.warm_up_us and self.speed_fraction() * self.slowdown < 1
        if warming_up:  # the rate rises meanwhile
            delay_us = min(delay_us, WARM_UP_CHECK_US)
        self.next_end = self.clock.schedule_after(delay_us, self.end_calls)

    def end_calls(self) -> None:
        """End the calls whose work is done."""
        self.next_end = None
        self.settle()
        callbacks: list[OutcomeCallback] = []
        reached = self.work_done * (1 + 1e-9) + 0.5 * self.rate()  # half a microsecond short is done
        while self.calls and self.calls[0][0] <= reached:
            callbacks.append(heappop(self.calls)[2])
        self.schedule_next_end()
        for done in callbacks:
            done(Outcome.ANSWERED)


def create_server(clock: VirtualClock, name: Hashable, server_type: ServerType) -> Server:
    """Make a server of the discipline that its type names."""
    discipline = SharedCoreServer if server_type.sharing else SlotServer
    return discipline(clock, name, server_type)
