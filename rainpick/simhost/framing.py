"""The simulator's framing: each batch of event records is answered by one reply.

All integers are big-endian. The header of a batch holds its length in bytes, header included, its number of
records and the virtual time in microseconds; the header of a reply holds its length and number of records.
"""

from __future__ import annotations

from collections.abc import Sequence
from struct import Struct, error
from typing import Any, BinaryIO

BATCH_HEADER = Struct(">IIQ")
REPLY_HEADER = Struct(">II")
MAX_BATCH_BYTES = 1 << 30

COUNT_BYTE = Struct(">B")
FLOAT_ARRAYS = [Struct(f">{count}f") for count in range(256)]  # indexed by the number of values


class MalformedError(Exception):
    """The input violates the protocol."""


class Batch:
    """A batch and the read position in its body; ``now`` is the virtual time in microseconds."""

    def __init__(self, body: bytes, record_count: int, now: int):
        self.body, self.record_count, self.now = body, record_count, now
        self.position = 0

    def unpack(self, layout: Struct) -> tuple[Any, ...]:
        """Read the fields of a layout at the current position."""
        try:
            fields = layout.unpack_from(self.body, self.position)
        except error:
            raise MalformedError(f"a record runs past the end of its frame at {self.position}") from None
        self.position += layout.size
        return fields

    def read_bytes(self, length: int) -> bytes:
        """Read a field of ``length`` bytes."""
        if self.position + length > len(self.body):
            raise MalformedError(f"a field of {length} bytes runs past the end of its frame")
        self.position += length
        return self.body[self.position - length : self.position]

    def read_floats(self) -> tuple[float, ...]:
        """Read an array of 32-bit floats, which is preceded by one byte with its length."""
        (count,) = self.unpack(COUNT_BYTE)
        return self.unpack(FLOAT_ARRAYS[count])

    def require_end(self) -> None:
        """Raise ``MalformedError`` if bytes are left after the last record."""
        if self.position != len(self.body):
            raise MalformedError(
                f"{len(self.body) - self.position} bytes are left over after the last record"
            )


def read_batch(stream: BinaryIO) -> Batch | None:
    """Read one batch; return None at the end of the input."""
    header = stream.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise MalformedError(f"the input ends after {len(header)} bytes of a header")
    size, record_count, now = BATCH_HEADER.unpack(header)
    if not BATCH_HEADER.size <= size <= MAX_BATCH_BYTES:
        raise MalformedError(f"a frame cannot be {size} bytes long")
    body_size = size - BATCH_HEADER.size
    body = stream.read(body_size)
    if len(body) < body_size:
        raise MalformedError(f"the input ends {body_size - len(body)} bytes short of a frame")
    return Batch(body, record_count, now)


def encode_reply(records: Sequence[bytes]) -> bytes:
    """Encode the reply to one batch from its records."""
    body = b"".join(records)
    return REPLY_HEADER.pack(REPLY_HEADER.size + len(body), len(records)) + body
