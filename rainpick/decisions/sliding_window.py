"""Sums over the most recent time buckets."""

from __future__ import annotations

BUCKETS = 4  # buckets in a window
RECENT_BUCKETS = 2  # the newest buckets of a window, which together contain a report on every server


class SlidingWindow:
    """Sums of several columns over the last ``BUCKETS`` buckets, stored in a ring buffer.

    The number of a bucket is the time divided by the length of a bucket.

    >>> window = SlidingWindow(2)
    >>> window.add(7, 1, 10)
    >>> window.add(8, 2, 20)
    >>> window.sums(8), window.sums(8, 1), window.sums(11), window.sums(12)
    ([3, 30], [2, 20], [2, 20], [0, 0])
    """

    __slots__ = ("cells", "newest")

    def __init__(self, columns: int):
        self.cells = [[0] * columns for _ in range(BUCKETS)]
        self.newest = 0

    def add(self, bucket: int, *values: int) -> None:
        """Add values to the columns of a bucket; buckets that were skipped count as empty."""
        for number in range(max(self.newest + 1, bucket - BUCKETS + 1), bucket + 1):
            self.cells[number % BUCKETS][:] = [0] * len(self.cells[0])
        self.newest = max(bucket, self.newest)
        cell = self.cells[bucket % BUCKETS]
        for column, value in enumerate(values):
            cell[column] += value

    def sums(self, bucket: int, last: int = BUCKETS) -> list[int]:
        """Return the column sums of the ``last`` buckets up to this one; clears cells that are too old."""
        self.add(bucket)
        cells = [self.cells[number % BUCKETS] for number in range(bucket - last + 1, bucket + 1)]
        return [sum(column) for column in zip(*cells, strict=True)]
