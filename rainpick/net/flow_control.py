"""Limits how many events of one peer wait for another thread, so that no peer delays the others for long."""

from __future__ import annotations

import threading

MAX_UNHANDLED_EVENTS = 16  # of one peer


class FlowControl:
    """Counts the events of one peer that are not handled yet; the reading thread waits beyond the limit.

    While it waits it does not read, so TCP slows the peer down.
    """

    def __init__(self, limit: int = MAX_UNHANDLED_EVENTS):
        self.limit = limit
        self.changed = threading.Condition()
        self.unhandled = 0
        self.cancelled = False

    def acquire(self) -> None:
        """Count one more event; wait until it is within the limit or the connection is closed."""
        with self.changed:
            self.changed.wait_for(lambda: self.unhandled < self.limit or self.cancelled)
            self.unhandled += 1

    def release(self) -> None:
        """Record that an event was handled."""
        with self.changed:
            self.unhandled -= 1
            self.changed.notify_all()

    def wait_until_idle(self) -> None:
        """Wait until all events are handled or the connection is closed."""
        with self.changed:
            self.changed.wait_for(lambda: not self.unhandled or self.cancelled)

    def cancel(self) -> None:
        """Let the reading thread go on: the connection is closed."""
        with self.changed:
            self.cancelled = True
            self.changed.notify_all()
