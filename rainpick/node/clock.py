"""The director's clock, and endpoints' start times on it, whoever steps the wall clock.

Start times are given in Unix time, which may be stepped at any moment; all else are spans of real time. So
the clock is the monotonic one, moved once by the Unix time of the director's start. A start time is converted
by the offset that the wall clock had when it was stamped: of the offsets seen so far, the one that makes the
endpoint the youngest, as one that is warming up must not pass for a warm one. A start time that lies in the
future under all of these offsets is taken for now.
"""

from __future__ import annotations

import time
from collections.abc import Callable

STEP_US = 100_000  # a greater change of the offset is a step; slewing stays far below between two looks
FUTURE_US = 1_000_000  # a start time may be stamped that much ahead by another machine
OFFSET_LIMIT = 16  # remembered steps


def unix_us() -> int:
    """The wall clock, in microseconds."""
    return time.time_ns() // 1000


def monotonic_us() -> int:
    """The clock that is never stepped, in microseconds."""
    return time.monotonic_ns() // 1000


class Clock:
    """Microseconds that never run backwards, near Unix time as it was at the start."""

    def __init__(self, wall: Callable[[], int] = unix_us, monotonic: Callable[[], int] = monotonic_us):
        self.wall = wall
        self.monotonic = monotonic
        self.first_offset = wall() - monotonic()
        self.offsets = [self.first_offset]  # of the wall clock to the monotonic one, the newest last
        self.steps = 0  # of the wall clock, so far

    def __call__(self) -> int:
        """Now, in microseconds."""
        return self.monotonic() + self.first_offset

    def detect_step(self) -> int | None:
        """By how many microseconds the wall clock was stepped since the last look; None if it was not."""
        offset = self.wall() - self.monotonic()
        step = offset - self.offsets[-1]
        if abs(step) <= STEP_US:
            self.offsets[-1] = offset
            return None
        self.offsets = [*self.offsets[1 - OFFSET_LIMIT :], offset]
        self.steps += 1
        return step

    def start_time(self, stamped_us: int) -> int:
        """A start time in Unix time, on this clock; 0 stays 0: long ago."""
        if not stamped_us:
            return 0
        now = self()
        candidates = [stamped_us - offset + self.first_offset for offset in self.offsets]
        plausible = (start for start in candidates if start <= now + FUTURE_US)
        return min(now, max(plausible, default=now))
