"""Byte streams over blocking sockets, independent of the protocol that they carry."""

from __future__ import annotations

from typing import NamedTuple


class StreamEnded(NamedTuple):
    """The last event of a stream: reading has stopped and the owner must close the stream.

    ``data``: bytes to write before closing, such as an error reply; may be empty.
    ``reason``: the cause, for the log.
    """

    data: bytes
    reason: str
