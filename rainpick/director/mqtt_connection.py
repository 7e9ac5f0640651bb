"""One MQTT connection: its protocol state, its unacknowledged messages and its rate limit."""

from __future__ import annotations

from rainpick.director.snapshots import Snapshot
from rainpick.mqtt.server import ServerConnection
from rainpick.net.streams import Stream

BURST_S = 2  # a token bucket holds as many messages as the client's rate allows in this time


class ObserverFeed:
    """The state of one table at one observer."""

    __slots__ = ("snapshot", "packet")

    def __init__(self) -> None:
        self.snapshot: Snapshot | None = None  # the newest version sent to the observer
        self.packet = 0  # packet identifier of the message with that version; 0 once acknowledged


class PublishRateLimit:
    """A token bucket that limits the messages a second that a client may publish."""

    __slots__ = ("per_s", "tokens", "updated_us")

    def __init__(self, per_s: float, now: int):
        self.per_s = per_s
        self.tokens = BURST_S * per_s
        self.updated_us = now

    def allows(self, now: int) -> bool:
        """Return whether one more message is within the rate; if so, count it."""
        refill = (now - self.updated_us) * self.per_s / 1e6
        self.tokens = min(BURST_S * self.per_s, self.tokens + refill)
        self.updated_us = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class MqttConnection:
    """One MQTT connection of a proxy or an observer."""

    def __init__(self, stream: Stream, now: int, publishes_per_s: float):
        self.stream = stream
        self.protocol = ServerConnection()
        self.client = ""  # client identifier; for a proxy, its UID
        self.received_us = now  # time of the last received packet
        self.unacknowledged: dict[int, int] = {}  # the engine's message numbers by packet identifier
        # Time of the last acknowledgement, or of the first message without one; None if none is outstanding.
        self.unacknowledged_since_us: int | None = None
        self.feeds: dict[int, ObserverFeed] = {}  # the tables sent to an observer, by table number
        self.stalled_since_us: int | None = None  # since when an observer's socket accepts no data
        self.rate_limit = PublishRateLimit(publishes_per_s, now)
