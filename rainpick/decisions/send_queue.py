"""The send queue: counts the lines that wait in the paced channel, and decides how many may be written now.

The channel is first in, first out: a line that is written waits behind all lines written earlier, whatever
their deadlines. Therefore only a short send window is written ahead of transmission. Commands that are not
written yet can still be sent in the order of their deadlines and merged with later ones.

Three counts are kept. ``waiting`` is the number of lines that proxies have not acknowledged, ``uncertain``
that of lines which possibly were never sent, see ``uncertain_lines``. Their sum overestimates the length of
the queue; the rule on this length applies to it. ``backlog`` is the number of lines still in the channel,
without the uncertain ones. It is derived from the newest message that any proxy has acknowledged, so that it
falls even if some proxies are unresponsive. None depends on acknowledgements alone, see ``ChannelProgress``.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from rainpick.decisions.channel_progress import ChannelProgress
from rainpick.decisions.channel_statistics import Limit
from rainpick.decisions.uncertain_lines import UncertainCount, UncertainLines

REPLIES_MAX = 1_024  # replies kept; a reply is acknowledged long before this many newer ones are written


class Quota(NamedTuple):
    """The part of the send queue that a kind of command may fill; a higher priority allows a fuller queue."""

    messages: int  # each receiving proxy must still be allowed this many messages by its message limit
    reserve: float  # number of lines, out of the send queue's limit, that are left to other commands
    window_fraction: float | None  # fraction of the send window that may be filled; None: not limited by it
    kind: str = ""  # the name of the kind of command in statistics
    precedes_uncertain: bool = False  # whether uncertain lines count towards the limit of the queue alone


class Quotas(NamedTuple):
    """The quota of each kind of command, the highest priority first."""

    rule: Quota  # commands required by the rules: no empty table, no server overloaded while it warms up
    drain: Quota  # withdrawals of draining or gone servers, and their removal from tables
    bind: Quota
    ejection: Quota
    admission: Quota
    update: Quota  # weight updates, once a tick


class ChannelState(NamedTuple):
    """The state of the paced channel, for logs and metrics."""

    waiting: int  # number of lines that proxies have not acknowledged
    backlog: int  # number of lines still in the channel, as far as acknowledgements show
    limit: float  # maximum of waiting lines
    ahead: float  # maximum of lines written ahead of transmission: the send window
    unbound: int  # number of proxies that are not bound to a table yet
    drains: int  # number of tables that still contain a draining or gone server
    grace_used: float  # time since the earliest pending drain or join, as a fraction of the drain grace
    takeover: bool  # whether binding all unbound proxies takes a large part of the send window
    silent_s: float = 0.0  # seconds without an acknowledgement although lines wait; 0 if none wait
    expired: int = 0  # number of lines so far whose acknowledgements were overdue
    suspended: bool = False  # whether calls do not reach the channel
    uncertain: int = 0  # number of lines of messages to unbound proxies, which they get only in part
    written: Mapping[str, int] = MappingProxyType({})  # number of lines so far by kind of command
    held_back: Mapping[str, int] = MappingProxyType({})  # writes held back so far by kind and limit
    unmatched: int = 0  # number of acknowledgements so far of messages that were not counted


class Reply(NamedTuple):
    """The position of one step's reply in the sequence of all lines written."""

    start: int  # number of lines written before this reply
    acknowledged: int  # number of lines of this reply that were acknowledged
    end: int  # number of lines written up to the end of this reply


class SendQueue:
    """Counts the lines that were written, transmitted and acknowledged.

    ``limit`` is the maximum number of unacknowledged lines, ``window`` the maximum number of lines written
    ahead of transmission. ``progress`` is the position up to which lines have left the channel; by default it
    follows acknowledgements alone.
    """

    def __init__(self, limit: float, window: float, progress: ChannelProgress | None = None):
        self.limit, self.window = limit, min(limit, window)
        self.progress = progress or ChannelProgress(0, 0, 0)
        self.waiting = 0  # number of lines that proxies have not acknowledged
        self.total = 0  # number of all lines written so far
        self.uncertain = UncertainCount()
        self.planned: float = 0  # number of lines of the reply that is being composed
        self.planned_uncertain = 0  # number of uncertain lines of the reply that is being composed
        self.replies: dict[Hashable, Reply] = {}  # by nonce, the newest last

    def advance(self, now: int) -> None:
        """Set the time of a new step, in microseconds."""
        self.progress.advance(now, self.total)

    def resume(self) -> None:
        """Record that lines which were held back on their way to the channel are sent now."""
        self.progress.resume()
        lines = self.backlog() + self.uncertain.lines
        self.uncertain.delay(self.progress.now + self.progress.longest_time_us(lines))

    def silent_us(self) -> int:
        """Return the time without an acknowledgement although lines wait; 0 if none wait."""
        return self.progress.now - self.progress.confirmed.at_us if self.waiting else 0

    def is_overdue(self, nonce: Hashable) -> bool:
        """Return whether acknowledgements of a reply should have arrived."""
        if not self.progress.is_assumed:
            return False
        reply = self.replies.get(nonce)
        return reply is None or reply.end <= self.progress.overdue_position()

    def backlog(self) -> int:
        """Return the number of lines still in the channel, as far as is known or assumed."""
        return min(self.waiting, self.total - self.progress.position)

    def available_lines(self) -> float:
        """Return the number of lines that may be written before the limit is reached."""
        return self.limit - self.waiting - self.planned - self.uncertain_lines()

    def uncertain_lines(self) -> int:
        """Return the number of uncertain lines, with those of the reply that is being composed."""
        return self.uncertain.lines + self.planned_uncertain

    def window_capacity(self) -> float:
        """Return the number of lines that may be written before the send window is full."""
        return self.window - self.backlog() - self.planned

    def exceeded_limit(self, lines: float, quota: Quota) -> Limit | None:
        """Return the limit that does not allow ``lines`` lines now; None if they may be written.

        The send window is ignored while the channel and the reply are empty.

        >>> queue = SendQueue(limit=100, window=20)
        >>> sizes = (20, 1.0), (21, 1.0), (21, None)
        >>> [queue.exceeded_limit(lines, Quota(1, 0, window)) for lines, window in sizes]
        [None, None, None]
        >>> queue.write("a nonce", 5)
        >>> sizes = (15, 1.0), (16, 1.0), (16, None)
        >>> [queue.exceeded_limit(lines, Quota(1, 0, window)) for lines, window in sizes]
        [None, <Limit.WINDOW: 'window'>, None]
        """
        ignored = self.uncertain_lines() if quota.precedes_uncertain else 0
        available = self.available_lines()
        if lines > min(available, available + ignored - quota.reserve):
            return Limit.QUEUE
        ahead = self.backlog() + self.planned + self.uncertain_lines() - ignored
        if quota.window_fraction is None or not ahead or lines <= quota.window_fraction * self.window - ahead:
            return None
        return Limit.WINDOW

    def plan(self, lines: float, uncertain: int = 0) -> None:
        """Add a number of lines, and of uncertain ones, to the reply that is being composed."""
        self.planned += lines
        self.planned_uncertain += uncertain

    def begin(self) -> None:
        """Begin a new reply; lines planned for an earlier reply that was not written are dropped."""
        self.planned = 0
        self.planned_uncertain = 0
        if not self.progress.suspended:
            self.uncertain.expire(self.progress.now, self.progress.position)

    def write(self, nonce: Hashable, lines: int, uncertain: int = 0) -> None:
        """Record that the messages of a reply have been written, with this many lines and uncertain lines."""
        if not self.backlog() and not self.uncertain.lines:
            self.progress.start(self.total)
        end = self.total + lines + uncertain
        self.replies.pop(nonce, None)
        self.replies[nonce] = Reply(self.total, 0, end)
        self.total = end
        self.waiting += lines
        self.begin()
        if uncertain:
            self.add_uncertain(nonce, uncertain)
        while len(self.replies) > REPLIES_MAX:
            del self.replies[next(iter(self.replies))]

    def insert(self, previous: Hashable, nonce: Hashable, lines: int, uncertain: int = 0) -> None:
        """Record that ``lines`` lines and ``uncertain`` ones are sent again right after ``previous``.

        Newer replies are sent behind them: calls are sent in order, so none of these has left yet.

        >>> queue = SendQueue(limit=100, window=100)
        >>> queue.write("first", 5)
        >>> queue.write("second", 7)
        >>> queue.insert("first", "again", 4)
        >>> queue.acknowledge("again", 4)
        >>> queue.waiting, queue.backlog()
        (12, 7)
        """
        names = list(self.replies)
        position = names.index(previous) + 1 if previous in self.replies else len(names)
        newer = names[position:]
        start = self.replies[newer[0]].start if newer else self.total
        inserted = lines + uncertain
        replies = {name: self.replies[name] for name in names[:position]}
        replies[nonce] = Reply(start, 0, start + inserted)
        for name in newer:
            reply = self.replies[name]
            replies[name] = reply._replace(start=reply.start + inserted, end=reply.end + inserted)
        self.replies = replies
        self.total += inserted
        self.waiting += lines
        self.uncertain.insert(start, inserted)
        if uncertain:
            self.add_uncertain(nonce, uncertain)

    def add_uncertain(self, nonce: Hashable, lines: int) -> None:
        """Count uncertain lines, which are sent behind all lines that were written so far or among them."""
        ahead = self.backlog() + self.uncertain.lines
        due_us = self.progress.now + self.progress.longest_time_us(ahead + lines)
        self.uncertain.add(nonce, UncertainLines(lines, self.total, due_us))

    def retransmit(self, nonce: Hashable, lines: int, uncertain: int = 0) -> None:
        """Count more lines, and uncertain ones, of a reply that was written before."""
        self.total += lines + uncertain
        self.waiting += lines
        if uncertain:
            self.add_uncertain(nonce, uncertain)
        if reply := self.replies.get(nonce):
            self.replies[nonce] = reply._replace(end=self.total)

    def acknowledge(self, nonce: Hashable, lines: int) -> None:
        """Record that a proxy applied its message of a reply, which has ``lines`` lines.

        All lines written before this reply, and the acknowledged lines of the reply, have then left the
        channel.
        """
        self.waiting -= lines
        if reply := self.replies.get(nonce):
            reply = self.replies[nonce] = reply._replace(acknowledged=reply.acknowledged + lines)
            self.progress.confirm(min(self.total, reply.start + reply.acknowledged))

    def acknowledge_uncertain(self, nonce: Hashable, lines: int) -> None:
        """Record that a proxy applied a message of uncertain lines."""
        self.uncertain.release(nonce, lines)
        if reply := self.replies.get(nonce):
            self.replies[nonce] = reply._replace(acknowledged=reply.acknowledged + lines)
            self.progress.confirm(min(self.total, reply.start + reply.acknowledged + lines))

    def end_of(self, nonce: Hashable) -> int:
        """Return the position of the last line of a reply; 0 if the reply is not known any more."""
        reply = self.replies.get(nonce)
        return reply.end if reply else 0

    def forget(self, lines: int) -> None:
        """Stop counting the unacknowledged lines of a proxy that has left."""
        self.waiting -= lines

    def restore(self, lines: int) -> None:
        """Resume counting the unacknowledged lines of a proxy that rejoined.

        There was no notice that the proxy had left, so its lines may still be in transit.
        """
        self.waiting += lines
