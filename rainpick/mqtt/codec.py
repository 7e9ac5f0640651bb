"""Control packets of MQTT 5, read with every length checked, and written. Sections are the standard's."""

from __future__ import annotations

import struct
from typing import Any, NamedTuple

# Types (section 2.1.2)
CONNECT, CONNACK, PUBLISH, PUBACK = 1, 2, 3, 4
SUBSCRIBE, SUBACK, UNSUBSCRIBE, UNSUBACK = 8, 9, 10, 11
PINGREQ, PINGRESP, DISCONNECT, AUTH = 12, 13, 14, 15

# Reason codes (section 2.4)
SUCCESS = 0x00
GRANTED_0, GRANTED_1 = 0x00, 0x01
NO_SUBSCRIBERS = 0x10
NO_SUBSCRIPTION = 0x11
UNSPECIFIED = 0x80
MALFORMED = 0x81
PROTOCOL_ERROR = 0x82
UNSUPPORTED_VERSION = 0x84
BAD_CLIENT_ID = 0x85
NOT_AUTHORIZED = 0x87
BUSY = 0x89
KEEP_ALIVE = 0x8D
TAKEN_OVER = 0x8E
BAD_FILTER = 0x8F
BAD_TOPIC = 0x90
RECEIVE_MAXIMUM = 0x93
TOO_LARGE = 0x95
QUOTA = 0x97
BAD_PAYLOAD = 0x99
QOS_NOT_SUPPORTED = 0x9B

# Properties (section 2.2.2.2): identifier to name and form
BYTE, SHORT, LONG, VARIABLE, TEXT, BINARY, PAIR = "B", "H", "I", "v", "s", "b", "p"
PROPERTIES = {
    0x01: ("payload_format", BYTE),
    0x02: ("message_expiry", LONG),
    0x03: ("content_type", TEXT),
    0x08: ("response_topic", TEXT),
    0x09: ("correlation", BINARY),
    0x0B: ("subscription_id", VARIABLE),
    0x11: ("session_expiry", LONG),
    0x12: ("assigned_id", TEXT),
    0x13: ("server_keep_alive", SHORT),
    0x15: ("auth_method", TEXT),
    0x16: ("auth_data", BINARY),
    0x17: ("request_problem", BYTE),
    0x18: ("will_delay", LONG),
    0x19: ("request_response", BYTE),
    0x1A: ("response_info", TEXT),
    0x1C: ("server_reference", TEXT),
    0x1F: ("reason", TEXT),
    0x21: ("receive_maximum", SHORT),
    0x22: ("topic_alias_maximum", SHORT),
    0x23: ("topic_alias", SHORT),
    0x24: ("maximum_qos", BYTE),
    0x25: ("retain_available", BYTE),
    0x26: ("user", PAIR),
    0x27: ("maximum_packet", LONG),
    0x28: ("wildcards", BYTE),
    0x29: ("subscription_ids", BYTE),
    0x2A: ("shared", BYTE),
}
IDENTIFIERS = {name: (number, form) for number, (name, form) in PROPERTIES.items()}
REPEATED = frozenset({"user", "subscription_id"})
LARGEST = 268_435_455  # a variable integer holds no more
Props = dict[str, Any]


class MqttError(Exception):
    """What came breaks the standard. ``code`` is the reason code to disconnect with."""

    def __init__(self, text: str, code: int = MALFORMED):
        super().__init__(text)
        self.code = code


class Will(NamedTuple):
    topic: str
    payload: bytes
    qos: int = 0
    retain: bool = False


class Connect(NamedTuple):
    client: str
    clean: bool = True
    keep_alive: int = 0
    props: Props = {}  # noqa: RUF012
    will: Will | None = None
    user: str | None = None
    password: bytes | None = None


class Connack(NamedTuple):
    code: int
    present: bool = False
    props: Props = {}  # noqa: RUF012


class Publish(NamedTuple):
    topic: str
    payload: bytes
    qos: int = 0
    number: int = 0
    retain: bool = False
    again: bool = False
    props: Props = {}  # noqa: RUF012


class Puback(NamedTuple):
    number: int
    code: int = SUCCESS


class Subscribe(NamedTuple):
    """``filters``: (filter, options); the options' two lowest bits are the QoS asked for."""

    number: int
    filters: tuple[tuple[str, int], ...]


class Suback(NamedTuple):
    number: int
    codes: tuple[int, ...]


class Unsubscribe(NamedTuple):
    number: int
    filters: tuple[str, ...]


class Unsuback(NamedTuple):
    number: int
    codes: tuple[int, ...]


class Ping(NamedTuple):
    answer: bool = False


class Disconnect(NamedTuple):
    code: int = SUCCESS
    props: Props = {}  # noqa: RUF012


Packet = (
    Connect | Connack | Publish | Puback | Subscribe | Suback | Unsubscribe | Unsuback | Ping | Disconnect
)


# Writing


def variable(value: int) -> bytes:
    """A variable byte integer (section 1.5.5).

    >>> variable(127).hex(), variable(128).hex(), variable(268_435_455).hex()
    ('7f', '8001', 'ffffff7f')
    """
    if not 0 <= value <= LARGEST:
        raise ValueError(f"{value} is no variable byte integer")
    found = bytearray()
    while True:
        value, low = divmod(value, 128)
        found.append(low | (0x80 if value else 0))
        if not value:
            return bytes(found)


def text(value: str) -> bytes:
    return binary(value.encode())


def binary(value: bytes) -> bytes:
    if len(value) > 65_535:
        raise ValueError("a field of over 65,535 bytes")
    return struct.pack(">H", len(value)) + value


def write_properties(props: Props) -> bytes:
    pieces = []
    for name, given in props.items():
        number, form = IDENTIFIERS[name]
        for value in given if name in REPEATED else (given,):
            pieces.append(bytes((number,)))
            if form in (BYTE, SHORT, LONG):
                pieces.append(struct.pack(">" + form, value))
            elif form == VARIABLE:
                pieces.append(variable(value))
            elif form == PAIR:
                pieces += (text(value[0]), text(value[1]))
            else:
                pieces.append(text(value) if form == TEXT else binary(value))
    body = b"".join(pieces)
    return variable(len(body)) + body


def packet(kind: int, flags: int, body: bytes) -> bytes:
    return bytes((kind << 4 | flags,)) + variable(len(body)) + body


def publish_head(topic: str, qos: int, retain: bool, size: int) -> bytes:
    """All of a PUBLISH without properties before its number: shared by those who get the same payload."""
    rest = 2 + len(topic.encode()) + (2 if qos else 0) + 1 + size
    return bytes((PUBLISH << 4 | qos << 1 | retain,)) + variable(rest) + text(topic)


def write(one: Packet) -> bytes:
    """The bytes of a packet."""
    kind = type(one)
    if kind is Publish:
        flags = (8 if one.again else 0) | one.qos << 1 | one.retain
        number = struct.pack(">H", one.number) if one.qos else b""
        return packet(PUBLISH, flags, text(one.topic) + number + write_properties(one.props) + one.payload)
    if kind is Puback:
        return packet(
            PUBACK, 0, struct.pack(">HB", one.number, one.code) if one.code else struct.pack(">H", one.number)
        )
    if kind is Connect:
        flags = (
            (2 if one.clean else 0)
            | (128 if one.user is not None else 0)
            | (64 if one.password is not None else 0)
        )
        tail = text(one.client)
        if one.will is not None:
            flags |= 4 | one.will.qos << 3 | (32 if one.will.retain else 0)
            tail += variable(0) + text(one.will.topic) + binary(one.will.payload)
        tail += text(one.user) if one.user is not None else b""
        tail += binary(one.password) if one.password is not None else b""
        head = text("MQTT") + struct.pack(">BBH", 5, flags, one.keep_alive)
        return packet(CONNECT, 0, head + write_properties(one.props) + tail)
    if kind is Connack:
        return packet(CONNACK, 0, bytes((one.present, one.code)) + write_properties(one.props))
    if kind is Subscribe:
        rows = b"".join(text(name) + bytes((options,)) for name, options in one.filters)
        return packet(SUBSCRIBE, 2, struct.pack(">H", one.number) + b"\0" + rows)
    if kind is Unsubscribe:
        rows = b"".join(map(text, one.filters))
        return packet(UNSUBSCRIBE, 2, struct.pack(">H", one.number) + b"\0" + rows)
    if kind in (Suback, Unsuback):
        which = SUBACK if kind is Suback else UNSUBACK
        return packet(which, 0, struct.pack(">H", one.number) + b"\0" + bytes(one.codes))
    if kind is Ping:
        return packet(PINGRESP if one.answer else PINGREQ, 0, b"")
    if kind is Disconnect:
        if not one.code and not one.props:
            return packet(DISCONNECT, 0, b"")
        return packet(DISCONNECT, 0, bytes((one.code,)) + write_properties(one.props))
    raise TypeError(f"{kind.__name__} is no packet")


# Reading


class Cursor:
    def __init__(self, data: bytes):
        self.data, self.at = data, 0

    def number(self, form: str) -> int:
        size = struct.calcsize(">" + form)
        if self.at + size > len(self.data):
            raise MqttError("a number runs past the end of its packet")
        self.at += size
        return struct.unpack_from(">" + form, self.data, self.at - size)[0]

    def variable(self) -> int:
        value, shift = 0, 0
        while True:
            byte = self.number("B")
            value |= (byte & 127) << shift
            if not byte & 128:
                return value
            shift += 7
            if shift > 21:
                raise MqttError("a variable byte integer of over four bytes")

    def run(self, size: int) -> bytes:
        if self.at + size > len(self.data):
            raise MqttError("a field runs past the end of its packet")
        self.at += size
        return self.data[self.at - size : self.at]

    def binary(self) -> bytes:
        return self.run(self.number("H"))

    def text(self) -> str:
        raw = self.binary()
        try:
            found = raw.decode()
        except UnicodeDecodeError:
            raise MqttError("text that is not UTF-8") from None
        if "\0" in found:
            raise MqttError("text with a null character")
        return found

    def properties(self) -> Props:
        found: Props = {}
        end = self.variable() + self.at
        if end > len(self.data):
            raise MqttError("properties run past the end of their packet")
        while self.at < end:
            number = self.variable()
            if number not in PROPERTIES:
                raise MqttError(f"no property has the identifier {number:#04x}")
            name, form = PROPERTIES[number]
            if form in (BYTE, SHORT, LONG):
                value: Any = self.number(form)
            elif form == VARIABLE:
                value = self.variable()
            elif form == PAIR:
                value = (self.text(), self.text())
            else:
                value = self.text() if form == TEXT else self.binary()
            if name in REPEATED:
                found.setdefault(name, []).append(value)
            elif name in found:
                raise MqttError(f"the property {name} comes twice", PROTOCOL_ERROR)
            else:
                found[name] = value
        if self.at != end:
            raise MqttError("properties are longer than they say")
        return found

    def rest(self) -> bytes:
        return self.run(len(self.data) - self.at)

    @property
    def over(self) -> bool:
        return self.at >= len(self.data)


def read(kind: int, flags: int, body: bytes) -> Packet:
    """One packet from its type, flags and body; ``MqttError`` if it is malformed."""
    cursor = Cursor(body)
    if kind == PUBLISH:
        return read_publish(cursor, flags)
    wanted = 2 if kind in (SUBSCRIBE, UNSUBSCRIBE) else 0
    if flags != wanted:
        raise MqttError(f"flags {flags:#x} on a packet of type {kind}")
    if kind == CONNECT:
        return read_connect(cursor)
    if kind == CONNACK:
        present, code = cursor.number("B"), cursor.number("B")
        return Connack(code, bool(present & 1), cursor.properties())
    if kind == PUBACK:
        number = cursor.number("H")
        code = SUCCESS if cursor.over else cursor.number("B")
        if not cursor.over:
            cursor.properties()
        return Puback(number, code)
    if kind in (SUBSCRIBE, UNSUBSCRIBE):
        number = cursor.number("H")
        cursor.properties()
        rows = []
        while not cursor.over:
            name = cursor.text()
            rows.append((name, cursor.number("B")) if kind == SUBSCRIBE else name)
        if not number or not rows:
            raise MqttError("a subscription without a number or a filter", PROTOCOL_ERROR)
        return Subscribe(number, tuple(rows)) if kind == SUBSCRIBE else Unsubscribe(number, tuple(rows))
    if kind in (SUBACK, UNSUBACK):
        number = cursor.number("H")
        cursor.properties()
        return (Suback if kind == SUBACK else Unsuback)(number, tuple(cursor.rest()))
    if kind in (PINGREQ, PINGRESP):
        return Ping(kind == PINGRESP)
    if kind == DISCONNECT:
        code = SUCCESS if cursor.over else cursor.number("B")
        return Disconnect(code, {} if cursor.over else cursor.properties())
    raise MqttError(f"packets of type {kind} are not spoken here", PROTOCOL_ERROR)


def read_publish(cursor: Cursor, flags: int) -> Publish:
    qos = flags >> 1 & 3
    if qos == 3:
        raise MqttError("QoS 3")
    topic = cursor.text()
    number = cursor.number("H") if qos else 0
    if qos and not number:
        raise MqttError("a PUBLISH of QoS 1 without a number", PROTOCOL_ERROR)
    props = cursor.properties()
    if "+" in topic or "#" in topic or not topic and "topic_alias" not in props:
        raise MqttError(f"the topic {topic!r} can't be published to", BAD_TOPIC)
    return Publish(topic, cursor.rest(), qos, number, bool(flags & 1), bool(flags & 8), props)


def read_connect(cursor: Cursor) -> Connect:
    if cursor.text() != "MQTT":
        raise MqttError("not MQTT", UNSUPPORTED_VERSION)
    version = cursor.number("B")
    if version != 5:
        raise MqttError(f"version {version}; 5 is spoken here", UNSUPPORTED_VERSION)
    flags, keep_alive = cursor.number("B"), cursor.number("H")
    if flags & 1:
        raise MqttError("the reserved flag of CONNECT is set")
    props, client = cursor.properties(), cursor.text()
    will = None
    if flags & 4:
        cursor.properties()
        will = Will(cursor.text(), cursor.binary(), flags >> 3 & 3, bool(flags & 32))
        if will.qos == 3:
            raise MqttError("a will of QoS 3")
    elif flags & 0x38:
        raise MqttError("flags of a will without a will")
    user = cursor.text() if flags & 128 else None
    password = cursor.binary() if flags & 64 else None
    if not cursor.over:
        raise MqttError("bytes are left over after CONNECT")
    if props.get("receive_maximum") == 0 or props.get("maximum_packet") == 0:
        raise MqttError("a maximum of 0", PROTOCOL_ERROR)
    return Connect(client, bool(flags & 2), keep_alive, props, will, user, password)


class Framer:
    """Cuts a stream into packets and holds no more than one of them."""

    def __init__(self, most: int):
        self.most, self.held = most, bytearray()

    def feed(self, data: bytes) -> None:
        self.held += data

    def next(self) -> Packet | None:
        """The next packet; None until more has come."""
        size = shift = 0
        for place in range(1, 5):
            if place >= len(self.held):
                return None
            byte = self.held[place]
            size |= (byte & 127) << shift
            shift += 7
            if not byte & 128:
                break
        else:
            raise MqttError("a remaining length of over four bytes")
        if size > self.most:
            raise MqttError(f"a packet of {size} bytes; at most {self.most} are taken", TOO_LARGE)
        head = place + 1
        if len(self.held) < head + size:
            return None
        first, body = self.held[0], bytes(self.held[head : head + size])
        del self.held[: head + size]
        return read(first >> 4, first & 15, body)
