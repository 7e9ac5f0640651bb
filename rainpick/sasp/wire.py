"""Binary layout of SASP: fixed structures, and a cursor that reads them with bounds checks.

All integers are big-endian. A message consists of a header component, a message component, and the components
that the message component counts. A component begins with its type and its length, 16 bits each. The length
covers the component's own fixed part, including its type and length and excluding the components that follow
it; ``docs/sasp.md`` lists this and the other places where the RFC is ambiguous.
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
# The start of Send Weights: message header, message component with the number of groups, and the header of
# the first group of weights
SEND_WEIGHTS_HEADER = struct.Struct(">HHBIiHHHHHH")

# Smallest encoded sizes in bytes, for checking an announced number of components
MIN_MEMBER_BYTES = MEMBER.size
MIN_WEIGHT_ENTRY_BYTES = COMPONENT_HEADER.size + MEMBER.size + WEIGHT_ENTRY_TAIL.size
MIN_MEMBER_STATE_BYTES = COMPONENT_HEADER.size + MEMBER.size + MEMBER_STATE_TAIL.size
MIN_GROUP_BYTES = COMPONENT_HEADER.size + 2 * UINT8.size
MIN_GROUP_OF_BYTES = GROUP_OF_HEADER.size + MIN_GROUP_BYTES


class TextField(NamedTuple):
    """Limits of a text field in bytes, with the name and the return code for its errors."""

    name: str
    min_bytes: int
    max_bytes: int
    code: int


LB_UID = TextField("an LB UID", 1, MAX_UID_BYTES, ReturnCode.INVALID_LB_UID)
GROUP_NAME = TextField("a group name", 1, MAX_TEXT_BYTES, ReturnCode.INVALID_GROUP_NAME)
LABEL = TextField("a label", 0, MAX_TEXT_BYTES, ReturnCode.NOT_UNDERSTOOD)


class Cursor:
    """A read position in one message; each read is checked against the end of the message."""

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

    def read_uint8(self) -> int:
        """Read one byte."""
        value: int = self.unpack(UINT8)[0]
        return value

    def read_uint16(self) -> int:
        """Read a 16-bit integer."""
        value: int = self.unpack(UINT16)[0]
        return value

    def read_text(self, field: TextField) -> str:
        """Read a text, preceded by one byte with its length."""
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
        """Read the header of a component of this type; return the end of its fixed part."""
        start = self.position
        component_type, length = self.unpack(COMPONENT_HEADER)
        if component_type != expected_type:
            raise unexpected_component(component_type, expected_type)
        end: int = start + length
        return end

    def expect_end(self, end: int, description: str) -> None:
        """Raise ``SaspError`` unless the position is ``end``, computed from a component's length."""
        if self.position != end:
            raise SaspError(f"{description} says it ends at byte {end}, but does at {self.position}")

    def read_component_count(self, min_component_bytes: int) -> int:
        """Read a number of components; raise ``SaspError`` if the rest of the message cannot hold them."""
        count = self.read_uint16()
        remaining = len(self.data) - self.position
        if count * min_component_bytes > remaining:
            raise SaspError(f"{count} components are announced in {remaining} bytes")
        return count


def unexpected_component(component_type: int, expected_type: int) -> SaspError:
    """Build the error for a component of an unexpected type."""
    return SaspError(f"a component {component_type:#06x} stands where {expected_type:#06x} is wanted")
