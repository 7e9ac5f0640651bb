"""Streams to the director's address: frames of JSON, cut and read. Free of I/O.

A frame is a length of four bytes, least significant first, and a JSON object of that many bytes.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from rainpick.net import StreamEnded
from rainpick.node.configuration import Vocabulary
from rainpick.node.load_report_parsing import LoadReport, parse_route_report, parse_server_report
from rainpick.node.message_fields import (
    MalformedMessageError,
    Message,
    excerpt,
    index_field,
    load_json,
)

LENGTH_SIZE = 4
COLLECTOR_FRAME_LIMIT = 1 << 20
PEER_FRAME_LIMIT = 4_096  # for a peer that is not a collector (yet): a heartbeat or its ``telemetry``


class Heartbeat(NamedTuple):
    """The peer asked for a heartbeat."""


class CollectorJoined(NamedTuple):
    """The peer is the collector of a zone."""

    zone: int


class MalformedReport(NamedTuple):
    """One message of a collector was dropped."""

    reason: str


PeerMessage = Heartbeat | CollectorJoined | MalformedReport | LoadReport | StreamEnded


def encode_frame(message: Message) -> bytes:
    """A frame with this JSON object."""
    body = json.dumps(message, separators=(",", ":")).encode()
    return len(body).to_bytes(LENGTH_SIZE, "little") + body


HEARTBEAT_ANSWER = encode_frame({"t": "hb_ok"})
REPORT_PARSERS: dict[str, Callable[[Message, Vocabulary], LoadReport]] = {
    "upstream_stats": parse_server_report,
    "client_stats": parse_route_report,
}
MESSAGE_KINDS = ["hb", "telemetry", *REPORT_PARSERS]


class FrameReader:
    """Reads the stream of one peer.

    A peer that has not joined as a collector may ask for heartbeats or join. Anything else ends its stream
    with a ``reject``. A collector's malformed report costs that report alone.
    """

    def __init__(self, vocabulary: Vocabulary):
        self.vocabulary = vocabulary
        self.buffer = bytearray()
        self.zone: int | None = None  # of a collector
        self.ended = False

    def receive(self, data: bytes) -> list[PeerMessage]:
        """The messages that these bytes complete, in order. ``StreamEnded`` is the last one ever."""
        if self.ended:
            return []
        self.buffer += data
        messages: list[PeerMessage] = []
        while not self.ended and len(self.buffer) >= LENGTH_SIZE:
            size = int.from_bytes(self.buffer[:LENGTH_SIZE], "little")
            limit = COLLECTOR_FRAME_LIMIT if self.zone is not None else PEER_FRAME_LIMIT
            first_byte_wrong = len(self.buffer) > LENGTH_SIZE and self.buffer[LENGTH_SIZE] != ord("{")
            if not 2 <= size <= limit or first_byte_wrong:
                messages.append(self.end(f"a message of {size} bytes, or one that is no object"))
            elif len(self.buffer) < LENGTH_SIZE + size:
                break
            else:
                body = bytes(self.buffer[LENGTH_SIZE : LENGTH_SIZE + size])
                del self.buffer[: LENGTH_SIZE + size]
                message = self.read(body)
                if message is not None:
                    messages.append(message)
        return messages

    def end(self, reason: str) -> StreamEnded:
        """End the stream; nothing is ever written to a collector."""
        self.ended = True
        self.buffer.clear()
        return StreamEnded(encode_frame({"t": "reject", "why": reason}) if self.zone is None else b"", reason)

    def read(self, body: bytes) -> PeerMessage | None:
        """The message in a frame's body; None if it says nothing new."""
        try:
            message = load_json(body)
        except ValueError as error:
            return self.end(f"not JSON: {error}")
        kind = message.get("t")
        try:
            return self.interpret(kind, message)
        except MalformedMessageError as error:
            if self.zone is None:
                return self.end(str(error))
            return MalformedReport(f"{str(kind)[:40]}: {error}")

    def interpret(self, kind: Any, message: Message) -> PeerMessage | None:
        """The message by its kind; ``MalformedMessageError`` if it is unusable."""
        if kind == "hb":
            return Heartbeat()
        if kind == "telemetry":
            zone = index_field(message, "locality", self.vocabulary.zones)
            if self.zone is not None:
                return None  # it has joined already
            self.zone = zone
            return CollectorJoined(zone)
        if self.zone is None:
            return self.end(f"{excerpt(kind)} before a joining")
        parse = REPORT_PARSERS.get(kind) if isinstance(kind, str) else None
        if parse is None:
            raise MalformedMessageError(f"t: {excerpt(kind)} is not one of {MESSAGE_KINDS}")
        return parse(message, self.vocabulary)
