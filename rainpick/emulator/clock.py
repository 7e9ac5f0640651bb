"""Virtual time, in whole microseconds: a heap of scheduled calls.

Calls that are due at the same time run in the order in which they were scheduled.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, TypeAlias

Ticket: TypeAlias = int  # names a scheduled call, for ``VirtualClock.cancel``


class VirtualClock:
    """The clock of a run."""

    def __init__(self, now: int = 0):
        self.now = now
        self.pending: list[tuple[int, Ticket, Callable[..., Any], tuple[Any, ...]]] = []
        self.scheduled = 0  # calls scheduled so far; the number of one is its ticket
        self.cancelled: set[Ticket] = set()

    def schedule_at(self, when: int, function: Callable[..., Any], *args: Any) -> Ticket:
        """Schedule a call for a time; one in the past is due now."""
        self.scheduled += 1
        heappush(self.pending, (max(when, self.now), self.scheduled, function, args))
        return self.scheduled

    def schedule_after(self, delay_us: int, function: Callable[..., Any], *args: Any) -> Ticket:
        """Schedule a call for when a delay has passed."""
        return self.schedule_at(self.now + delay_us, function, *args)

    def cancel(self, ticket: Ticket) -> None:
        """Cancel a scheduled call that has not run yet."""
        self.cancelled.add(ticket)

    def run(self, until_us: int) -> None:
        """Advance to a time, and make the calls that are due by then, that moment included."""
        pending, cancelled = self.pending, self.cancelled
        while pending and pending[0][0] <= until_us:
            when, ticket, function, args = heappop(pending)
            if ticket in cancelled:
                cancelled.discard(ticket)
                continue
            self.now = when
            function(*args)
        self.now = until_us
