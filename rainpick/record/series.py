"""Values over time in a fixed amount of memory."""

from __future__ import annotations

Point = tuple[float, float]  # seconds from the beginning, mean of the values around then

POINTS = 240  # at least, once there are so many; twice as many are folded into half


class TimeSeries:
    """Means over equal spans of time; spans double when there are too many, so memory stays flat."""

    def __init__(self, begin_us: int, span_us: int = 1_000_000):
        self.begin_us, self.span_us = begin_us, span_us
        self.sums: list[float] = []  # by span
        self.counts: list[int] = []  # of values, by span

    def add(self, now: int, value: float) -> None:
        """Add a value at a time in microseconds; times may be the same but do not go back."""
        index = (now - self.begin_us) // self.span_us
        while index >= 2 * POINTS:
            self.fold()
            index = (now - self.begin_us) // self.span_us
        missing = index + 1 - len(self.sums)
        self.sums += [0.0] * missing
        self.counts += [0] * missing
        self.sums[index] += value
        self.counts[index] += 1

    def fold(self) -> None:
        """Make one span of two."""
        self.span_us *= 2
        if len(self.sums) % 2:
            self.sums.append(0.0)
            self.counts.append(0)
        self.sums = [sum(pair) for pair in zip(self.sums[::2], self.sums[1::2], strict=True)]
        self.counts = [sum(pair) for pair in zip(self.counts[::2], self.counts[1::2], strict=True)]

    def points(self) -> list[Point]:
        """The spans that hold a value."""
        return [
            (index * self.span_us / 1e6, total / count)
            for index, (total, count) in enumerate(zip(self.sums, self.counts, strict=True))
            if count
        ]
