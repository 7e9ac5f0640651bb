"""One MQTT connection: its protocol end, its unacknowledged writes, its rate limit."""

from __future__ import annotations

from rainpick.director.snapshots import Snapshot
from rainpick.mqtt.session import ServerEnd
from rainpick.net.streams import Stream

BURST_S = 2  # a client may publish as many messages at once as its rate allows in this time


class ObserverFeed:
    """How far an observer follows a table."""

    __slots__ = ("snapshot", "packet")

    def __init__(self) -> None:
        self.snapshot: Snapshot | None = None  # the newest that it was sent
        self.packet = 0  # number of the one that it has not acknowledged; 0: none


class PublishRateLimit:
    """A token bucket: how many messages a second a client may publish."""

    __slots__ = ("per_s", "tokens", "updated_us")

    def __init__(self, per_s: float, now: int):
        self.per_s = per_s
        self.tokens = BURST_S * per_s
        self.updated_us = now

    def allows(self, now: int) -> bool:
        """Whether one more message is within the rate; if so, it counts."""
        refill = (now - self.updated_us) * self.per_s / 1e6
        self.tokens = min(BURST_S * self.per_s, self.tokens + refill)
        self.updated_us = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class MqttConnection:
    """One MQTT connection, of a proxy or of an observer."""

    def __init__(self, stream: Stream, now: int, publishes_per_s: float):
        self.stream = stream
        self.end = ServerEnd()
        self.client = ""  # its client identifier; a proxy's is its UID
        self.received_us = now  # when anything last came
        self.unacknowledged: dict[int, int] = {}  # packet to the engine's number of the message
        self.unacknowledged_since_us: int | None = None
        self.feeds: dict[int, ObserverFeed] = {}  # by table
        self.stalled_since_us: int | None = None  # of an observer, whose socket takes nothing
        self.rate_limit = PublishRateLimit(publishes_per_s, now)
