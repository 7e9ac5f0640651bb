"""Time series in a bounded amount of memory."""

from __future__ import annotations

Point = tuple[float, float]  # start of a span in seconds since the begin of the series, mean of its values

MIN_POINTS = 240  # more than 480 spans are merged in pairs, so a long series keeps 240 to 480


class TimeSeries:
    """Means of values over time spans of equal length.

    The length doubles whenever there would be more than ``2 * MIN_POINTS`` spans.
    """

    def __init__(self, begin_us: int, span_us: int = 1_000_000):
        self.begin_us, self.span_us = begin_us, span_us
        self.sums: list[float] = []  # sum of the values in each span
        self.counts: list[int] = []  # number of values in each span

    def add(self, now: int, value: float) -> None:
        """Add a value at the time ``now`` in microseconds, which must not be before ``begin_us``."""
        index = (now - self.begin_us) // self.span_us
        while index >= 2 * MIN_POINTS:
            self.merge_spans()
            index = (now - self.begin_us) // self.span_us
        new_spans = index + 1 - len(self.sums)
        self.sums += [0.0] * new_spans
        self.counts += [0] * new_spans
        self.sums[index] += value
        self.counts[index] += 1

    def merge_spans(self) -> None:
        """Double the length of the spans by merging pairs of adjacent ones."""
        self.span_us *= 2
        if len(self.sums) % 2:
            self.sums.append(0.0)
            self.counts.append(0)
        self.sums = [sum(pair) for pair in zip(self.sums[::2], self.sums[1::2], strict=True)]
        self.counts = [sum(pair) for pair in zip(self.counts[::2], self.counts[1::2], strict=True)]

    def points(self) -> list[Point]:
        """Return a point for each span that contains at least one value."""
        return [
            (index * self.span_us / 1e6, total / count)
            for index, (total, count) in enumerate(zip(self.sums, self.counts, strict=True))
            if count
        ]
