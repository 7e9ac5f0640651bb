"""Sums over the last few buckets of time."""

from __future__ import annotations

BUCKETS = 4  # buckets that a window holds
RECENT_BUCKETS = 2  # of how things are now: the time within which every server is reported on


class SlidingWindow:
    """Sums of some columns over the last ``BUCKETS`` buckets; the cells are reused in a ring.

    Buckets are numbered by time: a bucket is the clock divided by the length of a bucket.

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
        """Add to the columns of a bucket; buckets that were skipped count as empty."""
        for number in range(max(self.newest + 1, bucket - BUCKETS + 1), bucket + 1):
            self.cells[number % BUCKETS][:] = [0] * len(self.cells[0])
        self.newest = max(bucket, self.newest)
        cell = self.cells[bucket % BUCKETS]
        for column, value in enumerate(values):
            cell[column] += value

    def sums(self, bucket: int, last: int = BUCKETS) -> list[int]:
        """The sums of the columns over the ``last`` buckets that end with this one; empties older cells."""
        self.add(bucket)
        cells = [self.cells[number % BUCKETS] for number in range(bucket - last + 1, bucket + 1)]
        return [sum(column) for column in zip(*cells, strict=True)]
