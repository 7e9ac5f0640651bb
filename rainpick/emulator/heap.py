"""Virtual time: one heap of what is due, in whole microseconds.

What is due together runs in the order in which it was set.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class Heap:
    """The clock of a run. ``at`` and ``after`` give back a ticket that ``cancel`` takes."""

    def __init__(self, now: int = 0):
        self.now = now
        self.due: list[tuple[int, int, Callable[..., Any] | None, tuple]] = []
        self.count = 0
        self.cancelled: set[int] = set()

    def at(self, when: int, call: Callable[..., Any], *words: Any) -> int:
        """Have something called at a time; what is past is called now."""
        self.count += 1
        heappush(self.due, (max(when, self.now), self.count, call, words))
        return self.count

    def after(self, wait_us: int, call: Callable[..., Any], *words: Any) -> int:
        return self.at(self.now + wait_us, call, *words)

    def cancel(self, ticket: int) -> None:
        """For tickets that have not run yet."""
        self.cancelled.add(ticket)

    def run(self, until_us: int) -> None:
        """Let the clock go on to ``until_us``, that moment included."""
        due, cancelled = self.due, self.cancelled
        while due and due[0][0] <= until_us:
            when, ticket, call, words = heappop(due)
            if ticket in cancelled:
                cancelled.discard(ticket)
                continue
            self.now = when
            call(*words)
        self.now = until_us
