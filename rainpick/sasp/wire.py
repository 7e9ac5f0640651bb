"""Binary layout of SASP: the fixed structures, and a cursor that reads them with bounds checks.

Everything is big-endian. A message is a header component, then a message component, then the components that
it counts. A component begins with its type and its length, 16 bits each. The length is that of the
component's own fixed part, including its type and length and excluding the components that follow it;
``docs/sasp.md`` lists this and the other places where the RFC can be read in several ways.
"""

from __future__ import annotations

import struct
from typing import Any, NamedTuple

from rainpick.sasp.constants import MAX_TEXT_BYTES, MAX_UID_BYTES, ReturnCode
from rainpick.sasp.errors import SaspError

MESSAGE_HEADER = struct.Struct(">HHBIi")  # type, length, version, length of the message, message id
COMPONENT_HEADER = struct.Struct(">HH")  # type, length
MEMBER = struct.Struct(">HHBH16sB")  # type, length, protocol, port, address, length of the label
UINT8 = struct.Struct(">B")
UINT16 = struct.Struct(">H")
WEIGHT_ENTRY_TAIL = struct.Struct(">BBH")  # opaque state, flags, weight
MEMBER_STATE_TAIL = struct.Struct(">BB")  # opaque state, flags
GROUP_OF_HEADER = struct.Struct(">HHH")  # type, length, number of components
# Header, message component with the number of its groups, header of a group of weights
SEND_WEIGHTS_HEADER = struct.Struct(">HHBIiHHHHHH")

# Smallest encodings, by which an announced number of components is checked
MIN_MEMBER = MEMBER.size
MIN_WEIGHT_ENTRY = COMPONENT_HEADER.size + MEMBER.size + WEIGHT_ENTRY_TAIL.size
MIN_MEMBER_STATE = COMPONENT_HEADER.size + MEMBER.size + MEMBER_STATE_TAIL.size
MIN_GROUP = COMPONENT_HEADER.size + 2 * UINT8.size
MIN_GROUP_OF = GROUP_OF_HEADER.size + MIN_GROUP


class TextField(NamedTuple):
    """What a text may be: its length in bytes, and name and return code of a violation."""

    name: str
    min_bytes: int
    max_bytes: int
    code: int


LB_UID = TextField("an LB UID", 1, MAX_UID_BYTES, ReturnCode.INVALID_LB_UID)
GROUP_NAME = TextField("a group name", 1, MAX_TEXT_BYTES, ReturnCode.INVALID_GROUP_NAME)
LABEL = TextField("a label", 0, MAX_TEXT_BYTES, ReturnCode.NOT_UNDERSTOOD)


class Cursor:
    """Position in one message; every read is checked against the end of the message."""

    def __init__(self, data: bytes, position: int):
        self.data = data
        self.position = position

    def unpack(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Read the fields of a fixed structure."""
        try:
            fields = layout.unpack_from(self.data, self.position)
        except struct.error:
            raise SaspError(f"a field runs past the end of its message at byte {self.position}") from None
        self.position += layout.size
        return fields

    def uint8(self) -> int:
        """Read one byte."""
        value: int = self.unpack(UINT8)[0]
        return value

    def uint16(self) -> int:
        """Read a number of 16 bits."""
        value: int = self.unpack(UINT16)[0]
        return value

    def text(self, field: TextField) -> str:
        """Read a text with its length, one byte, before it."""
        (length,) = self.unpack(UINT8)
        if not field.min_bytes <= length <= field.max_bytes:
            raise SaspError(
                f"{field.name} of {length} bytes, {field.min_bytes} to {field.max_bytes} are allowed",
                field.code,
            )
        start, end = self.position, self.position + length
        if end > len(self.data):
            raise SaspError(f"{field.name} runs past the end of its message")
        self.position = end
        try:
            return self.data[start:end].decode()
        except UnicodeDecodeError:
            raise SaspError(f"{field.name} is not UTF-8") from None

    def enter_component(self, expected_type: int) -> int:
        """Read the header of a component of this type; the position where its own fixed part ends."""
        start = self.position
        component_type, length = self.unpack(COMPONENT_HEADER)
        if component_type != expected_type:
            raise unexpected_component(component_type, expected_type)
        end: int = start + length
        return end

    def expect_end(self, end: int, description: str) -> None:
        """Check that a component's length is the true one."""
        if self.position != end:
            raise SaspError(f"{description} says it ends at byte {end}, but does at {self.position}")

    def component_count(self, min_size: int) -> int:
        """Read how many components follow: never more than the rest of the message could hold."""
        count = self.uint16()
        remaining = len(self.data) - self.position
        if count * min_size > remaining:
            raise SaspError(f"{count} components are announced in {remaining} bytes")
        return count


def unexpected_component(component_type: int, expected_type: int) -> SaspError:
    """The error of a component of another type than the expected one."""
    return SaspError(f"a component {component_type:#06x} stands where {expected_type:#06x} is wanted")
