"""When a proxy that can't apply an update of its table is sent the whole table.

Does no I/O. A proxy that reports a fault after each whole table would otherwise be sent one after another,
and take the channel from the others.
"""

from __future__ import annotations


class Resynchronisations:
    """Spaces the whole tables for each proxy, so that they take at most its share of the channel."""

    def __init__(self) -> None:
        self.pending_us: dict[int, int] = {}  # by proxy that waits for its whole table, when it is due
        self.next_us: dict[int, int] = {}  # by proxy, the earliest time of its next whole table

    def leave(self, proxy: int) -> None:
        """Forget a proxy that has left."""
        self.pending_us.pop(proxy, None)
        self.next_us.pop(proxy, None)

    def request(self, proxy: int, now: int) -> None:
        """Request the whole table for a proxy; it is due at once unless another one was enqueued recently."""
        self.pending_us.setdefault(proxy, max(now, self.next_us.get(proxy, now)))

    def due_us(self) -> int | None:
        """Return when the next whole table is due; None if none was requested."""
        return min(self.pending_us.values(), default=None)

    def take_due(self, now: int) -> list[int]:
        """Return the proxies whose whole tables are due, and remove their requests."""
        due = [proxy for proxy, due_us in self.pending_us.items() if due_us <= now]
        for proxy in due:
            del self.pending_us[proxy]
        return due

    def enqueued(self, proxy: int, cost_us: float, proxies: int, now: int) -> None:
        """Record that a whole table was enqueued, for which the channel takes ``cost_us``.

        The next one follows after the time in which all ``proxies`` could be sent one each.
        """
        self.next_us[proxy] = now + int(cost_us * proxies)
