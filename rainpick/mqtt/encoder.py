"""Encoding of control packets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from rainpick.mqtt import flags
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
)
from rainpick.mqtt.properties import encode_properties
from rainpick.mqtt.wire import encode_binary, encode_string, encode_uint16, encode_variable_byte_integer

_NO_PROPERTIES = b"\0"
_PUBLISH_FIRST_BYTE = PacketType.PUBLISH << 4


def encode_packet(packet: Packet) -> bytes:
    """Encode a packet with its fixed header.

    >>> encode_packet(Puback(7)).hex()
    '40020007'
    """
    encode_body = _ENCODERS.get(type(packet))
    if encode_body is None:
        raise TypeError(f"{type(packet).__name__} is not an MQTT packet")
    return encode_body(packet)


def encode_publish_header(topic: str, qos: int, retain: bool, payload_length: int) -> bytes:
    """Encode a PUBLISH without properties up to its packet identifier, which differs for each recipient.

    The caller appends the packet identifier (if ``qos`` is 1), a property length of 0 and the payload. The
    payload is therefore not copied into a ``Publish`` for each recipient.
    """
    packet_id_length = 2 if qos else 0
    remaining_length = 2 + len(topic.encode()) + packet_id_length + len(_NO_PROPERTIES) + payload_length
    first_byte = _PUBLISH_FIRST_BYTE | qos << flags.PUBLISH_QOS_SHIFT | retain
    return bytes((first_byte,)) + encode_variable_byte_integer(remaining_length) + encode_string(topic)


def _frame(packet_type: PacketType, flag_bits: int, body: bytes) -> bytes:
    """Prepend the fixed header (section 2.1.1) to the body of a packet."""
    return bytes((packet_type << 4 | flag_bits,)) + encode_variable_byte_integer(len(body)) + body


def _encode_connect(packet: Connect) -> bytes:
    flag_bits = flags.CONNECT_CLEAN_START if packet.clean_start else 0
    payload = encode_string(packet.client_id)
    if packet.will is not None:
        flag_bits |= flags.CONNECT_WILL | packet.will.qos << flags.CONNECT_WILL_QOS_SHIFT
        if packet.will.retain:
            flag_bits |= flags.CONNECT_WILL_RETAIN
        payload += _NO_PROPERTIES + encode_string(packet.will.topic) + encode_binary(packet.will.payload)
    if packet.username is not None:
        flag_bits |= flags.CONNECT_USERNAME
        payload += encode_string(packet.username)
    if packet.password is not None:
        flag_bits |= flags.CONNECT_PASSWORD
        payload += encode_binary(packet.password)
    protocol = encode_string(flags.PROTOCOL_NAME) + bytes((flags.PROTOCOL_VERSION, flag_bits))
    header = protocol + encode_uint16(packet.keep_alive_s) + encode_properties(packet.properties)
    return _frame(PacketType.CONNECT, 0, header + payload)


def _encode_connack(packet: Connack) -> bytes:
    header = bytes((packet.session_present, packet.reason_code))
    return _frame(PacketType.CONNACK, 0, header + encode_properties(packet.properties))


def _encode_publish(packet: Publish) -> bytes:
    flag_bits = packet.qos << flags.PUBLISH_QOS_SHIFT | packet.retain
    if packet.duplicate:
        flag_bits |= flags.PUBLISH_DUPLICATE
    packet_id = encode_uint16(packet.packet_id) if packet.qos else b""
    header = encode_string(packet.topic) + packet_id + encode_properties(packet.properties)
    return _frame(PacketType.PUBLISH, flag_bits, header + packet.payload)


def _encode_puback(packet: Puback) -> bytes:
    body = encode_uint16(packet.packet_id)
    if packet.reason_code:  # the code may be omitted on success (section 3.4.2.1)
        body += bytes((packet.reason_code,))
    return _frame(PacketType.PUBACK, 0, body)


def _encode_subscribe(packet: Subscribe) -> bytes:
    filters = b"".join(
        encode_string(topic_filter) + bytes((options,)) for topic_filter, options in packet.filters
    )
    body = encode_uint16(packet.packet_id) + _NO_PROPERTIES + filters
    return _frame(PacketType.SUBSCRIBE, flags.SUBSCRIPTION_FLAGS, body)


def _encode_unsubscribe(packet: Unsubscribe) -> bytes:
    filters = b"".join(map(encode_string, packet.filters))
    body = encode_uint16(packet.packet_id) + _NO_PROPERTIES + filters
    return _frame(PacketType.UNSUBSCRIBE, flags.SUBSCRIPTION_FLAGS, body)


def _encode_suback(packet: Suback) -> bytes:
    body = encode_uint16(packet.packet_id) + _NO_PROPERTIES + bytes(packet.reason_codes)
    return _frame(PacketType.SUBACK, 0, body)


def _encode_unsuback(packet: Unsuback) -> bytes:
    body = encode_uint16(packet.packet_id) + _NO_PROPERTIES + bytes(packet.reason_codes)
    return _frame(PacketType.UNSUBACK, 0, body)


def _encode_ping(packet: Ping) -> bytes:
    return _frame(PacketType.PINGRESP if packet.is_response else PacketType.PINGREQ, 0, b"")


def _encode_disconnect(packet: Disconnect) -> bytes:
    if not packet.reason_code and not packet.properties:  # both may be omitted (section 3.14.2.1)
        return _frame(PacketType.DISCONNECT, 0, b"")
    body = bytes((packet.reason_code,)) + encode_properties(packet.properties)
    return _frame(PacketType.DISCONNECT, 0, body)


_ENCODERS: dict[type[Any], Callable[[Any], bytes]] = {
    Connect: _encode_connect,
    Connack: _encode_connack,
    Publish: _encode_publish,
    Puback: _encode_puback,
    Subscribe: _encode_subscribe,
    Suback: _encode_suback,
    Unsubscribe: _encode_unsubscribe,
    Unsuback: _encode_unsuback,
    Ping: _encode_ping,
    Disconnect: _encode_disconnect,
}
