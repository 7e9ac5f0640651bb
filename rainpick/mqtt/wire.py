"""Data representations (MQTT 5, section 1.5): integers, variable byte integers, strings, binary data.

All integers are big-endian. ``ByteReader`` checks every length against the end of the packet.
"""

from __future__ import annotations

import struct

from rainpick.mqtt.errors import MqttError

MAX_VARIABLE_BYTE_INTEGER = 268_435_455  # four bytes of seven bits each
MAX_FIELD_LENGTH = 65_535  # largest two-byte length of a string or binary field

_UINT16 = struct.Struct(">H")
_UINT32 = struct.Struct(">I")
_LAST_SHIFT = 21  # bit position of the fourth and last byte of a variable byte integer
_TRUNCATED_INTEGER = "a number runs past the end of its packet"

encode_uint16 = _UINT16.pack
encode_uint32 = _UINT32.pack


def encode_variable_byte_integer(value: int) -> bytes:
    """Encode a variable byte integer (section 1.5.5), least significant group first.

    >>> [encode_variable_byte_integer(value).hex() for value in (127, 128, 268_435_455)]
    ['7f', '8001', 'ffffff7f']
    """
    if not 0 <= value <= MAX_VARIABLE_BYTE_INTEGER:
        raise ValueError(f"{value} is out of the range of a variable byte integer")
    if value < 0x80:  # most packets are this short
        return bytes((value,))
    encoded = bytearray()
    while True:
        value, group = divmod(value, 128)
        encoded.append(group | (0x80 if value else 0))
        if not value:
            return bytes(encoded)


def encode_string(value: str) -> bytes:
    """Encode a UTF-8 string with its two-byte length; raise ``ValueError`` if it is too long."""
    return encode_binary(value.encode())


def encode_binary(value: bytes) -> bytes:
    """Encode binary data with its two-byte length; raise ``ValueError`` if it is too long."""
    if len(value) > MAX_FIELD_LENGTH:
        raise ValueError(f"a field of {len(value)} bytes; at most {MAX_FIELD_LENGTH} are allowed")
    return encode_uint16(len(value)) + value


class ByteReader:
    """Reads the fields of one packet's body in order.

    Each read method raises ``MqttError`` if the body has too few bytes left.
    """

    def __init__(self, data: bytes):
        self.data = data
        self.position = 0

    def read_uint8(self) -> int:
        """Read a one-byte integer."""
        position = self.position
        if position >= len(self.data):
            raise MqttError(_TRUNCATED_INTEGER)
        self.position = position + 1
        return self.data[position]

    def read_uint16(self) -> int:
        """Read a two-byte integer."""
        return self._read_integer(2)

    def read_uint32(self) -> int:
        """Read a four-byte integer."""
        return self._read_integer(4)

    def _read_integer(self, size: int) -> int:
        start = self.position
        end = start + size
        if end > len(self.data):
            raise MqttError(_TRUNCATED_INTEGER)
        self.position = end
        return int.from_bytes(self.data[start:end], "big")

    def read_variable_byte_integer(self) -> int:
        """Read a variable byte integer of at most four bytes."""
        value = 0
        shift = 0
        while True:
            byte = self.read_uint8()
            value |= (byte & 0x7F) << shift
            if not byte & 0x80:
                return value
            shift += 7
            if shift > _LAST_SHIFT:
                raise MqttError("a variable byte integer of over four bytes")

    def read_bytes(self, size: int) -> bytes:
        """Read ``size`` raw bytes."""
        start = self.position
        end = start + size
        if end > len(self.data):
            raise MqttError("a field runs past the end of its packet")
        self.position = end
        return self.data[start:end]

    def read_binary(self) -> bytes:
        """Read binary data with its two-byte length."""
        return self.read_bytes(self.read_uint16())

    def read_string(self) -> str:
        """Read a UTF-8 string; the standard forbids null characters in it (section 1.5.4)."""
        encoded = self.read_binary()
        try:
            decoded = encoded.decode()
        except UnicodeDecodeError:
            raise MqttError("text that is not UTF-8") from None
        if "\0" in decoded:
            raise MqttError("text with a null character")
        return decoded

    def read_remaining(self) -> bytes:
        """Read the rest of the packet."""
        return self.read_bytes(len(self.data) - self.position)

    @property
    def at_end(self) -> bool:
        """Whether the whole packet has been read."""
        return self.position >= len(self.data)
