"""Counts lines of messages that may not exist: those to unbound proxies.

A withdrawal or readmission reaches an unbound proxy only if the proxy still uses the server, which the
director does not know. A proxy that gets no message acknowledges none. Lines that were counted until then
have kept the director from binding proxies, although the channel was empty.

These lines count towards the limit of the queue as long as they may be in the channel: until the proxy has
acknowledged this message or a later one or has left, until later lines have left the channel, or until it has
had time for all lines before them.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import NamedTuple


class UncertainLines(NamedTuple):
    """Uncertain lines of one reply."""

    lines: int
    end: int  # position of the last one in the sequence of all lines
    due_us: float  # time at which they have left the channel at the latest


class UncertainCount:
    """The number of uncertain lines that may still be in the channel.

    >>> count = UncertainCount()
    >>> count.add("first", UncertainLines(lines=5, end=20, due_us=700))
    >>> count.add("second", UncertainLines(lines=8, end=40, due_us=900))
    >>> count.release("second", 2), count.lines
    (None, 11)
    >>> count.expire(now=100, position=30), count.lines, count.expire(now=900, position=30), count.lines
    (None, 6, None, 0)
    """

    def __init__(self) -> None:
        self.lines = 0
        self.entries: dict[Hashable, UncertainLines] = {}  # by nonce, in the order in which they were written

    def add(self, nonce: Hashable, added: UncertainLines) -> None:
        """Count lines of a reply, in addition to those that it has already."""
        lines = added.lines
        if previous := self.entries.pop(nonce, None):
            added = added._replace(lines=lines + previous.lines)
        self.entries[nonce] = added
        self.lines += lines

    def release(self, nonce: Hashable, lines: int) -> None:
        """Stop counting lines of a reply, which have left the channel or were never in it."""
        if entry := self.entries.get(nonce):
            released = min(lines, entry.lines)
            self.entries[nonce] = entry._replace(lines=entry.lines - released)
            self.lines -= released

    def expire(self, now: int, position: int) -> None:
        """Stop counting lines that have left the channel, which has sent all lines up to ``position``."""
        for nonce, entry in list(self.entries.items()):
            if not entry.lines or entry.end <= position or entry.due_us <= now:
                self.lines -= self.entries.pop(nonce).lines

    def insert(self, position: int, lines: int) -> None:
        """Move the entries behind a position, where ``lines`` lines are sent before them."""
        for nonce, entry in self.entries.items():
            if entry.end > position:
                self.entries[nonce] = entry._replace(end=entry.end + lines)

    def delay(self, due_us: float) -> None:
        """Count all lines until ``due_us`` at least, since they have been held back until now."""
        for nonce, entry in self.entries.items():
            self.entries[nonce] = entry._replace(due_us=max(entry.due_us, due_us))
