"""Decoding of control packets: ``PacketFramer`` for a stream, ``decode_packet`` for a single packet.

A violation of the standard raises ``MqttError`` with the reason code for disconnecting the peer.
"""

from __future__ import annotations

from collections.abc import Callable

from rainpick.mqtt import flags
from rainpick.mqtt.errors import MqttError, ReasonCode
from rainpick.mqtt.packets import (
    Connack,
    Connect,
    Disconnect,
    Packet,
    PacketType,
    Ping,
    Puback,
    Publish,
    Suback,
    Subscribe,
    Unsuback,
    Unsubscribe,
    Will,
)
from rainpick.mqtt.properties import read_properties
from rainpick.mqtt.wire import ByteReader

MAX_FILTERS_PER_PACKET = 1_024
_MAX_LENGTH_BYTES = 4  # maximum encoded size of the remaining length in the fixed header
_PUBLISH = PacketType.PUBLISH.value


class PacketFramer:
    """Splits a byte stream into packets; ``max_length`` limits the remaining length of each, in bytes."""

    def __init__(self, max_length: int):
        self.max_length = max_length
        self.buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self.buffer += data

    def next(self) -> Packet | None:
        """Return the next packet, None until it is complete; raise ``MqttError`` if it is malformed."""
        remaining_length = 0
        for position in range(1, _MAX_LENGTH_BYTES + 1):
            if position >= len(self.buffer):
                return None
            byte = self.buffer[position]
            remaining_length |= (byte & 0x7F) << 7 * (position - 1)
            if not byte & 0x80:
                break
        else:
            raise MqttError("a remaining length of over four bytes")
        if remaining_length > self.max_length:
            raise MqttError(
                f"a packet of {remaining_length} bytes; at most {self.max_length} are taken",
                ReasonCode.PACKET_TOO_LARGE,
            )
        start = position + 1
        end = start + remaining_length
        if len(self.buffer) < end:
            return None
        first_byte = self.buffer[0]
        body = bytes(self.buffer[start:end])
        del self.buffer[:end]
        return decode_packet(first_byte >> 4, first_byte & 0x0F, body)


def decode_packet(packet_type: int, flag_bits: int, body: bytes) -> Packet:
    """Decode one packet from its type, its flags and its body, the bytes after the fixed header."""
    reader = ByteReader(body)
    if packet_type == _PUBLISH:  # the only packet whose flags vary
        return _decode_publish(reader, flag_bits)
    if flag_bits != _REQUIRED_FLAGS.get(packet_type, 0):
        raise MqttError(f"flags {flag_bits:#x} on a packet of type {packet_type}")
    decode_body = _DECODERS.get(packet_type)
    if decode_body is None:
        raise MqttError(f"packets of type {packet_type} are not spoken here", ReasonCode.PROTOCOL_ERROR)
    return decode_body(reader)


def _decode_publish(reader: ByteReader, flag_bits: int) -> Publish:
    qos = flag_bits >> flags.PUBLISH_QOS_SHIFT & 3
    if qos == 3:
        raise MqttError("QoS 3")
    topic = reader.read_string()
    packet_id = reader.read_uint16() if qos else 0
    if qos and not packet_id:
        raise MqttError("a PUBLISH of QoS 1 without a number", ReasonCode.PROTOCOL_ERROR)
    properties = read_properties(reader)
    has_topic = topic or "topic_alias" in properties
    if "+" in topic or "#" in topic or not has_topic:
        raise MqttError(f"the topic {topic!r} can't be published to", ReasonCode.TOPIC_NAME_INVALID)
    retain = bool(flag_bits & flags.PUBLISH_RETAIN)
    duplicate = bool(flag_bits & flags.PUBLISH_DUPLICATE)
    return Publish(topic, reader.read_remaining(), qos, packet_id, retain, duplicate, properties)


def _decode_connect(reader: ByteReader) -> Connect:
    _check_protocol(reader)
    flag_bits = reader.read_uint8()
    keep_alive_s = reader.read_uint16()
    if flag_bits & flags.CONNECT_RESERVED:
        raise MqttError("the reserved flag of CONNECT is set")
    properties = read_properties(reader)
    client_id = reader.read_string()
    will = _decode_will(reader, flag_bits)
    username = reader.read_string() if flag_bits & flags.CONNECT_USERNAME else None
    password = reader.read_binary() if flag_bits & flags.CONNECT_PASSWORD else None
    if not reader.at_end:
        raise MqttError("bytes are left over after CONNECT")
    if properties.get("receive_maximum") == 0 or properties.get("maximum_packet") == 0:
        raise MqttError("a maximum of 0", ReasonCode.PROTOCOL_ERROR)
    clean_start = bool(flag_bits & flags.CONNECT_CLEAN_START)
    return Connect(client_id, clean_start, keep_alive_s, properties, will, username, password)


def _check_protocol(reader: ByteReader) -> None:
    if reader.read_string() != flags.PROTOCOL_NAME:
        raise MqttError("not MQTT", ReasonCode.UNSUPPORTED_PROTOCOL_VERSION)
    version = reader.read_uint8()
    if version != flags.PROTOCOL_VERSION:
        raise MqttError(
            f"version {version}; {flags.PROTOCOL_VERSION} is spoken here",
            ReasonCode.UNSUPPORTED_PROTOCOL_VERSION,
        )


def _decode_will(reader: ByteReader, flag_bits: int) -> Will | None:
    if not flag_bits & flags.CONNECT_WILL:
        if flag_bits & flags.CONNECT_WILL_DETAILS:
            raise MqttError("flags of a will without a will")
        return None
    read_properties(reader)  # the will's properties are validated, then ignored
    topic = reader.read_string()
    payload = reader.read_binary()
    qos = flag_bits >> flags.CONNECT_WILL_QOS_SHIFT & 3
    if qos == 3:
        raise MqttError("a will of QoS 3")
    return Will(topic, payload, qos, bool(flag_bits & flags.CONNECT_WILL_RETAIN))


def _decode_connack(reader: ByteReader) -> Connack:
    session_present = bool(reader.read_uint8() & 1)
    reason_code = reader.read_uint8()
    return Connack(reason_code, session_present, read_properties(reader))


def _decode_puback(reader: ByteReader) -> Puback:
    packet_id = reader.read_uint16()
    reason_code = ReasonCode.SUCCESS if reader.at_end else reader.read_uint8()
    if not reader.at_end:
        read_properties(reader)
    return Puback(packet_id, reason_code)


def _check_filter_count(count: int) -> None:
    """Raise ``MqttError`` if a packet has too many topic filters: each takes many times its bytes."""
    if count > MAX_FILTERS_PER_PACKET:
        reason = f"over {MAX_FILTERS_PER_PACKET} topic filters in one packet"
        raise MqttError(reason, ReasonCode.QUOTA_EXCEEDED)


def _decode_subscribe(reader: ByteReader) -> Subscribe:
    packet_id = _read_subscription_header(reader)
    filters = []
    while not reader.at_end:
        topic_filter = reader.read_string()
        filters.append((topic_filter, reader.read_uint8()))
        _check_filter_count(len(filters))
    _check_subscription(packet_id, len(filters))
    return Subscribe(packet_id, tuple(filters))


def _decode_unsubscribe(reader: ByteReader) -> Unsubscribe:
    packet_id = _read_subscription_header(reader)
    filters = []
    while not reader.at_end:
        filters.append(reader.read_string())
        _check_filter_count(len(filters))
    _check_subscription(packet_id, len(filters))
    return Unsubscribe(packet_id, tuple(filters))


def _read_subscription_header(reader: ByteReader) -> int:
    """Read the packet identifier and the properties; the properties are validated, then ignored."""
    packet_id = reader.read_uint16()
    read_properties(reader)
    return packet_id


def _check_subscription(packet_id: int, filter_count: int) -> None:
    if not packet_id or not filter_count:
        raise MqttError("a subscription without a number or a filter", ReasonCode.PROTOCOL_ERROR)


def _decode_suback(reader: ByteReader) -> Suback:
    return Suback(_read_subscription_header(reader), tuple(reader.read_remaining()))


def _decode_unsuback(reader: ByteReader) -> Unsuback:
    return Unsuback(_read_subscription_header(reader), tuple(reader.read_remaining()))


def _decode_disconnect(reader: ByteReader) -> Disconnect:
    reason_code = ReasonCode.SUCCESS if reader.at_end else reader.read_uint8()
    return Disconnect(reason_code, {} if reader.at_end else read_properties(reader))


_REQUIRED_FLAGS: dict[int, int] = {
    PacketType.SUBSCRIBE: flags.SUBSCRIPTION_FLAGS,
    PacketType.UNSUBSCRIBE: flags.SUBSCRIPTION_FLAGS,
}
_DECODERS: dict[int, Callable[[ByteReader], Packet]] = {
    PacketType.CONNECT: _decode_connect,
    PacketType.CONNACK: _decode_connack,
    PacketType.PUBACK: _decode_puback,
    PacketType.SUBSCRIBE: _decode_subscribe,
    PacketType.UNSUBSCRIBE: _decode_unsubscribe,
    PacketType.SUBACK: _decode_suback,
    PacketType.UNSUBACK: _decode_unsuback,
    PacketType.PINGREQ: lambda _: Ping(is_response=False),
    PacketType.PINGRESP: lambda _: Ping(is_response=True),
    PacketType.DISCONNECT: _decode_disconnect,
}
