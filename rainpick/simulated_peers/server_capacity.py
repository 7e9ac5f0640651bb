"""The capacity of a simulated server: slots, a bounded queue, a slow start with a limit on its load."""

from __future__ import annotations

import threading
from collections import deque
from heapq import heapreplace

from rainpick.simulated_peers.peer_settings import MachineType, SlowStart

MAX_QUEUE_US = 1_500_000  # a request that would wait longer is rejected
SLACK_CALLS = 4  # calls of mean work that a server warming up withstands beyond its budget


class ServerCapacity:
    """What a server is able to since it started. Times are microseconds of the monotonic clock."""

    def __init__(self, machine: MachineType, slow_start: SlowStart):
        self.slots, self.speed, self.slow_start = machine.slots, machine.speed, slow_start
        self.lock = threading.Lock()
        self.started_us = 0
        self.slots_free_us = [0.0] * self.slots  # heap of when each slot is free
        self.arrivals: deque[tuple[int, int]] = deque()  # time and mean work, while it warms up

    def reset(self, started_us: int) -> None:
        """Begin anew: all slots are free."""
        self.started_us = started_us
        self.slots_free_us, self.arrivals = [0.0] * self.slots, deque()

    @property
    def warm_rate(self) -> float:
        """Microseconds of work done in a microsecond by a warm server."""
        return self.slots * self.speed

    def rate(self, now: int) -> float:
        """Microseconds of work done in a microsecond: less while the server warms up."""
        start = self.slow_start.start_capacity
        age = (now - self.started_us) / self.slow_start.warm_up_us
        return self.warm_rate * min(1.0, start + (1 - start) * age)

    def is_overwhelmed(self, now: int, work_us: int) -> bool:
        """Count a request of some mean work; say whether that is more than a server warming up withstands."""
        slow_start = self.slow_start
        if now - self.started_us >= slow_start.warm_up_us:
            return False
        with self.lock:
            self.arrivals.append((now, work_us))
            while self.arrivals[0][0] <= now - slow_start.overload_window_us:
                self.arrivals.popleft()
            received_us = sum(work for _, work in self.arrivals)
        budget_us = slow_start.overload_multiple * self.rate(now) * slow_start.overload_window_us
        return received_us > budget_us + SLACK_CALLS * work_us

    def reserve(self, now: int, duration_us: float) -> float | None:
        """Reserve the slot that is free first; give when the request ends, None if it would wait too long."""
        with self.lock:
            begin_us = max(now, self.slots_free_us[0])
            if begin_us - now > MAX_QUEUE_US:
                return None
            end_us = begin_us + duration_us
            heapreplace(self.slots_free_us, end_us)
            return end_us
