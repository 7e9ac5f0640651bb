"""The send queue: how many lines wait in the paced channel, and what may be written now.

The channel is first in, first out: a line that is written waits behind all that was written before,
whatever is due first. So no more is written ahead than a short span of the channel's pace, and what is still
unwritten can go in the order of its deadlines and be merged with what comes meanwhile.

Two counts are kept. ``waiting`` is what proxies have not acknowledged, which errs to the full side: it bounds
what the rule on the queue's length limits. ``backlog`` is what is still in the channel, by the newest message
that any proxy has acknowledged: proxies that fall silent do not hold it up.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import NamedTuple

REPLIES_MAX = 1_024  # replies that are remembered; acknowledgements are due long before so many more


class Claim(NamedTuple):
    """How full the queue may be for a kind of command to be written: the better its claim, the fuller."""

    messages: int  # that each proxy concerned must have left
    reserve: float  # lines of the queue's limit that it leaves to others
    span_fraction: float | None  # of the span that may be filled; None: the span does not count


class Claims(NamedTuple):
    """By kind of command, the strongest first."""

    rule: Claim  # what keeps the rules: no empty table, no server overloaded while it warms up
    drain: Claim
    bind: Claim
    ejection: Claim
    admission: Claim
    update: Claim  # of weights, once a tick


class ChannelState(NamedTuple):
    """How the channel stands, for logs and metrics."""

    waiting: int  # lines that proxies have not acknowledged
    backlog: int  # lines that have not left, as far as acknowledgements tell
    limit: float  # lines that may wait
    ahead: float  # lines that are written ahead at most
    unbound: int  # proxies that wait for their table
    drains: int  # tables that still use a server that drains
    grace_used: float  # of the grace, by what is due first: a draining server or a proxy's table
    takeover: bool  # more proxies wait to be bound than can be at once


class Reply(NamedTuple):
    """The messages of one reply."""

    start: int  # lines written before it
    acknowledged: int  # of its own lines


class SendQueue:
    """Counts of lines.

    ``limit``: how many may wait unacknowledged; ``span``: how many are written ahead at most.
    """

    def __init__(self, limit: float, span: float):
        self.limit, self.span = limit, min(limit, span)
        self.waiting = 0  # lines that proxies have not acknowledged
        self.total = 0  # lines written in all
        self.left = 0  # of those, how many are known to have left the channel
        self.planned: float = 0  # lines of the reply that is being made
        self.replies: dict[Hashable, Reply] = {}  # by nonce, the newest last

    def backlog(self) -> int:
        """Lines that have not left the channel, as far as acknowledgements tell."""
        return min(self.waiting, self.total - self.left)

    def spare(self) -> float:
        """Lines that may be written until the limit."""
        return self.limit - self.waiting - self.planned

    def fits(self, lines: float, claim: Claim) -> bool:
        """Whether so many lines may be written now.

        >>> queue = SendQueue(limit=100, span=20)
        >>> [queue.fits(lines, Claim(1, 0, span)) for lines, span in ((20, 1.0), (21, 1.0), (21, None))]
        [True, True, True]
        >>> queue.write("a nonce", 5)
        >>> [queue.fits(lines, Claim(1, 0, span)) for lines, span in ((15, 1.0), (16, 1.0), (16, None))]
        [True, False, True]
        """
        if lines > self.spare() - claim.reserve:
            return False
        ahead = self.backlog() + self.planned
        return claim.span_fraction is None or not ahead or lines <= claim.span_fraction * self.span - ahead

    def plan(self, lines: float) -> None:
        """So many lines are part of the reply that is being made."""
        self.planned += lines

    def begin(self) -> None:
        """Begin a new reply."""
        self.planned = 0

    def write(self, nonce: Hashable, lines: int) -> None:
        """The messages of a reply have been written."""
        self.replies.pop(nonce, None)
        self.replies[nonce] = Reply(self.total, 0)
        self.total += lines
        self.waiting += lines
        self.planned = 0
        while len(self.replies) > REPLIES_MAX:
            del self.replies[next(iter(self.replies))]

    def retransmit(self, lines: int) -> None:
        """A message that may have been written is written again."""
        self.total += lines
        self.waiting += lines

    def acknowledge(self, nonce: Hashable, lines: int) -> None:
        """A proxy has applied a message: all that was written before it has left the channel."""
        self.waiting -= lines
        if reply := self.replies.get(nonce):
            reply = self.replies[nonce] = Reply(reply.start, reply.acknowledged + lines)
            self.left = min(self.total, max(self.left, reply.start + reply.acknowledged))

    def forget(self, lines: int) -> None:
        """A proxy has left: what it was sent is no longer counted."""
        self.waiting -= lines

    def restore(self, lines: int) -> None:
        """A proxy has joined again, unseen: what it was sent may still wait."""
        self.waiting += lines
