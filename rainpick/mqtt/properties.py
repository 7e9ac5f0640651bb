"""Properties of packets (section 2.2.2): a mapping from property name to value.

A property that may occur more than once has a list of values, any other a single value.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import IntEnum, auto
from typing import Any, NamedTuple

from rainpick.mqtt.errors import MqttError, ReasonCode
from rainpick.mqtt.wire import (
    ByteReader,
    encode_binary,
    encode_string,
    encode_uint16,
    encode_uint32,
    encode_variable_byte_integer,
)

Properties = dict[str, Any]


class PropertyFormat(IntEnum):
    """Encoding of a property value."""

    BYTE = auto()
    TWO_BYTE_INTEGER = auto()
    FOUR_BYTE_INTEGER = auto()
    VARIABLE_BYTE_INTEGER = auto()
    STRING = auto()
    STRING_PAIR = auto()
    BINARY = auto()


class PropertyDefinition(NamedTuple):
    """Name and format of a property, looked up by identifier."""

    name: str
    format: PropertyFormat


class PropertyCode(NamedTuple):
    """Identifier and format of a property, looked up by name."""

    identifier: int
    format: PropertyFormat


# Table 2-4 of the standard, by identifier. The names occur in reason strings of errors, which are sent
# to clients: renaming one changes the bytes on the wire.
PROPERTIES = {
    0x01: PropertyDefinition("payload_format", PropertyFormat.BYTE),
    0x02: PropertyDefinition("message_expiry", PropertyFormat.FOUR_BYTE_INTEGER),
    0x03: PropertyDefinition("content_type", PropertyFormat.STRING),
    0x08: PropertyDefinition("response_topic", PropertyFormat.STRING),
    0x09: PropertyDefinition("correlation", PropertyFormat.BINARY),
    0x0B: PropertyDefinition("subscription_id", PropertyFormat.VARIABLE_BYTE_INTEGER),
    0x11: PropertyDefinition("session_expiry", PropertyFormat.FOUR_BYTE_INTEGER),
    0x12: PropertyDefinition("assigned_id", PropertyFormat.STRING),
    0x13: PropertyDefinition("server_keep_alive", PropertyFormat.TWO_BYTE_INTEGER),
    0x15: PropertyDefinition("auth_method", PropertyFormat.STRING),
    0x16: PropertyDefinition("auth_data", PropertyFormat.BINARY),
    0x17: PropertyDefinition("request_problem", PropertyFormat.BYTE),
    0x18: PropertyDefinition("will_delay", PropertyFormat.FOUR_BYTE_INTEGER),
    0x19: PropertyDefinition("request_response", PropertyFormat.BYTE),
    0x1A: PropertyDefinition("response_info", PropertyFormat.STRING),
    0x1C: PropertyDefinition("server_reference", PropertyFormat.STRING),
    0x1F: PropertyDefinition("reason", PropertyFormat.STRING),
    0x21: PropertyDefinition("receive_maximum", PropertyFormat.TWO_BYTE_INTEGER),
    0x22: PropertyDefinition("topic_alias_maximum", PropertyFormat.TWO_BYTE_INTEGER),
    0x23: PropertyDefinition("topic_alias", PropertyFormat.TWO_BYTE_INTEGER),
    0x24: PropertyDefinition("maximum_qos", PropertyFormat.BYTE),
    0x25: PropertyDefinition("retain_available", PropertyFormat.BYTE),
    0x26: PropertyDefinition("user", PropertyFormat.STRING_PAIR),
    0x27: PropertyDefinition("maximum_packet", PropertyFormat.FOUR_BYTE_INTEGER),
    0x28: PropertyDefinition("wildcards", PropertyFormat.BYTE),
    0x29: PropertyDefinition("subscription_ids", PropertyFormat.BYTE),
    0x2A: PropertyDefinition("shared", PropertyFormat.BYTE),
}
MAX_PROPERTIES = 256  # of one packet; only user properties may come that often
REPEATABLE_PROPERTIES = frozenset({"user", "subscription_id"})
IDENTIFIERS = {
    definition.name: PropertyCode(identifier, definition.format)
    for identifier, definition in PROPERTIES.items()
}


def _encode_byte(value: int) -> bytes:
    return value.to_bytes(1, "big")


def _encode_string_pair(pair: tuple[str, str]) -> bytes:
    name, value = pair
    return encode_string(name) + encode_string(value)


def _read_string_pair(reader: ByteReader) -> tuple[str, str]:
    name = reader.read_string()
    value = reader.read_string()
    return name, value


_ENCODERS: dict[PropertyFormat, Callable[[Any], bytes]] = {
    PropertyFormat.BYTE: _encode_byte,
    PropertyFormat.TWO_BYTE_INTEGER: encode_uint16,
    PropertyFormat.FOUR_BYTE_INTEGER: encode_uint32,
    PropertyFormat.VARIABLE_BYTE_INTEGER: encode_variable_byte_integer,
    PropertyFormat.STRING: encode_string,
    PropertyFormat.STRING_PAIR: _encode_string_pair,
    PropertyFormat.BINARY: encode_binary,
}
_READERS: dict[PropertyFormat, Callable[[ByteReader], Any]] = {
    PropertyFormat.BYTE: ByteReader.read_uint8,
    PropertyFormat.TWO_BYTE_INTEGER: ByteReader.read_uint16,
    PropertyFormat.FOUR_BYTE_INTEGER: ByteReader.read_uint32,
    PropertyFormat.VARIABLE_BYTE_INTEGER: ByteReader.read_variable_byte_integer,
    PropertyFormat.STRING: ByteReader.read_string,
    PropertyFormat.STRING_PAIR: _read_string_pair,
    PropertyFormat.BINARY: ByteReader.read_binary,
}


def encode_properties(properties: Properties) -> bytes:
    """Encode properties in the order of the mapping, preceded by their total length."""
    encoded = bytearray()
    for name, value in properties.items():
        identifier, value_format = IDENTIFIERS[name]
        encode_value = _ENCODERS[value_format]
        values: Iterable[Any] = value if name in REPEATABLE_PROPERTIES else (value,)
        for item in values:
            encoded.append(identifier)
            encoded += encode_value(item)
    return encode_variable_byte_integer(len(encoded)) + encoded


def read_properties(reader: ByteReader) -> Properties:
    """Read the properties of a packet; raise ``MqttError`` for an unknown or duplicate property."""
    properties: Properties = {}
    count = 0
    length = reader.read_variable_byte_integer()
    end = reader.position + length
    if end > len(reader.data):
        raise MqttError("properties run past the end of their packet")
    while reader.position < end:
        identifier = reader.read_variable_byte_integer()
        if identifier not in PROPERTIES:
            raise MqttError(f"no property has the identifier {identifier:#04x}")
        name, value_format = PROPERTIES[identifier]
        count += 1
        if count > MAX_PROPERTIES:
            raise MqttError(f"over {MAX_PROPERTIES} properties in one packet", ReasonCode.QUOTA_EXCEEDED)
        value = _READERS[value_format](reader)
        if name in REPEATABLE_PROPERTIES:
            properties.setdefault(name, []).append(value)
        elif name in properties:
            raise MqttError(f"the property {name} comes twice", ReasonCode.PROTOCOL_ERROR)
        else:
            properties[name] = value
    if reader.position != end:
        raise MqttError("properties are longer than they say")
    return properties
