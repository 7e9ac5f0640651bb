"""Splitting of the relay's byte stream into lines. Free of I/O."""

from __future__ import annotations

LINE_LIMIT = 1 << 20  # bytes


class LineReader:
    """Splits a byte stream into lines and skips blank lines."""

    def __init__(self) -> None:
        self.incomplete = bytearray()  # the received part of the current line

    def receive(self, data: bytes) -> list[bytes]:
        """Return the lines that these bytes complete; ``ValueError`` if a line exceeds ``LINE_LIMIT``."""
        self.incomplete += data
        *lines, self.incomplete = self.incomplete.split(b"\n")
        if len(self.incomplete) > LINE_LIMIT:
            raise ValueError(f"line exceeds {LINE_LIMIT} bytes")
        return [bytes(line) for line in lines if line.strip()]
