"""Splits a byte stream into SASP messages and decodes them."""

from __future__ import annotations

from typing import NamedTuple

from rainpick.sasp.constants import HEADER_TYPE, VERSION
from rainpick.sasp.decoding import decode_body
from rainpick.sasp.errors import FramingError, SaspError
from rainpick.sasp.messages import Message
from rainpick.sasp.wire import COMPONENT_HEADER, MESSAGE_HEADER, UINT16, Cursor


class Frame(NamedTuple):
    """A message with its message id."""

    message_id: int
    message: Message


class FrameReader:
    """Buffers the bytes of a stream and decodes its messages.

    After each ``feed`` the caller calls ``next`` until it returns None. The buffer then holds less than one
    message, and a message has at most ``max_message_bytes``.
    """

    def __init__(self, max_message_bytes: int):
        self.max_message_bytes = max_message_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Append bytes that were read from the stream."""
        self.buffer += data

    def next(self) -> Frame | None:
        """Decode the next message; return None until all its bytes have been received.

        Raises ``SaspError`` if the message is malformed but its length is valid; the next call continues
        after this message. Raises ``FramingError`` if the header is invalid; the stream is then unusable.
        """
        if len(self.buffer) < MESSAGE_HEADER.size:
            return None
        length, message_id = self._check_header()
        if len(self.buffer) < length:
            return None
        data = bytes(self.buffer[:length])
        del self.buffer[:length]
        (message_type,) = UINT16.unpack_from(data, MESSAGE_HEADER.size)
        cursor = Cursor(data, MESSAGE_HEADER.size)
        try:
            message = decode_body(message_type, cursor)
            cursor.expect_end(length, "a message with its components")
        except SaspError as error:
            error.message_type = message_type
            error.message_id = message_id
            raise
        return Frame(message_id, message)

    def abandoned(self, reason: str) -> FramingError:
        """Return the error for the incomplete message, with its id if its header has arrived."""
        if len(self.buffer) < MESSAGE_HEADER.size:
            return FramingError(reason)
        message_id = MESSAGE_HEADER.unpack_from(self.buffer)[-1]
        return FramingError(reason, message_id=message_id)

    def _check_header(self) -> tuple[int, int]:
        """Return length and id of the first buffered message; ``FramingError`` if its header is invalid."""
        component_type, size, version, length, message_id = MESSAGE_HEADER.unpack_from(self.buffer)
        if component_type != HEADER_TYPE or size != MESSAGE_HEADER.size:
            raise FramingError(f"a message begins with component {component_type:#06x} of {size} bytes")
        if version != VERSION:
            raise FramingError(f"version {version} is not spoken here, {VERSION} is", message_id=message_id)
        if not MESSAGE_HEADER.size + COMPONENT_HEADER.size < length <= self.max_message_bytes:
            raise FramingError(
                f"a message of {length} bytes; at most {self.max_message_bytes} are taken",
                message_id=message_id,
            )
        return length, message_id
