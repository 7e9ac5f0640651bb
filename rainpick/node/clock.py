"""The director's clock, and the conversion of endpoints' start times to it, robust to wall clock steps.

Discovery gives start times in Unix time, and the wall clock may be stepped at any moment. The decisions only
need the time between events. The director's clock is therefore the monotonic clock plus a constant: the
offset of the wall clock from the monotonic clock when the director started.

The offset at the moment when a start time was stamped is not known. Of the remembered offsets, the conversion
uses the one that makes the endpoint youngest, because an endpoint that is warming up must not be treated as
warm. A start time that lies in the future with every remembered offset is treated as now.
"""

from __future__ import annotations

import time
from collections.abc import Callable

# A larger change of the offset between two checks is a step; slewing changes it far less.
STEP_THRESHOLD_US = 100_000
# A start time may lie this far in the future, and is then treated as now: the clock of the machine that
# stamped it may be ahead of this machine's clock.
FUTURE_TOLERANCE_US = 1_000_000
OFFSET_LIMIT = 16  # number of remembered offsets


def unix_us() -> int:
    """Return Unix time in microseconds, from the wall clock."""
    return time.time_ns() // 1000


def monotonic_us() -> int:
    """Return the time of the monotonic clock, which is never stepped, in microseconds."""
    return time.monotonic_ns() // 1000


class Clock:
    """A monotonic clock in microseconds. At its creation it shows Unix time."""

    def __init__(self, wall: Callable[[], int] = unix_us, monotonic: Callable[[], int] = monotonic_us):
        self.wall = wall
        self.monotonic = monotonic
        self.initial_offset = wall() - monotonic()
        self.offsets = [self.initial_offset]  # wall clock minus monotonic clock, newest last
        self.steps = 0  # steps of the wall clock detected so far

    def __call__(self) -> int:
        """Return the current time in microseconds."""
        return self.monotonic() + self.initial_offset

    def detect_step(self) -> int | None:
        """Return by how many microseconds the wall clock was stepped since the last check; None if not."""
        offset = self.wall() - self.monotonic()
        step = offset - self.offsets[-1]
        if abs(step) <= STEP_THRESHOLD_US:
            self.offsets[-1] = offset
            return None
        self.offsets = [*self.offsets[1 - OFFSET_LIMIT :], offset]
        self.steps += 1
        return step

    def start_time(self, stamped_us: int) -> int:
        """Convert a start time from Unix time to this clock; 0, which means long ago, stays 0."""
        if not stamped_us:
            return 0
        now = self()
        candidates = [stamped_us - offset + self.initial_offset for offset in self.offsets]
        plausible = (start for start in candidates if start <= now + FUTURE_TOLERANCE_US)
        return min(now, max(plausible, default=now))
