"""The client's end of a SASP stream, without I/O: that of a member or a load balancer."""

from __future__ import annotations

from typing import NamedTuple

from rainpick.sasp.constants import REPLY_TYPES, MessageType
from rainpick.sasp.encoding import encode_message
from rainpick.sasp.errors import SaspError
from rainpick.sasp.framing import FrameReader
from rainpick.sasp.messages import REQUEST_TYPES, GetWeightsReply, Message, Reply, SendWeights


class ReceivedMessage(NamedTuple):
    """A message for a client, with the request that it answers; none for pushed weights."""

    request: Message | None
    message: Message


class ClientSession:
    """The end of a member or a load balancer: numbers its requests and pairs them with their replies."""

    def __init__(self, max_message_bytes: int = 1 << 24):
        self._reader = FrameReader(max_message_bytes)
        self._last_message_id = 0
        self._unanswered: dict[int, Message] = {}

    def encode_request(self, message: Message) -> bytes:
        """The bytes of a request, with the next message id."""
        self._last_message_id += 1
        self._unanswered[self._last_message_id] = message
        return encode_message(message, self._last_message_id)

    def receive(self, data: bytes) -> list[ReceivedMessage]:
        """What the bytes bring, in order; ``SaspError`` for anything but replies and pushed weights."""
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
        """The request that a message answers; ``SaspError`` if there is none."""
        if not isinstance(message, Reply | GetWeightsReply) or message_id not in self._unanswered:
            raise SaspError(f"{type(message).__name__} {message_id} answers no request")
        request = self._unanswered.pop(message_id)
        reply_type = message.message_type if isinstance(message, Reply) else MessageType.GET_WEIGHTS_REPLY
        if reply_type != REPLY_TYPES[REQUEST_TYPES[type(request)]]:
            raise SaspError(f"a reply {reply_type:#06x} does not answer {type(request).__name__}")
        return request
