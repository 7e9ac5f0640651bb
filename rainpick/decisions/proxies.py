"""What a director knows of each joined proxy, and how many messages it may be sent."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from rainpick.decisions.settings import DecisionSettings
from rainpick.decisions.sliding_window import SlidingWindow
from rainpick.model import ProxyJoined

BURST_FRACTION = 0.4  # of the messages that a proxy may be sent, this part may go out at once


class SentMessage(NamedTuple):
    """A message that a proxy has not acknowledged."""

    nonce: int
    lines: int


class ProxyState:
    """One joined proxy. ``group`` is the table that it follows, or those proxies that wait for one."""

    def __init__(self, event: ProxyJoined, now: int, group: ProxyGroup):
        self.number = event.proxy
        self.zone = event.zone
        self.request_rate = event.request_rate
        self.group = group
        self.joined_us = now
        self.requests: dict[int, SlidingWindow] = {}  # by route: requests, and over how many microseconds
        self.unacknowledged: deque[SentMessage] = deque()
        self.message_tokens = 1e9  # filled up to a burst when it is first asked for
        self.tokens_filled_us = now

    def inherit(self, former: ProxyState) -> None:
        """It joined again and nobody saw it leave: what it was sent may still wait in the channel."""
        self.unacknowledged = former.unacknowledged
        self.message_tokens = former.message_tokens
        self.tokens_filled_us = former.tokens_filled_us

    def unacknowledged_lines(self) -> int:
        """Lines of the messages that it has not acknowledged."""
        return sum(message.lines for message in self.unacknowledged)


class ProxyGroup:
    """Proxies that the same commands reach.

    ``pending_lines`` counts the lines that the step under way writes to each of them, the head left out.
    """

    def __init__(self) -> None:
        self.proxies: dict[int, ProxyState] = {}
        self.pending_lines = 0


class MessageLimit:
    """The cap of messages to one proxy within a window of time, as a token bucket.

    A small burst may go out at once, then messages go evenly, so that no window of that length holds more
    than the cap. One message is kept in reserve.
    """

    def __init__(self, settings: DecisionSettings):
        self.most = settings.messages_max - 1
        self.burst = max(1.0, BURST_FRACTION * self.most)
        self.per_us = (self.most - self.burst) / settings.messages_window_us

    def available(self, proxy: ProxyState, now: int) -> float:
        """Messages that may be sent to a proxy now."""
        if self.most <= 0:
            return self.burst
        filled = proxy.message_tokens + (now - proxy.tokens_filled_us) * self.per_us
        proxy.message_tokens = min(self.burst, filled)
        proxy.tokens_filled_us = now
        return proxy.message_tokens
