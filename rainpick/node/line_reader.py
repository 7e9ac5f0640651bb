"""Streams of lines from the relay. Free of I/O."""

from __future__ import annotations

LINE_LIMIT = 1 << 20  # bytes


class LineReader:
    """Cuts a stream into lines; empty ones are left out."""

    def __init__(self) -> None:
        self.rest = bytearray()  # the begin of a line

    def receive(self, data: bytes) -> list[bytes]:
        """The lines that these bytes complete; ``ValueError`` if a line does not end within the limit."""
        self.rest += data
        *lines, self.rest = self.rest.split(b"\n")
        if len(self.rest) > LINE_LIMIT:
            raise ValueError(f"a line over {LINE_LIMIT} bytes")
        return [bytes(line) for line in lines if line.strip()]
