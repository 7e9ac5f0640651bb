"""The client side of a SASP stream, for members and load balancers, without I/O."""

from __future__ import annotations

from typing import NamedTuple

from rainpick.sasp.constants import REPLY_TYPES, MessageType
from rainpick.sasp.encoding import encode_message
from rainpick.sasp.errors import SaspError
from rainpick.sasp.framing import FrameReader
from rainpick.sasp.messages import REQUEST_TYPES, GetWeightsReply, Message, Reply, SendWeights


class ReceivedMessage(NamedTuple):
    """A message received by a client. ``request`` is the request that it answers, None for pushed weights."""

    request: Message | None
    message: Message


class ClientSession:
    """State of a member's or load balancer's stream: numbers requests and matches replies to them."""

    def __init__(self, max_message_bytes: int = 1 << 24):
        self._reader = FrameReader(max_message_bytes)
        self._last_message_id = 0
        self._unanswered: dict[int, Message] = {}

    def encode_request(self, message: Message) -> bytes:
        """Encode a request with the next message id."""
        self._last_message_id += 1
        self._unanswered[self._last_message_id] = message
        return encode_message(message, self._last_message_id)

    def receive(self, data: bytes) -> list[ReceivedMessage]:
        """Decode the messages that ``data`` completes, in order.

        Raises ``SaspError`` for any message other than a reply to a request or pushed weights.
        """
        self._reader.feed(data)
        received: list[ReceivedMessage] = []
        while (frame := self._reader.next()) is not None:
            message_id, message = frame
            if isinstance(message, SendWeights):
                received.append(ReceivedMessage(None, message))
            else:
                received.append(ReceivedMessage(self._answered_request(message_id, message), message))
        return received

    def _answered_request(self, message_id: int, message: Message) -> Message:
        """Remove and return the request that a message answers; raise ``SaspError`` if there is none."""
        if not isinstance(message, Reply | GetWeightsReply) or message_id not in self._unanswered:
            raise SaspError(f"{type(message).__name__} {message_id} answers no request")
        request = self._unanswered.pop(message_id)
        reply_type = message.message_type if isinstance(message, Reply) else MessageType.GET_WEIGHTS_REPLY
        if reply_type != REPLY_TYPES[REQUEST_TYPES[type(request)]]:
            raise SaspError(f"a reply {reply_type:#06x} does not answer {type(request).__name__}")
        return request
