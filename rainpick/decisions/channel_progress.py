"""How far the paced channel has got with the lines that were written to it.

Acknowledgements show it. Where they may be lost, as with the stream that carries them, they are not enough:
nothing is written while the channel counts as full, so nothing new is acknowledged either, and the count
would stay wrong for good. Therefore, after a time without an acknowledgement, the channel is assumed to send
lines at a fraction of its ordinary pace, and the acknowledgement of a line is overdue some time after the
line has left the channel.

The events of this module are not in ``rainpick.model``, whose types are all declared in records. Only the
live director uses them, and it keeps no record.
"""

from __future__ import annotations

from collections import deque
from math import inf
from typing import NamedTuple

# Fractions of the channel's ordinary pace at which lines are assumed to leave it without acknowledgements: at
# first, and after a number of lines, as the channel may be several times slower.
SILENT_PACE_FRACTION = 0.5
LASTING_SILENT_PACE_FRACTION = 0.125


class AcknowledgementsMayBeLost(NamedTuple):
    """Event: from now on, do not rely on acknowledgements alone. Until then each is expected to arrive."""


class TransmissionSuspended(NamedTuple):
    """Event: calls do not reach the channel; lines that were written may be on their way to it."""


class TransmissionResumed(NamedTuple):
    """Event: calls reach the channel again."""


class Sample(NamedTuple):
    """A position, and the time from which it was known or assumed to be reached."""

    at_us: int
    position: int


class ChannelProgress:
    """The position in the sequence of all lines up to which they have left the channel.

    ``timeout_us`` is the time within which an acknowledgement arrives after its line has left the channel,
    ``first_lines`` how many lines are assumed to leave it at the first pace.

    >>> progress = ChannelProgress(lines_per_us=0.001, timeout_us=1_000_000, first_lines=5_000)
    >>> progress.assume_losses()
    >>> progress.start(position=0)
    >>> progress.advance(900_000, total=2_000), progress.position
    (None, 0)
    >>> progress.advance(2_000_000, total=2_000), progress.position
    (None, 1000)
    >>> progress.confirm(1_700)
    >>> progress.advance(2_500_000, total=2_000), progress.position
    (None, 1700)
    """

    def __init__(self, lines_per_us: float, timeout_us: int, first_lines: float):
        self.lines_per_us = lines_per_us
        self.first_lines = first_lines
        self.timeout_us = timeout_us
        self.now = 0
        self.position = 0  # number of lines that have left the channel
        self.confirmed = Sample(0, 0)  # the last position that was confirmed, or where the channel was idle
        self.losses_assumed = False  # whether acknowledgements may be lost
        self.suspended = False  # whether lines that were written are held back on their way to the channel
        self.samples: deque[Sample] = deque()  # the oldest of them was reached ``timeout_us`` ago or earlier

    def assume_losses(self) -> None:
        """Do not rely on acknowledgements alone."""
        self.losses_assumed = True

    def start(self, position: int) -> None:
        """Record that lines are written to an idle channel."""
        self.position = position
        self.confirmed = Sample(self.now, position)

    def confirm(self, position: int) -> None:
        """Record that an acknowledgement shows that this position was reached.

        What was assumed beyond is dropped: the channel is first in, first out, so that later lines are
        acknowledged after this one.
        """
        self.position = max(self.confirmed.position, position)
        self.confirmed = Sample(self.now, self.position)

    def suspend(self) -> None:
        """Assume no progress until ``resume``."""
        self.suspended = True

    def resume(self) -> None:
        """Record that all written lines are on their way again."""
        if self.suspended:
            self.suspended = False
            self.confirmed = Sample(self.now, self.position)

    def advance(self, now: int, total: int) -> None:
        """Set the time of a step; ``total`` is the number of lines written so far."""
        self.now = now
        if not self.losses_assumed:
            return
        silent_us = now - self.confirmed.at_us
        if silent_us > self.timeout_us and not self.suspended:
            assumed = self.confirmed.position + self.assumed_lines(silent_us)
            self.position = max(self.position, min(total, int(assumed)))
        if not self.samples or self.samples[-1].position != self.position:
            self.samples.append(Sample(now, self.position))
        while len(self.samples) > 1 and self.samples[1].at_us <= now - self.timeout_us:
            self.samples.popleft()

    def assumed_lines(self, silent_us: int) -> float:
        """Return the number of lines assumed to leave the channel within a time without acknowledgements."""
        ordinary = silent_us * self.lines_per_us
        first = min(self.first_lines, SILENT_PACE_FRACTION * ordinary)
        lasting = ordinary - first / SILENT_PACE_FRACTION
        return first + LASTING_SILENT_PACE_FRACTION * lasting

    def longest_time_us(self, lines: float) -> float:
        """Return the time within which a number of lines are assumed to leave the channel."""
        pace = SILENT_PACE_FRACTION * self.lines_per_us
        return lines / pace if pace else inf

    @property
    def is_assumed(self) -> bool:
        """Whether progress is assumed, and acknowledgements may be overdue."""
        return self.losses_assumed and not self.suspended

    def overdue_position(self) -> int:
        """Return the position up to which acknowledgements are overdue."""
        if not self.is_assumed or not self.samples or self.samples[0].at_us > self.now - self.timeout_us:
            return 0
        return min(self.position, self.samples[0].position)
