"""Byte streams on blocking sockets, independent of the protocol that is parsed from them."""

from __future__ import annotations

from typing import NamedTuple


class StreamEnded(NamedTuple):
    """The last event of a stream: nothing more is read from it, and the owner has to close it.

    ``data``: bytes to write before the close, for example an error reply; empty if there are none.
    ``reason``: why the stream ended, for the log.
    """

    data: bytes
    reason: str
