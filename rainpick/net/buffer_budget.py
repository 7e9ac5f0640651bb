"""Bounds the memory of all messages that have arrived only in part, whatever the number of connections."""

from __future__ import annotations

import threading
from typing import Protocol


class Holder(Protocol):
    """A connection that buffers an incomplete message."""

    def evict(self) -> None:
        """Give the message up: the reading thread answers and closes. May be called by any thread."""


class BufferBudget:
    """A limit on the bytes of incomplete messages of all connections together.

    If it is exceeded, messages of at least the mean size are given up, those that began first before others.
    A peer that goes on writing completes its message while it is among the newest.

    >>> class Connection:
    ...     def evict(self): print("evicted")
    >>> budget, slow, other = BufferBudget(100), Connection(), Connection()
    >>> budget.update(slow, 60)
    >>> budget.update(other, 50)
    evicted
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.lock = threading.Lock()
        self.sizes: dict[Holder, int] = {}  # bytes by connection; the message that began first comes first
        self.total = 0
        self.evictions = 0

    def update(self, holder: Holder, size: int, is_next: bool = False) -> None:
        """Set the number of bytes that a connection buffers; evict others or itself beyond the limit.

        ``is_next``: the bytes belong to another message than those before, which is complete.
        """
        with self.lock:
            self.total += size - self.sizes.get(holder, 0)
            if is_next or not size:
                self.sizes.pop(holder, None)
            if size:
                self.sizes[holder] = size
            evicted = self.take_oldest()
        for oldest in evicted:
            oldest.evict()

    def take_oldest(self) -> list[Holder]:
        """Remove and return the messages to give up. The caller must hold the lock."""
        evicted = []
        while self.total > self.limit and self.sizes:
            mean = self.total / len(self.sizes)
            oldest = next(holder for holder, size in self.sizes.items() if size >= mean)
            self.total -= self.sizes.pop(oldest)
            self.evictions += 1
            evicted.append(oldest)
        return evicted

    def remove(self, holder: Holder) -> None:
        """Forget a connection that ends."""
        self.update(holder, 0)
