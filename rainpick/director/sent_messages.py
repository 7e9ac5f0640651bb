"""The messages that were sent to proxies and whose delivery is not confirmed yet. Does no I/O."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class SentMessage(NamedTuple):
    """A message that was sent and whose delivery is not confirmed yet."""

    number: int
    nonces: list[int]  # acknowledged to ``Director`` once the message is delivered
    sent_us: int


class SentMessages:
    """The messages sent to one proxy: their number, and those whose delivery is not confirmed yet."""

    __slots__ = ("count", "undelivered")

    def __init__(self) -> None:
        self.count = 0
        self.undelivered: deque[SentMessage] = deque()

    def add(self, nonces: list[int], now: int) -> SentMessage:
        """Record a message that is sent now."""
        self.count += 1
        message = SentMessage(self.count, nonces, now)
        self.undelivered.append(message)
        return message


class Transmission(NamedTuple):
    """A message on its way to a proxy; ``sent`` are the messages of the proxy's stream."""

    proxy: int
    sent: SentMessages
    message: SentMessage


class DeliveryTimeout:
    """Finds messages whose delivery was not confirmed in time.

    The host of a proxy may have vanished: then no confirmation comes until TCP gives up, many minutes later.
    """

    def __init__(self, timeout_us: int):
        self.timeout_us = timeout_us
        self.transmissions: deque[Transmission] = deque()  # oldest first

    def add(self, transmission: Transmission) -> None:
        """Begin to wait for the delivery of a message that is sent now."""
        self.transmissions.append(transmission)

    def due_us(self) -> int | None:
        """Return when the oldest message will be overdue; None if there is none."""
        if not self.transmissions:
            return None
        return self.transmissions[0].message.sent_us + self.timeout_us + 1

    def take_overdue(self, now: int) -> list[Transmission]:
        """Remove and return the messages that were sent too long ago, delivered ones included."""
        overdue = []
        while (due_us := self.due_us()) is not None and due_us <= now:
            overdue.append(self.transmissions.popleft())
        return overdue
