"""The channel from a director to its proxies: paced by the line, limited by the message. Free of I/O.

What a step orders for a proxy is one message of some lines and a head. What waits for the same proxy is one
message: only the newest state of a line is ever written, so a message with a withdrawal may overtake others,
and nothing old can come after something new. Urgent messages (withdrawals) leave before the others.
"""

from __future__ import annotations

from collections import deque

# The pace is kept to within this time: a turn of the event loop for each line would cost more than the line.
PACE_TOLERANCE_US = 1_000


class PendingMessage:
    """The message that waits for one proxy."""

    __slots__ = ("proxy", "lines", "urgent", "nonces", "since_us")

    def __init__(self, proxy: int, since_us: int):
        self.proxy = proxy
        self.lines = 0
        self.urgent = False
        self.since_us = since_us
        self.nonces: list[int] = []  # acknowledgements that are due once it is delivered


class Channel:
    """Decides which message leaves when."""

    def __init__(self, lines_per_s: float, head_lines: int, max_messages: int, window_us: int):
        """A message costs its lines and ``head_lines``; at most ``max_messages`` go to a proxy in a window.

        No limit on messages if ``max_messages`` is 0.
        """
        self.us_per_line = 1e6 / lines_per_s
        self.head_lines = head_lines
        self.max_messages = max_messages
        self.window_us = window_us
        self.waiting: dict[int, PendingMessage] = {}  # by proxy
        # Proxies in the order of their turns. A proxy whose message has become urgent is in both.
        self.urgent: deque[int] = deque()
        self.ordinary: deque[int] = deque()
        self.blocked: set[int] = set()  # proxies whose sockets take nothing now
        self.sent_us: dict[int, deque[int]] = {}  # by joined proxy: when messages left within the window
        self.busy_until_us = 0.0
        self.lines = 0  # that wait, heads included
        self.lines_most = 0
        self.held_back = 0  # how often the limit on messages delayed one

    # Proxies

    def join(self, proxy: int) -> None:
        """A proxy has a new stream; its messages are counted from here on."""
        self.leave(proxy)
        self.sent_us[proxy] = deque()

    def leave(self, proxy: int) -> None:
        """Forget a proxy and what waits for it."""
        message = self.waiting.pop(proxy, None)
        if message is not None:
            self.lines -= message.lines + self.head_lines
        self.blocked.discard(proxy)
        self.sent_us.pop(proxy, None)

    def set_blocked(self, proxy: int, blocked: bool) -> None:
        """Hold back a proxy's messages, or no longer; nobody else's wait for them."""
        if blocked:
            self.blocked.add(proxy)
        else:
            self.blocked.discard(proxy)

    # Messages

    def enqueue(self, proxy: int, lines: int, urgent: bool, nonce: int | None, now: int) -> None:
        """Have so many lines written to a proxy, with the message that waits for it if there is one."""
        message = self.waiting.get(proxy)
        if message is None:
            message = self.waiting[proxy] = PendingMessage(proxy, now)
            message.urgent = urgent
            self.lines += self.head_lines
            (self.urgent if urgent else self.ordinary).append(proxy)
        elif urgent and not message.urgent:
            message.urgent = True
            self.urgent.append(proxy)
        message.lines += lines
        self.lines += lines
        if nonce is not None:
            message.nonces.append(nonce)
        self.lines_most = max(self.lines_most, self.lines)

    def remove(self, proxy: int) -> list[int]:
        """A proxy has polled: nothing waits for it any more. The nonces of what did."""
        message = self.waiting.pop(proxy, None)
        if message is None:
            return []
        self.lines -= message.lines + self.head_lines
        return message.nonces

    def allowed_us(self, proxy: int, now: int) -> int:
        """From when on the limit on messages allows one to this proxy."""
        if not self.max_messages:
            return now
        times_us = self.sent_us[proxy]
        while times_us and times_us[0] <= now - self.window_us:
            times_us.popleft()
        return now if len(times_us) < self.max_messages else times_us[0] + self.window_us

    def dequeue(self, now: int) -> PendingMessage | None:
        """The message to write now; None if there is none or the pace does not allow one yet."""
        if self.busy_until_us > now + PACE_TOLERANCE_US:
            return None
        message = self.dequeue_from(self.urgent, True, now)
        return message if message is not None else self.dequeue_from(self.ordinary, False, now)

    def dequeue_from(self, turns: deque[int], urgent: bool, now: int) -> PendingMessage | None:
        """The first message of a queue that may leave; those that may not go to its end."""
        for _ in range(len(turns)):
            proxy = turns.popleft()
            message = self.waiting.get(proxy)
            if message is None or message.urgent != urgent:
                continue  # it left with the urgent ones, or its proxy did
            blocked = proxy in self.blocked
            if blocked or self.max_messages and self.allowed_us(proxy, now) > now:
                self.held_back += not blocked
                turns.append(proxy)
                continue
            del self.waiting[proxy]
            self.lines -= message.lines + self.head_lines
            return message
        return None

    def sent(self, proxy: int, lines: int, now: int) -> None:
        """So many lines have left in one message: the channel is busy for as long as they take."""
        cost_us = (lines + self.head_lines) * self.us_per_line
        self.busy_until_us = max(self.busy_until_us, now) + cost_us
        if self.max_messages and proxy in self.sent_us:
            self.sent_us[proxy].append(now)

    def due_us(self, now: int) -> int | None:
        """When ``dequeue`` may have a message; None if nothing waits that could leave."""
        proxies = [proxy for proxy in self.waiting if proxy not in self.blocked]
        if not proxies:
            return None
        ready_us = now
        if self.max_messages:
            ready_us = min(self.allowed_us(proxy, now) for proxy in proxies)
        return max(ready_us, int(self.busy_until_us) + 1 - PACE_TOLERANCE_US)
