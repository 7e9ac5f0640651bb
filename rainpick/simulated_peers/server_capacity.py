"""The capacity of a simulated server: slots, a bounded queue, and a slow start with a load limit."""

from __future__ import annotations

import threading
from collections import deque
from heapq import heapreplace

from rainpick.simulated_peers.peer_settings import MachineType, SlowStart

MAX_QUEUE_US = 1_500_000  # a request that would wait longer for a slot is rejected
# A server warming up fails if the work received in the overload window exceeds ``overload_multiple`` times
# its capacity in that window by more than this multiple of the mean work of the newest request.
SLACK_REQUESTS = 4


class ServerCapacity:
    """The capacity of a server in its current run, and its use. Times are monotonic microseconds."""

    def __init__(self, machine: MachineType, slow_start: SlowStart):
        self.slots, self.speed, self.slow_start = machine.slots, machine.speed, slow_start
        self.lock = threading.Lock()
        self.started_us = 0
        self.slots_free_us = [0.0] * self.slots  # heap of the times at which the slots become free
        self.arrivals: deque[tuple[int, int]] = deque()  # time and mean work of requests in the slow start

    def reset(self, started_us: int) -> None:
        """Reset the state for a new run, with all slots free."""
        self.started_us = started_us
        self.slots_free_us, self.arrivals = [0.0] * self.slots, deque()

    @property
    def warm_rate(self) -> float:
        """Microseconds of work that a warm server does per microsecond."""
        return self.slots * self.speed

    def rate(self, now: int) -> float:
        """Return the microseconds of work that the server does per microsecond, less during warm-up."""
        start = self.slow_start.start_capacity
        age = (now - self.started_us) / self.slow_start.warm_up_us
        return self.warm_rate * min(1.0, start + (1 - start) * age)

    def is_overloaded(self, now: int, work_us: int) -> bool:
        """Count a request by its mean work; return whether a server warming up fails under the load.

        A warm server never fails, so its requests are not counted.
        """
        slow_start = self.slow_start
        if now - self.started_us >= slow_start.warm_up_us:
            return False
        with self.lock:
            self.arrivals.append((now, work_us))
            while self.arrivals[0][0] <= now - slow_start.overload_window_us:
                self.arrivals.popleft()
            received_us = sum(work for _, work in self.arrivals)
        budget_us = slow_start.overload_multiple * self.rate(now) * slow_start.overload_window_us
        return received_us > budget_us + SLACK_REQUESTS * work_us

    def reserve(self, now: int, duration_us: float) -> float | None:
        """Reserve the slot that becomes free first, and return the time at which the request ends.

        None means that the request would wait longer than ``MAX_QUEUE_US``.
        """
        with self.lock:
            begin_us = max(now, self.slots_free_us[0])
            if begin_us - now > MAX_QUEUE_US:
                return None
            end_us = begin_us + duration_us
            heapreplace(self.slots_free_us, end_us)
            return end_us
