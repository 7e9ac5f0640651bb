"""Virtual clock in whole microseconds, with a heap of timers.

Timers that are due at the same time fire in the order in which they were scheduled.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, TypeAlias

TimerId: TypeAlias = int  # identifies a timer in ``VirtualClock.cancel``


class VirtualClock:
    """The clock and the timers of a run."""

    def __init__(self, now: int = 0):
        self.now = now
        self.pending: list[tuple[int, TimerId, Callable[..., Any], tuple[Any, ...]]] = []
        self.scheduled = 0  # number of timers scheduled so far, and the identifier of the latest timer
        self.cancelled: set[TimerId] = set()

    def schedule_at(self, due_us: int, function: Callable[..., Any], *args: Any) -> TimerId:
        """Schedule a call of ``function`` at a time; a time in the past is due now."""
        self.scheduled += 1
        heappush(self.pending, (max(due_us, self.now), self.scheduled, function, args))
        return self.scheduled

    def schedule_after(self, delay_us: int, function: Callable[..., Any], *args: Any) -> TimerId:
        """Schedule a call of ``function`` after a delay."""
        return self.schedule_at(self.now + delay_us, function, *args)

    def cancel(self, timer: TimerId) -> None:
        """Cancel a timer that has not fired yet."""
        self.cancelled.add(timer)

    def run(self, until_us: int) -> None:
        """Advance to ``until_us`` and fire the timers that are due up to and including this time."""
        pending, cancelled = self.pending, self.cancelled
        while pending and pending[0][0] <= until_us:
            due_us, timer, function, args = heappop(pending)
            if timer in cancelled:
                cancelled.discard(timer)
                continue
            self.now = due_us
            function(*args)
        self.now = until_us
