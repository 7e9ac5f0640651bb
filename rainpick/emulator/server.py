"""Emulated servers: slots or shared cores, a queue, a slow start, a connection limit, faults.

There are two service disciplines in the sense of queueing theory. With slots, a server processes one attempt
per core and queues the others (M/M/c with Poisson arrivals and exponential work). With processor sharing,
all attempts share the cores.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Hashable
from enum import StrEnum
from heapq import heappop, heappush
from typing import NamedTuple, TypeAlias

from rainpick.emulator.clock import TimerId, VirtualClock

HUNG_CHECK_INTERVAL_US = 10_000  # interval of checks whether a hanging server answers again
WARM_UP_UPDATE_INTERVAL_US = 20_000  # interval of speed updates of shared cores in a slow start


class Outcome(StrEnum):
    """Outcome of an attempt."""

    ANSWERED = "answered"
    DROPPED = "dropped"  # the server's queue is full
    REFUSED = "refused"  # the server is down or has its maximum of connections
    BROKEN = "broken"  # the server stopped during the attempt
    TIMED_OUT = "late"
    NO_SERVER = "no line"  # the proxy has no open server


OutcomeCallback: TypeAlias = Callable[[Outcome], None]


class ServerType(NamedTuple):
    """Capacity of a server. Times are in microseconds; ``speed`` is work per microsecond and core."""

    cores: int = 4
    speed: float = 1.0
    sharing: bool = False
    # Attempts that may wait, or with ``sharing`` be in progress, beyond one per core.
    queue_capacity: int = 64
    max_connections: int = 10_000
    warm_up_us: int = 0  # time from the start to full speed; the speed increases linearly
    start_capacity: float = 1.0  # speed at the start, as a fraction of the full speed
    thrash: float = 0.0  # with ``sharing``: relative slowdown for each attempt beyond one per core


class Server(ABC):
    """A server, initially up and warm. Subclasses implement the service disciplines."""

    def __init__(self, clock: VirtualClock, name: Hashable, server_type: ServerType):
        self.clock, self.name, self.type = clock, name, server_type
        self.up, self.started_us = True, -server_type.warm_up_us
        self.hung, self.slowdown = False, 1.0

    def speed_fraction(self) -> float:
        """Return the current speed as a fraction of the full speed."""
        if self.hung:
            return 0.0
        warm_up_us, start = self.type.warm_up_us, self.type.start_capacity
        age = (self.clock.now - self.started_us) / warm_up_us if warm_up_us else 1.0
        return min(1.0, start + (1 - start) * max(0.0, age)) / self.slowdown

    def start(self) -> None:
        """Start the server in slow start, without a hang."""
        self.up, self.started_us, self.hung = True, self.clock.now, False

    def stop(self) -> None:
        """Stop at once; attempts that wait or are in progress end as ``BROKEN``."""
        self.up = False
        for done in self.remove_attempts():
            done(Outcome.BROKEN)

    def handle(self, work: float, done: OutcomeCallback) -> None:
        """Start or queue an attempt, or reject it.

        ``work`` is in microseconds at speed 1; ``done`` is called once, with the outcome.
        """
        attempts = self.attempt_count()
        if not self.up or attempts >= self.type.max_connections:
            done(Outcome.REFUSED)
        elif attempts >= self.type.cores + self.type.queue_capacity:
            done(Outcome.DROPPED)
        else:
            self.admit(work, done)

    @abstractmethod
    def set_fault(self, slowdown: float = 1.0, hung: bool = False) -> None:
        """Start a fault; without arguments, end the fault."""

    @abstractmethod
    def attempt_count(self) -> int:
        """Return the number of attempts that wait or are in progress."""

    @abstractmethod
    def admit(self, work: float, done: OutcomeCallback) -> None:
        """Start or queue an attempt."""

    @abstractmethod
    def remove_attempts(self) -> list[OutcomeCallback]:
        """Remove all attempts and return their callbacks."""


class SlotAttempt:
    """An attempt at a server with slots."""

    __slots__ = ("done", "timer", "work")

    def __init__(self, work: float, done: OutcomeCallback):
        self.work, self.done = work, done
        self.timer: TimerId = 0  # timer of the end of the attempt, set when the attempt starts


class SlotServer(Server):
    """Processes one attempt per core, at the speed that the server has when the attempt starts."""

    def __init__(self, clock: VirtualClock, name: Hashable, server_type: ServerType):
        super().__init__(clock, name, server_type)
        self.queue: deque[SlotAttempt] = deque()
        self.in_progress: set[SlotAttempt] = set()

    def set_fault(self, slowdown: float = 1.0, hung: bool = False) -> None:
        """Start or end a fault; a slowdown affects only attempts that start later."""
        recovered = self.hung and not hung
        self.slowdown, self.hung = slowdown, hung
        if recovered:
            self.fill_slots()

    def attempt_count(self) -> int:
        """Return the number of attempts that wait or are in progress."""
        return len(self.queue) + len(self.in_progress)

    def admit(self, work: float, done: OutcomeCallback) -> None:
        """Queue an attempt, and start it if a slot is free."""
        self.queue.append(SlotAttempt(work, done))
        self.fill_slots()

    def remove_attempts(self) -> list[OutcomeCallback]:
        """Remove all attempts and cancel their timers."""
        for attempt in self.in_progress:
            self.clock.cancel(attempt.timer)
        callbacks = [attempt.done for attempt in (*self.queue, *self.in_progress)]
        self.queue.clear()
        self.in_progress.clear()
        return callbacks

    def fill_slots(self) -> None:
        """Start waiting attempts while slots are free."""
        while self.queue and len(self.in_progress) < self.type.cores and not self.hung:
            attempt = self.queue.popleft()
            self.in_progress.add(attempt)
            duration_us = attempt.work / (self.type.speed * self.speed_fraction())
            attempt.timer = self.clock.schedule_after(max(1, round(duration_us)), self.finish, attempt)

    def finish(self, attempt: SlotAttempt) -> None:
        """Complete an attempt and start waiting ones. While the server hangs, check again later."""
        if self.hung:
            attempt.timer = self.clock.schedule_after(HUNG_CHECK_INTERVAL_US, self.finish, attempt)
            return
        self.in_progress.discard(attempt)
        attempt.done(Outcome.ANSWERED)
        self.fill_slots()


class SharedCoreServer(Server):
    """Shares its cores among all attempts; a change of speed affects all of them at once.

    All attempts progress at the same rate. ``work_done`` is the work done for each attempt since the server
    was created, so an attempt ends when ``work_done`` has increased by its work.
    """

    def __init__(self, clock: VirtualClock, name: Hashable, server_type: ServerType):
        super().__init__(clock, name, server_type)
        # Heap of attempts: the value of ``work_done`` at which the attempt ends, its number, its callback.
        self.attempts: list[tuple[float, int, OutcomeCallback]] = []
        self.work_done = 0.0
        self.updated_us = clock.now  # time of the last update of ``work_done``
        self.admitted = 0  # number of attempts admitted so far
        self.next_end_timer: TimerId | None = None

    def set_fault(self, slowdown: float = 1.0, hung: bool = False) -> None:
        """Start or end a fault, which affects attempts in progress at once."""
        self.update_work_done()
        self.slowdown, self.hung = slowdown, hung
        self.schedule_next_end()

    def attempt_count(self) -> int:
        """Return the number of attempts that share the cores."""
        return len(self.attempts)

    def admit(self, work: float, done: OutcomeCallback) -> None:
        """Start an attempt, which slows down the others."""
        self.update_work_done()
        self.admitted += 1
        heappush(self.attempts, (self.work_done + work, self.admitted, done))
        self.schedule_next_end()

    def remove_attempts(self) -> list[OutcomeCallback]:
        """Remove all attempts and return their callbacks."""
        callbacks = [done for _, _, done in self.attempts]
        self.attempts.clear()
        self.schedule_next_end()
        return callbacks

    def rate(self) -> float:
        """Return the work done for each attempt in a microsecond."""
        attempts = len(self.attempts)
        if not attempts:
            return 0.0
        excess = max(0, attempts - self.type.cores)
        speed = self.type.speed * self.speed_fraction() / (1 + self.type.thrash * excess)
        return speed * min(1.0, self.type.cores / attempts)

    def update_work_done(self) -> None:
        """Add the work since the last update, at the current rate."""
        self.work_done += (self.clock.now - self.updated_us) * self.rate()
        self.updated_us = self.clock.now

    def schedule_next_end(self) -> None:
        """Schedule the end of the attempt that ends next, at the current rate; replaces the earlier timer."""
        if self.next_end_timer is not None:
            self.clock.cancel(self.next_end_timer)
            self.next_end_timer = None
        rate = self.rate()
        if not self.attempts or not rate:
            return
        delay_us = max(1, round(max(0.0, self.attempts[0][0] - self.work_done) / rate))
        warming_up = self.type.warm_up_us and self.speed_fraction() * self.slowdown < 1
        if warming_up:  # the rate increases during the slow start, so it is updated at intervals
            delay_us = min(delay_us, WARM_UP_UPDATE_INTERVAL_US)
        self.next_end_timer = self.clock.schedule_after(delay_us, self.finish_attempts)

    def finish_attempts(self) -> None:
        """Complete the attempts whose work is done."""
        self.next_end_timer = None
        self.update_work_done()
        callbacks: list[OutcomeCallback] = []
        # Times are whole microseconds, so an attempt that would end within half a microsecond has ended.
        reached = self.work_done * (1 + 1e-9) + 0.5 * self.rate()
        while self.attempts and self.attempts[0][0] <= reached:
            callbacks.append(heappop(self.attempts)[2])
        self.schedule_next_end()
        for done in callbacks:
            done(Outcome.ANSWERED)


def create_server(clock: VirtualClock, name: Hashable, server_type: ServerType) -> Server:
    """Create a server with the service discipline of its type."""
    server_class = SharedCoreServer if server_type.sharing else SlotServer
    return server_class(clock, name, server_type)
