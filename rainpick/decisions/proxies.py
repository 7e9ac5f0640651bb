"""The state that a director keeps of each joined proxy, and the limit on messages to a proxy."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from rainpick.decisions.settings import DecisionSettings
from rainpick.decisions.sliding_window import SlidingWindow
from rainpick.model import ProxyJoined

BURST_FRACTION = 0.4  # fraction of the message cap that may be sent at once
RESERVE_CAP_MIN = 3  # a message is kept in reserve from this cap on; below, it would leave none to refill


class SentMessage(NamedTuple):
    """A message that a proxy has not acknowledged, or several with the same nonce."""

    nonce: int
    lines: int
    acknowledgements: int = 1  # number of acknowledgements still to come


class ProxyState:
    """One joined proxy; ``group`` is the table that it is bound to, or a group of unbound proxies."""

    def __init__(self, event: ProxyJoined, now: int, group: ProxyGroup):
        self.number = event.proxy
        self.zone = event.zone
        self.request_rate = event.request_rate
        self.group = group
        self.joined_us = now
        self.requests: dict[int, SlidingWindow] = {}  # by route: requests, report intervals in microseconds
        self.former_table: int | None = None  # table that it may still be bound to, if it rejoined unnoticed
        self.unacknowledged: deque[SentMessage] = deque()
        # Messages that the proxy gets only if it uses certain servers, written while it was unbound. It has
        # acknowledged none of them, nor any later message.
        self.uncertain: list[SentMessage] = []
        self.message_tokens = 1e9  # see MessageLimit; reduced to the burst size when it is first read
        self.tokens_filled_us = now

    def inherit(self, previous: ProxyState) -> None:
        """Copy the message state from before the proxy rejoined without a notice that it had left.

        Its earlier messages may still be in the channel, and it may still be bound to its table.
        """
        self.former_table = previous.former_table if previous.table is None else previous.table
        self.unacknowledged = previous.unacknowledged
        self.uncertain = previous.uncertain
        self.message_tokens = previous.message_tokens
        self.tokens_filled_us = previous.tokens_filled_us

    @property
    def table(self) -> int | None:
        """The number of the table that the proxy is bound to; None if it is unbound."""
        return self.group.table_number

    def insert_message(self, previous_nonce: int, message: SentMessage) -> None:
        """Add a message that is sent right after the one with ``previous_nonce``, before any newer one.

        If that message is no longer unacknowledged, neither is any older one: the message comes first.
        """
        position = 0
        for index, sent in enumerate(self.unacknowledged, 1):
            if sent.nonce == previous_nonce:
                position = index
        self.unacknowledged.insert(position, message)

    def split_message(self, nonce: int, lines: int, acknowledgements: int) -> None:
        """Count ``lines`` more lines of the message with this nonce, and expect more acknowledgements."""
        for index, sent in enumerate(self.unacknowledged):
            if sent.nonce == nonce:
                total = sent.acknowledgements + acknowledgements
                self.unacknowledged[index] = SentMessage(nonce, sent.lines + lines, total)
                return
        self.unacknowledged.appendleft(SentMessage(nonce, lines))

    def acknowledge(self, nonce: int) -> list[SentMessage]:
        """Remove the messages up to the newest with this nonce, and return them; none if there is none.

        If more acknowledgements of a message with this nonce are still to come, it stays.
        """
        acknowledged: list[SentMessage] = []
        while any(message.nonce == nonce for message in self.unacknowledged):
            message = self.unacknowledged.popleft()
            if message.nonce == nonce and message.acknowledgements > 1:
                remaining = message._replace(acknowledgements=message.acknowledgements - 1)
                self.unacknowledged.appendleft(remaining)
                break
            acknowledged.append(message)
        return acknowledged

    def discard_message(self, nonce: int) -> int:
        """Remove the unacknowledged message with this nonce; return its lines, 0 if there is none."""
        for message in self.unacknowledged:
            if message.nonce == nonce:
                self.unacknowledged.remove(message)
                return message.lines
        return 0

    def expire_messages(self, is_overdue: Callable[[int], bool]) -> int:
        """Remove the oldest messages while their acknowledgements are overdue; return their lines."""
        lines = 0
        while self.unacknowledged and is_overdue(self.unacknowledged[0].nonce):
            lines += self.unacknowledged.popleft().lines
        return lines

    def unacknowledged_lines(self) -> int:
        """Return the number of lines in unacknowledged messages."""
        return sum(message.lines for message in self.unacknowledged)


class ProxyGroup:
    """Proxies that receive the same commands.

    ``pending_lines`` is the number of lines that the current step has written to each proxy of the group so
    far, without the message head; ``command_lines`` is what they are if the group has any proxy when the
    commands are executed. ``table_number`` is the table that the proxies are bound to, or None.
    """

    table_number: int | None = None

    def __init__(self) -> None:
        self.proxies: dict[int, ProxyState] = {}
        self.pending_lines = 0
        self.command_lines = 0


class MessageLimit:
    """The cap on messages to one proxy within a time window, as a token bucket.

    A small burst may be sent at once; further messages are spaced evenly, so that no window of
    ``messages_window_us`` contains more messages than the cap. ``reserve`` messages of the cap are kept back.
    """

    def __init__(self, settings: DecisionSettings):
        self.is_unlimited = settings.messages_max <= 0
        self.reserve = int(settings.messages_max >= RESERVE_CAP_MIN)
        cap = settings.messages_max - self.reserve
        self.burst = max(1.0, BURST_FRACTION * cap)
        # With a cap of one, messages are a whole window apart.
        self.tokens_per_us = (cap - self.burst if cap > 1 else 1.0) / settings.messages_window_us

    def available(self, proxy: ProxyState, now: int) -> float:
        """Return the number of messages that may be sent to a proxy now; constant if there is no cap."""
        if self.is_unlimited:
            return self.burst
        filled = proxy.message_tokens + (now - proxy.tokens_filled_us) * self.tokens_per_us
        proxy.message_tokens = min(self.burst, filled)
        proxy.tokens_filled_us = now
        return proxy.message_tokens
