"""The director's clock, and servers' starts on it, whoever steps the wall clock.

Servers' starts are told in Unix time, which may be stepped at any moment; all else are spans of real time.
So the clock is the monotonic one, moved once by the Unix time of the director's start. A start is converted
by the offset that the wall clock had when the start was stamped: of the offsets seen so far, the one that
makes it the youngest, as a cold server must not pass for a warm one. What lies in the future under all of
them began now.
"""

from __future__ import annotations

import time
from collections.abc import Callable

STEP_US = 100_000  # a wall clock that is further off was stepped; slewing stays far below between two looks
FUTURE_US = 1_000_000  # a start may be stamped that much ahead by another machine
OFFSETS_MOST = 16  # remembered steps


def unix_us() -> int:
    """The wall clock."""
    return time.time_ns() // 1000


def monotonic_us() -> int:
    """The clock that nobody steps."""
    return time.monotonic_ns() // 1000


class Clock:
    """Microseconds that never run backwards, near Unix time as it was at the start."""

    def __init__(self, wall: Callable[[], int] = unix_us, monotonic: Callable[[], int] = monotonic_us):
        self.wall, self.monotonic = wall, monotonic
        self.first = wall() - monotonic()
        self.offsets = [self.first]  # of the wall clock to the monotonic one, the newest last
        self.steps = 0

    def __call__(self) -> int:
        return self.monotonic() + self.first

    def look(self) -> int | None:
        """Notice a step of the wall clock: by how many microseconds; None if there was none."""
        offset = self.wall() - self.monotonic()
        step = offset - self.offsets[-1]
        if abs(step) <= STEP_US:
            self.offsets[-1] = offset
            return None
        self.offsets = [*self.offsets[1 - OFFSETS_MOST :], offset]
        self.steps += 1
        return step

    def started(self, told_us: int) -> int:
        """A start that was told in Unix time, on this clock; 0 stays 0: long ago."""
        if not told_us:
            return 0
        now = self()
        starts = [told_us - offset + self.first for offset in self.offsets]
        return min(now, max((start for start in starts if start <= now + FUTURE_US), default=now))
