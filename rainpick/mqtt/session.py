"""The two ends of an MQTT connection as state machines without I/O."""

from __future__ import annotations

from typing import NamedTuple

from rainpick.mqtt import codec
from rainpick.mqtt.codec import (
    Connack,
    Connect,
    Disconnect,
    MqttError,
    Packet,
    Ping,
    Puback,
    Publish,
    Suback,
    Subscribe,
    Unsuback,
    Unsubscribe,
)

UNACKED_MOST = 65_535
FILTERS_MOST = 64  # of one connection


def fits(topic: str, pattern: str) -> bool:
    """Whether a topic is meant by a filter (section 4.7).

    >>> fits("a/b/c", "a/+/c"), fits("a/b/c", "a/#"), fits("a", "a/#"), fits("a/b", "a"), fits("$x/a", "#")
    (True, True, True, False, False)
    """
    if topic.startswith("$") and pattern[:1] in "+#":
        return False
    levels, wanted = topic.split("/"), pattern.split("/")
    for place, level in enumerate(wanted):
        if level == "#":
            return True
        if place >= len(levels) or level not in ("+", levels[place]):
            return False
    return len(levels) == len(wanted)


def good_filter(pattern: str) -> bool:
    """Whether wildcards stand where they may.

    >>> [good_filter(one) for one in ("a/+/#", "a/#/b", "a+", "", "#")]
    [True, False, False, False, True]
    """
    levels = pattern.split("/")
    return bool(pattern) and not any(
        "#" in level and (level != "#" or place != len(levels) - 1) or "+" in level and level != "+"
        for place, level in enumerate(levels)
    )


class Joined(NamedTuple):
    """A client may be let in: answer with ``accept`` or ``refuse``."""

    connect: Connect


class Wants(NamedTuple):
    """It subscribed: ``filters`` are those granted with their QoS."""

    filters: tuple[tuple[str, int], ...]


class Unwants(NamedTuple):
    filters: tuple[str, ...]


class Said(NamedTuple):
    """It published."""

    publish: Publish


class Acked(NamedTuple):
    """It has taken the message of this number, and the code it gave."""

    number: int
    code: int


class Over(NamedTuple):
    """The connection is over: write ``data`` and close it. ``clean``: its will must not be published."""

    data: bytes
    why: str
    clean: bool = False


class PacketReader:
    """Cuts a stream into packets; a flaw is the last thing it gives out."""

    def __init__(self, packet_most: int):
        self.framer, self.begun = codec.Framer(packet_most), False

    def receive(self, data: bytes) -> list[Packet | MqttError]:
        self.framer.feed(data)
        found: list[Packet | MqttError] = []
        if not self.begun and data:
            self.begun = True
            if data[0] != codec.CONNECT << 4:  # whoever speaks another protocol need not be waited for
                return [MqttError("it does not begin with CONNECT", codec.PROTOCOL_ERROR)]
        try:
            while (one := self.framer.next()) is not None:
                found.append(one)
        except MqttError as flaw:
            found.append(flaw)
        return found


class ServerEnd:
    """One connection as the director sees it. ``out`` collects what is to be written."""

    def __init__(self) -> None:
        self.connect: Connect | None = None
        self.accepted = False
        self.filters: dict[str, int] = {}
        self.unacked: set[int] = set()
        self.receive_most = UNACKED_MOST
        self.send_most = codec.LARGEST
        self.numbered = 0
        self.out = bytearray()

    def receive(self, one: Packet | MqttError) -> Joined | Wants | Unwants | Said | Acked | Over | None:
        """What a packet brings; after ``Over`` nothing more may come."""
        if isinstance(one, MqttError):
            return self.end(one.code, str(one))
        try:
            return self.take(one)
        except MqttError as flaw:
            return self.end(flaw.code, str(flaw))

    def end(self, code: int, why: str) -> Over:
        if self.connect is None:
            known = code in (codec.UNSUPPORTED_VERSION, codec.TOO_LARGE, codec.MALFORMED)
            return Over(codec.write(Connack(code)) if known else b"", why)
        if not self.accepted:
            return Over(codec.write(Connack(code)), why)
        return Over(codec.write(Disconnect(code, {"reason": why[:200]})), why)

    def take(self, one: Packet):
        if self.connect is None:
            if not isinstance(one, Connect):
                return Over(b"", f"{type(one).__name__} before CONNECT")
            self.connect = one
            self.receive_most = one.props.get("receive_maximum", UNACKED_MOST)
            self.send_most = one.props.get("maximum_packet", codec.LARGEST)
            return Joined(one)
        if isinstance(one, Subscribe):
            return self.subscribe(one)
        if isinstance(one, Publish):
            if one.qos > 1:
                raise MqttError("QoS 2 is not spoken here", codec.QOS_NOT_SUPPORTED)
            if "topic_alias" in one.props:
                raise MqttError("no topic aliases were allowed", codec.PROTOCOL_ERROR)
            return Said(one)
        if isinstance(one, Puback):
            if one.number not in self.unacked:
                raise MqttError(f"PUBACK {one.number} answers nothing", codec.PROTOCOL_ERROR)
            self.unacked.discard(one.number)
            return Acked(one.number, one.code)
        if isinstance(one, Unsubscribe):
            gone = tuple(name for name in one.filters if self.filters.pop(name, None) is not None)
            codes = [codec.SUCCESS if name in gone else codec.NO_SUBSCRIPTION for name in one.filters]
            self.out += codec.write(Unsuback(one.number, tuple(codes)))
            return Unwants(gone)
        if isinstance(one, Ping) and not one.answer:
            self.out += codec.write(Ping(True))
            return None
        if isinstance(one, Disconnect):
            return Over(b"", "disconnected by the client", one.code == codec.SUCCESS)
        raise MqttError(f"{type(one).__name__} is not for a server", codec.PROTOCOL_ERROR)

    def subscribe(self, one: Subscribe) -> Wants:
        codes, granted = [], []
        for name, options in one.filters:
            if not good_filter(name) or name.startswith("$share/"):
                codes.append(codec.BAD_FILTER)
            elif len(self.filters) >= FILTERS_MOST and name not in self.filters:
                codes.append(codec.QUOTA)
            else:
                qos = min(1, options & 3)
                self.filters[name] = qos
                granted.append((name, qos))
                codes.append(qos)
        self.out += codec.write(Suback(one.number, tuple(codes)))
        return Wants(tuple(granted))

    def accept(self, props: codec.Props) -> None:
        self.accepted = True
        self.out += codec.write(Connack(codec.SUCCESS, False, props))

    def acknowledge(self, publish: Publish, code: int = codec.SUCCESS) -> None:
        if publish.qos:
            self.out += codec.write(Puback(publish.number, code))

    def wanted(self, topic: str) -> int | None:
        """The QoS at which it wants a topic; None if it does not."""
        return max((qos for name, qos in self.filters.items() if fits(topic, name)), default=None)

    @property
    def room(self) -> bool:
        """Whether it allows one more unacknowledged message."""
        return len(self.unacked) < self.receive_most

    def publish(self, topic: str, payload: bytes, qos: int, retain: bool = False) -> int:
        """Queue a message; its number, 0 for one of QoS 0."""
        number = 0
        if qos:
            while True:
                self.numbered = self.numbered % UNACKED_MOST + 1
                if self.numbered not in self.unacked:
                    break
            number = self.numbered
            self.unacked.add(number)
        head = codec.publish_head(topic, qos, retain, len(payload))
        self.out += head + (number.to_bytes(2, "big") if qos else b"") + b"\0" + payload
        return number


class ClientEnd:
    """A client's end: connects, subscribes, publishes, acknowledges what comes."""

    def __init__(self, packet_most: int = 1 << 24):
        self.framer, self.numbered = codec.Framer(packet_most), 0

    def number(self) -> int:
        self.numbered = self.numbered % UNACKED_MOST + 1
        return self.numbered

    def receive(self, data: bytes) -> list[Packet]:
        self.framer.feed(data)
        found = []
        while (one := self.framer.next()) is not None:
            found.append(one)
        return found
