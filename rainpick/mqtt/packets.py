"""Types for the control packets (section 3)."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from rainpick.mqtt.errors import ReasonCode
from rainpick.mqtt.properties import Properties

MAX_PACKET_ID = 65_535


class PacketType(IntEnum):
    """Type of a control packet (section 2.1.2): the four high bits of its first byte."""

    CONNECT = 1
    CONNACK = 2
    PUBLISH = 3
    PUBACK = 4
    SUBSCRIBE = 8
    SUBACK = 9
    UNSUBSCRIBE = 10
    UNSUBACK = 11
    PINGREQ = 12
    PINGRESP = 13
    DISCONNECT = 14
    AUTH = 15


class Will(NamedTuple):
    """A message that the server publishes when a client's connection ends abnormally."""

    topic: str
    payload: bytes
    qos: int = 0
    retain: bool = False


class Connect(NamedTuple):
    """A client's request for a connection; a ``keep_alive_s`` of 0 disables the keep-alive timeout."""

    client_id: str
    clean_start: bool = True
    keep_alive_s: int = 0
    properties: Properties = {}
    will: Will | None = None
    username: str | None = None
    password: bytes | None = None


class Connack(NamedTuple):
    """The server's response to CONNECT."""

    reason_code: int
    session_present: bool = False
    properties: Properties = {}


class Publish(NamedTuple):
    """An application message; ``packet_id`` is 0 for QoS 0, which is not acknowledged."""

    topic: str
    payload: bytes
    qos: int = 0
    packet_id: int = 0
    retain: bool = False
    duplicate: bool = False
    properties: Properties = {}


class Puback(NamedTuple):
    """Acknowledgement of a message of QoS 1."""

    packet_id: int
    reason_code: int = ReasonCode.SUCCESS


class Subscribe(NamedTuple):
    """Topic filters with their options; the two lowest bits of the options are the requested QoS."""

    packet_id: int
    filters: tuple[tuple[str, int], ...]


class Suback(NamedTuple):
    """One reason code for each filter of a SUBSCRIBE; a code below 0x80 is the granted QoS."""

    packet_id: int
    reason_codes: tuple[int, ...]


class Unsubscribe(NamedTuple):
    """Topic filters of the subscriptions to remove."""

    packet_id: int
    filters: tuple[str, ...]


class Unsuback(NamedTuple):
    """One reason code for each filter of an UNSUBSCRIBE."""

    packet_id: int
    reason_codes: tuple[int, ...]


class Ping(NamedTuple):
    """PINGREQ, or PINGRESP if ``is_response``."""

    is_response: bool = False


class Disconnect(NamedTuple):
    """The last packet that either side sends; reason code 0 from a client discards its will."""

    reason_code: int = ReasonCode.SUCCESS
    properties: Properties = {}


Packet = (
    Connect | Connack | Publish | Puback | Subscribe | Suback | Unsubscribe | Unsuback | Ping | Disconnect
)
