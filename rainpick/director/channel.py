"""The channel from a director to its proxies: limits the lines a second and the messages to each proxy.

Does no I/O. The lines for one proxy form a message, which costs its lines plus a fixed number of head lines.
Messages with a withdrawal are urgent and are sent before all others. All pending lines of a proxy are merged
into one message with the newest state of each line. An urgent message may therefore overtake the messages to
other proxies, but a proxy never receives an outdated line after a newer one.
"""

from __future__ import annotations

from collections import deque

# A message may be sent this much earlier than the pace allows. Without this tolerance, the event loop would
# run one iteration for each line, which costs more.
PACE_TOLERANCE_US = 1_000


class PendingMessage:
    """The message that is queued for one proxy."""

    __slots__ = ("proxy", "lines", "urgent", "nonces", "since_us")

    def __init__(self, proxy: int, since_us: int):
        self.proxy = proxy
        self.lines = 0  # number of lines, head lines excluded
        self.urgent = False
        self.since_us = since_us  # when the message was created
        self.nonces: list[int] = []  # acknowledged to ``Director`` once the message is delivered


class Channel:
    """Schedules the messages to all proxies."""

    def __init__(self, lines_per_s: float, head_lines: int, max_messages: int, window_us: int):
        """Create a channel without proxies.

        A message costs its lines plus ``head_lines``. At most ``max_messages`` are sent to one proxy within
        any ``window_us``; a ``max_messages`` of 0 means no limit.
        """
        self.us_per_line = 1e6 / lines_per_s
        self.head_lines = head_lines
        self.max_messages = max_messages
        self.window_us = window_us
        self.waiting: dict[int, PendingMessage] = {}  # pending messages by proxy
        # Proxies in sending order. If an ordinary message becomes urgent, its proxy is in both queues.
        self.urgent: deque[int] = deque()
        self.ordinary: deque[int] = deque()
        self.blocked: set[int] = set()  # proxies whose messages are held back
        self.sent_us: dict[int, deque[int]] = {}  # send times within ``window_us``, by joined proxy
        self.busy_until_us = 0.0  # when the pace allows the next message
        self.lines = 0  # number of pending lines, head lines included
        self.max_pending_lines = 0  # highest value of ``lines`` so far
        self.message_delays = 0  # times that a message was skipped because of ``max_messages``

    # Proxies

    def join(self, proxy: int) -> None:
        """Add a proxy. If it is present already, its pending message and its send times are discarded."""
        self.leave(proxy)
        self.sent_us[proxy] = deque()

    def leave(self, proxy: int) -> None:
        """Remove a proxy and its pending message."""
        message = self.waiting.pop(proxy, None)
        if message is not None:
            self.lines -= message.lines + self.head_lines
        self.blocked.discard(proxy)
        self.sent_us.pop(proxy, None)

    def set_blocked(self, proxy: int, blocked: bool) -> None:
        """Hold back the messages to a proxy, or release them; other proxies are not affected."""
        if blocked:
            self.blocked.add(proxy)
        else:
            self.blocked.discard(proxy)

    # Messages

    def enqueue(self, proxy: int, lines: int, urgent: bool, nonce: int | None, now: int) -> None:
        """Add ``lines`` lines to the pending message of a proxy; create the message if there is none.

        ``nonce`` is acknowledged to ``Director`` once the message is delivered.
        """
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
        self.max_pending_lines = max(self.max_pending_lines, self.lines)

    def remove(self, proxy: int) -> list[int]:
        """Discard the pending message of a proxy, since the reply to its poll contains the lines.

        Returns the nonces of the message.
        """
        message = self.waiting.pop(proxy, None)
        if message is None:
            return []
        self.lines -= message.lines + self.head_lines
        return message.nonces

    def take_nonces(self, proxy: int) -> list[int]:
        """Remove and return the nonces of the pending message of a proxy."""
        message = self.waiting.get(proxy)
        if message is None:
            return []
        nonces, message.nonces = message.nonces, []
        return nonces

    def allowed_us(self, proxy: int, now: int) -> int:
        """Return the earliest time at which the limit on messages allows another message to a proxy."""
        if not self.max_messages:
            return now
        times_us = self.sent_us[proxy]
        while times_us and times_us[0] <= now - self.window_us:
            times_us.popleft()
        return now if len(times_us) < self.max_messages else times_us[0] + self.window_us

    def dequeue(self, now: int) -> PendingMessage | None:
        """Remove and return the message to send now; None if none is ready or the pace does not allow one."""
        if self.busy_until_us > now + PACE_TOLERANCE_US:
            return None
        message = self.dequeue_from(self.urgent, True, now)
        return message if message is not None else self.dequeue_from(self.ordinary, False, now)

    def dequeue_from(self, queue: deque[int], urgent: bool, now: int) -> PendingMessage | None:
        """Remove and return the first message of a queue that may be sent now.

        Proxies whose messages may not be sent now move to the end of the queue.
        """
        for _ in range(len(queue)):
            proxy = queue.popleft()
            message = self.waiting.get(proxy)
            if message is None or message.urgent != urgent:
                continue  # outdated entry: the message is in the other queue, was sent or was discarded
            blocked = proxy in self.blocked
            if blocked or self.max_messages and self.allowed_us(proxy, now) > now:
                self.message_delays += not blocked
                queue.append(proxy)
                continue
            del self.waiting[proxy]
            self.lines -= message.lines + self.head_lines
            return message
        return None

    def cost_us(self, lines: int) -> float:
        """Return the time in microseconds that the channel takes for a message of ``lines`` lines."""
        return (lines + self.head_lines) * self.us_per_line

    def record_sent(self, proxy: int, lines: int, now: int) -> None:
        """Record that a message of ``lines`` lines was sent; its cost delays the next message."""
        self.busy_until_us = max(self.busy_until_us, now) + self.cost_us(lines)
        if self.max_messages and proxy in self.sent_us:
            self.sent_us[proxy].append(now)

    def record_additional_lines(self, lines: int) -> None:
        """Record that the last message had more lines than was recorded; they delay the next message."""
        self.busy_until_us += lines * self.us_per_line

    def due_us(self, now: int) -> int | None:
        """Return the earliest time at which ``dequeue`` may return a message; None if none is unblocked."""
        proxies = [proxy for proxy in self.waiting if proxy not in self.blocked]
        if not proxies:
            return None
        ready_us = now
        if self.max_messages:
            ready_us = min(self.allowed_us(proxy, now) for proxy in proxies)
        return max(ready_us, int(self.busy_until_us) + 1 - PACE_TOLERANCE_US)
