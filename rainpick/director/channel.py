"""The channel from a director to its proxies: paced by the line, counted by the message. Free of I/O.

What a step orders for a proxy is one message of some lines and a head. What waits for the same proxy is one
message: only the newest state of a line is ever written, so a message that holds a withdrawal may overtake
others and nothing old can come after something new. Urgent messages (withdrawals) leave before the rest.
"""

from __future__ import annotations

from collections import deque

GRAIN_US = 1_000  # the pace is kept to within this: a turn of the clock for each line would cost more than it


class Waiting:
    """The message that waits for one proxy."""

    __slots__ = ("proxy", "lines", "urgent", "marks", "since_us")

    def __init__(self, proxy: int, since_us: int):
        self.proxy, self.lines, self.urgent, self.since_us = proxy, 0, False, since_us
        self.marks: list[int] = []


class Channel:
    """Which message leaves when."""

    def __init__(self, lines_per_s: float, head: int, messages_most: int, messages_over_us: int):
        self.us_per_line = 1e6 / lines_per_s
        self.head, self.most, self.over_us = head, messages_most, messages_over_us
        self.waiting: dict[int, Waiting] = {}
        self.urgent: deque[int] = deque()
        self.usual: deque[int] = deque()
        self.blocked: set[int] = set()  # their socket takes nothing now
        self.written: dict[int, deque[int]] = {}  # by proxy, when messages left: what the cap counts
        self.free_us = 0.0
        self.lines = 0  # that wait, heads counted
        self.lines_most = 0
        self.held_back = 0  # messages that the cap delayed

    def joined(self, proxy: int) -> None:
        """A new stream; the count of messages begins afresh (it is counted from the joining)."""
        self.left(proxy)
        self.written[proxy] = deque()

    def left(self, proxy: int) -> None:
        gone = self.waiting.pop(proxy, None)
        if gone is not None:
            self.lines -= gone.lines + self.head
        self.blocked.discard(proxy)
        self.written.pop(proxy, None)

    def order(self, proxy: int, lines: int, urgent: bool, mark: int | None, now: int) -> None:
        """Have something written to a proxy."""
        message = self.waiting.get(proxy)
        if message is None:
            message = self.waiting[proxy] = Waiting(proxy, now)
            self.lines += self.head
            (self.urgent if urgent else self.usual).append(proxy)
            message.urgent = urgent
        elif urgent and not message.urgent:
            message.urgent = True
            self.urgent.append(proxy)
        message.lines += lines
        self.lines += lines
        if mark is not None:
            message.marks.append(mark)
        self.lines_most = max(self.lines_most, self.lines)

    def pull(self, proxy: int) -> list[int]:
        """A proxy asked by itself: nothing waits for it any more. The marks of what did."""
        message = self.waiting.pop(proxy, None)
        if message is None:
            return []
        self.lines -= message.lines + self.head
        return message.marks

    def allowed_us(self, proxy: int, now: int) -> int:
        """From when on the cap lets a message go to this proxy."""
        if not self.most:
            return now
        times = self.written[proxy]
        while times and times[0] <= now - self.over_us:
            times.popleft()
        return now if len(times) < self.most else times[0] + self.over_us

    def take(self, now: int) -> Waiting | None:
        """The message to write now; None if there is none or the pace does not allow one yet."""
        if self.free_us > now + GRAIN_US:
            return None
        for queue, urgent in ((self.urgent, True), (self.usual, False)):
            for _ in range(len(queue)):
                proxy = queue.popleft()
                message = self.waiting.get(proxy)
                if message is None or message.urgent != urgent:
                    continue  # it left with an urgent one, or its proxy is gone
                if proxy in self.blocked or self.most and self.allowed_us(proxy, now) > now:
                    self.held_back += proxy not in self.blocked
                    queue.append(proxy)
                    continue
                del self.waiting[proxy]
                self.lines -= message.lines + self.head
                return message
        return None

    def wrote(self, proxy: int, lines: int, now: int) -> None:
        """So many lines went out in a message: the channel is busy for as long as they take."""
        self.free_us = max(self.free_us, now) + (lines + self.head) * self.us_per_line
        if self.most and proxy in self.written:
            self.written[proxy].append(now)

    def due_us(self, now: int) -> int | None:
        """When to look again; None if nothing waits that could go."""
        able = [proxy for proxy in self.waiting if proxy not in self.blocked]
        if not able:
            return None
        ready = now if not self.most else min(self.allowed_us(proxy, now) for proxy in able)
        return max(ready, int(self.free_us) + 1 - GRAIN_US)
