"""Parsing and encoding of the length-prefixed JSON frames on the director's address. Free of I/O.

A frame is the length of its body in four bytes, little-endian, followed by the body, a JSON object.
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
    first_characters,
    index_field,
    load_json,
)

LENGTH_SIZE = 4  # bytes
COLLECTOR_FRAME_LIMIT = 1 << 20  # bytes
VALUE_LIMIT = 1_024  # values in a message; many short ones take far more memory than their bytes
PEER_FRAME_LIMIT = 4_096  # bytes; before the peer joins, when only ``hb`` and ``telemetry`` are valid


class Heartbeat(NamedTuple):
    """The peer requested a heartbeat reply."""


class CollectorJoined(NamedTuple):
    """The peer joined as a collector of a zone."""

    zone: int


class MalformedReport(NamedTuple):
    """A message from a collector was invalid and is dropped."""

    reason: str


PeerMessage = Heartbeat | CollectorJoined | MalformedReport | LoadReport | StreamEnded


def encode_frame(message: Message) -> bytes:
    """Encode a JSON object as a frame."""
    body = json.dumps(message, separators=(",", ":")).encode()
    return len(body).to_bytes(LENGTH_SIZE, "little") + body


HEARTBEAT_REPLY = encode_frame({"t": "hb_ok"})
REPORT_PARSERS: dict[str, Callable[[Message, Vocabulary], LoadReport]] = {
    "upstream_stats": parse_server_report,
    "client_stats": parse_route_report,
}
MESSAGE_KINDS = ["hb", "telemetry", *REPORT_PARSERS]


class FrameReader:
    """Parses the stream of one peer.

    A peer that has not joined as a collector may send heartbeats or join. Any other message ends its stream
    with a ``reject``. A malformed report from a collector is dropped and does not end the stream.
    """

    def __init__(self, vocabulary: Vocabulary):
        self.vocabulary = vocabulary
        self.buffer = bytearray()
        self.zone: int | None = None  # zone of the collector; None before the peer has joined
        self.ended = False

    def receive(self, data: bytes) -> list[PeerMessage]:
        """Return the messages that these bytes complete, in order. No message follows ``StreamEnded``."""
        if self.ended:
            return []
        self.buffer += data
        messages: list[PeerMessage] = []
        while not self.ended and len(self.buffer) >= LENGTH_SIZE:
            size = int.from_bytes(self.buffer[:LENGTH_SIZE], "little")
            limit = COLLECTOR_FRAME_LIMIT if self.zone is not None else PEER_FRAME_LIMIT
            not_an_object = len(self.buffer) > LENGTH_SIZE and self.buffer[LENGTH_SIZE] != ord("{")
            if not 2 <= size <= limit or not_an_object:
                messages.append(self.end_stream(f"a message of {size} bytes, or one that is no object"))
            elif len(self.buffer) < LENGTH_SIZE + size:
                break
            else:
                body = bytes(self.buffer[LENGTH_SIZE : LENGTH_SIZE + size])
                del self.buffer[: LENGTH_SIZE + size]
                message = self.parse_body(body)
                if message is not None:
                    messages.append(message)
        return messages

    def buffered(self) -> int:
        """Return the number of bytes of the incomplete frame."""
        return len(self.buffer)

    def abandon(self, reason: str) -> list[PeerMessage]:
        """End the stream because its incomplete frame is given up."""
        return [self.end_stream(reason)]

    def end_stream(self, reason: str) -> StreamEnded:
        """End the stream. The peer is sent a ``reject``, except a collector, which is never sent one."""
        self.ended = True
        self.buffer.clear()
        return StreamEnded(encode_frame({"t": "reject", "why": reason}) if self.zone is None else b"", reason)

    def parse_body(self, body: bytes) -> PeerMessage | None:
        """Parse the body of a frame; return None if the message has no effect."""
        if max(body.count(b","), body.count(b":")) > VALUE_LIMIT:
            reason = f"over {VALUE_LIMIT} values"
            return self.end_stream(reason) if self.zone is None else MalformedReport(reason)
        try:
            message = load_json(body, parse_int=int)
        except ValueError as error:
            return self.end_stream(f"not JSON: {error}")
        kind = message.get("t")
        try:
            return self.parse_message(kind, message)
        except MalformedMessageError as error:
            if self.zone is None:
                return self.end_stream(str(error))
            return MalformedReport(f"{first_characters(kind)}: {error}")

    def parse_message(self, kind: Any, message: Message) -> PeerMessage | None:
        """Parse a message according to its kind; raise ``MalformedMessageError`` if it is invalid."""
        if kind == "hb":
            return Heartbeat()
        if kind == "telemetry":
            zone = index_field(message, "locality", self.vocabulary.zones)
            if self.zone is not None:
                return None  # the peer has already joined
            self.zone = zone
            return CollectorJoined(zone)
        if self.zone is None:
            return self.end_stream(f"{excerpt(kind)} before a joining")
        parse = REPORT_PARSERS.get(kind) if isinstance(kind, str) else None
        if parse is None:
            raise MalformedMessageError(f"t: {excerpt(kind)} is not one of {MESSAGE_KINDS}")
        return parse(message, self.vocabulary)
