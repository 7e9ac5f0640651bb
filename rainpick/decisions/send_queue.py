"""The send queue: counts the lines that wait in the paced channel and decides which may be written now.

The channel is first in, first out: a line that is written waits behind all lines before it, whatever their
deadlines. Therefore only a short send window is written ahead of transmission. Commands that are not written
yet can still be sent in the order of their deadlines and merged with later ones.

Two counts are kept. ``waiting`` is the number of lines that proxies have not acknowledged. It overestimates
the queue, and is what the rule on the queue's length limits. ``backlog`` is the number of lines still in the
channel, derived from the newest message that any proxy has acknowledged: unresponsive proxies do not keep it
from falling.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import NamedTuple

REPLIES_MAX = 1_024  # remembered replies; acknowledgements arrive long before this many newer replies


class Quota(NamedTuple):
    """The part of the send queue that a kind of command may fill; a higher priority allows a fuller queue."""

    messages: int  # messages that each receiving proxy must have available
    reserve: float  # lines of the queue's limit that are left to other kinds
    window_fraction: float | None  # of the send window that may be filled; None: the window is ignored


class Quotas(NamedTuple):
    """The quota of each kind of command, the highest priority first."""

    rule: Quota  # required by the rules: no empty table, no server overloaded while it warms up
    drain: Quota
    bind: Quota
    ejection: Quota
    admission: Quota
    update: Quota  # weight updates, once a tick


class ChannelState(NamedTuple):
    """The state of the paced channel, for logs and metrics."""

    waiting: int  # lines that proxies have not acknowledged
    backlog: int  # lines still in the channel, as far as acknowledgements show
    limit: float  # maximum of waiting lines
    ahead: float  # maximum of lines written ahead of transmission: the send window
    unbound: int  # proxies that are not bound to a table yet
    drains: int  # tables that still use a draining or gone server
    grace_used: float  # fraction of the grace that has passed for the earliest drain or bind
    takeover: bool  # more proxies are unbound than can be bound at once


class Reply(NamedTuple):
    """The messages of one step's reply."""

    start: int  # lines written before this reply
    acknowledged: int  # lines of this reply that were acknowledged


class SendQueue:
    """Counts the lines that were written, transmitted and acknowledged.

    ``limit`` is the maximum of unacknowledged lines, ``window`` the maximum of lines written ahead of
    transmission.
    """

    def __init__(self, limit: float, window: float):
        self.limit, self.window = limit, min(limit, window)
        self.waiting = 0  # lines that proxies have not acknowledged
        self.total = 0  # all lines written so far
        self.transmitted = 0  # lines of the total that are known to have left the channel
        self.planned: float = 0  # lines of the reply that is being composed
        self.replies: dict[Hashable, Reply] = {}  # by nonce, the newest last

    def backlog(self) -> int:
        """Return the lines still in the channel, as far as acknowledgements show."""
        return min(self.waiting, self.total - self.transmitted)

    def available_lines(self) -> float:
        """Return the lines that may be written before the limit is reached."""
        return self.limit - self.waiting - self.planned

    def fits(self, lines: float, quota: Quota) -> bool:
        """Return whether ``lines`` lines may be written now.

        >>> queue = SendQueue(limit=100, window=20)
        >>> [queue.fits(lines, Quota(1, 0, window)) for lines, window in ((20, 1.0), (21, 1.0), (21, None))]
        [True, True, True]
        >>> queue.write("a nonce", 5)
        >>> [queue.fits(lines, Quota(1, 0, window)) for lines, window in ((15, 1.0), (16, 1.0), (16, None))]
        [True, False, True]
        """
        if lines > self.available_lines() - quota.reserve:
            return False
        ahead = self.backlog() + self.planned
        return (
            quota.window_fraction is None or not ahead or lines <= quota.window_fraction * self.window - ahead
        )

    def plan(self, lines: float) -> None:
        """Add lines to the reply that is being composed."""
        self.planned += lines

    def begin(self) -> None:
        """Begin a new reply."""
        self.planned = 0

    def write(self, nonce: Hashable, lines: int) -> None:
        """Record that the messages of a reply have been written."""
        self.replies.pop(nonce, None)
        self.replies[nonce] = Reply(self.total, 0)
        self.total += lines
        self.waiting += lines
        self.planned = 0
        while len(self.replies) > REPLIES_MAX:
            del self.replies[next(iter(self.replies))]

    def retransmit(self, lines: int) -> None:
        """Count a message again that may have been written twice."""
        self.total += lines
        self.waiting += lines

    def acknowledge(self, nonce: Hashable, lines: int) -> None:
        """Record that a proxy applied a message: all lines written before it have left the channel."""
        self.waiting -= lines
        if reply := self.replies.get(nonce):
            reply = self.replies[nonce] = Reply(reply.start, reply.acknowledged + lines)
            self.transmitted = min(self.total, max(self.transmitted, reply.start + reply.acknowledged))

    def forget(self, lines: int) -> None:
        """Stop counting the lines sent to a proxy that has left."""
        self.waiting -= lines

    def restore(self, lines: int) -> None:
        """Count the lines sent to a proxy again, which rejoined unnoticed: they may still wait."""
        self.waiting += lines
