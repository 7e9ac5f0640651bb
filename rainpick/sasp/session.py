"""The director's side of a SASP stream as a state machine without I/O (RFC 4678, section 7).

The director is the RFC's group workload manager. ``DirectorSession.receive`` turns the bytes of a member or a
load balancer into events. ``transitions`` has the table of requests that are legal in each state. The caller
carries out accepted requests.
"""

from __future__ import annotations

from typing import NamedTuple

from rainpick.net import StreamEnded
from rainpick.sasp.constants import MessageType
from rainpick.sasp.encoding import encode_reply
from rainpick.sasp.errors import FramingError, SaspError
from rainpick.sasp.framing import FrameReader
from rainpick.sasp.messages import (
    REQUEST_TYPES,
    GetWeightsReply,
    Message,
    Reply,
    Request,
    SendWeights,
    SetLbState,
)
from rainpick.sasp.transitions import TRANSITIONS, IllegalTransition, Rejection, SessionState, request_kind

DIRECTOR_MESSAGES = (SendWeights, Reply, GetWeightsReply)  # sent only by a director


class AcceptedRequest(NamedTuple):
    """A legal request; the caller carries it out and replies with ``encode_reply``."""

    message_id: int
    message: Request


class RejectedRequest(NamedTuple):
    """An illegal or malformed request; the caller sends ``reply`` and logs the reason and the code."""

    reply: bytes
    reason: str
    code: int


DirectorEvent = AcceptedRequest | RejectedRequest | StreamEnded


class DirectorSession:
    """The state of one stream on the director's side."""

    # The stream is ended after this number of malformed messages without an accepted request in between.
    MAX_MALFORMED_MESSAGES = 8

    def __init__(self, max_message_bytes: int):
        self._reader = FrameReader(max_message_bytes)
        self._malformed_messages = 0  # malformed messages since the last accepted request
        self.state = SessionState.UNIDENTIFIED
        self.uid: str | None = None  # UID of the load balancer, set by its first Set LB State

    @property
    def is_member(self) -> bool:
        """Whether members have registered on this stream."""
        return self.state is SessionState.MEMBER

    def receive(self, data: bytes) -> list[DirectorEvent]:
        """Return the events of the messages completed by ``data``, in order; ``StreamEnded`` is the last."""
        self._reader.feed(data)
        events: list[DirectorEvent] = []
        while (event := self._next_event()) is not None:
            events.append(event)
            if isinstance(event, StreamEnded):
                break
        return events

    def buffered(self) -> int:
        """Return the number of bytes of the incomplete message."""
        return len(self._reader.buffer)

    def abandon(self, reason: str) -> list[DirectorEvent]:
        """End the stream because its incomplete message is given up, with a reply if its header is known."""
        return [self._end_after_framing_error(self._reader.abandoned(reason))]

    def _next_event(self) -> DirectorEvent | None:
        """Return the event of the next message; None until all its bytes have been received."""
        try:
            frame = self._reader.next()
        except FramingError as error:
            return self._end_after_framing_error(error)
        except SaspError as error:
            return self._reject_malformed(error)
        if frame is None:
            return None
        return self._handle(frame.message_id, frame.message)

    @staticmethod
    def _end_after_framing_error(error: FramingError) -> StreamEnded:
        """End the stream, with a reply if the message id is known.

        If the type of the message is unknown, the reply is one to Registration.
        """
        reply = b""
        if error.message_id:
            message_type = error.message_type or MessageType.REGISTRATION
            reply = encode_reply(message_type, error.message_id, error.code)
        return StreamEnded(reply, str(error))

    def _reject_malformed(self, error: SaspError) -> RejectedRequest | StreamEnded:
        """Reject a malformed message; end the stream if its type has no reply or the limit is reached."""
        self._malformed_messages += 1
        reply = encode_reply(error.message_type, error.message_id, error.code)
        if self._malformed_messages >= self.MAX_MALFORMED_MESSAGES or not reply:
            return StreamEnded(reply, str(error))
        return RejectedRequest(reply, str(error), error.code)

    def _handle(self, message_id: int, message: Message) -> DirectorEvent:
        """Accept or reject a message according to the table of transitions."""
        if isinstance(message, DIRECTOR_MESSAGES):
            return StreamEnded(b"", f"{type(message).__name__} is not for a director")
        transition = TRANSITIONS[request_kind(message)][self.state]
        if isinstance(transition, IllegalTransition):
            return self._reject(message_id, message, transition.rejection(message))
        rejection = transition.check(message, self.uid)
        if rejection is not None:
            return self._reject(message_id, message, rejection)
        self._malformed_messages = 0
        self.state = transition.next_state
        if isinstance(message, SetLbState):
            self.uid = message.uid
        return AcceptedRequest(message_id, message)

    @staticmethod
    def _reject(message_id: int, message: Request, rejection: Rejection) -> RejectedRequest:
        reply = encode_reply(REQUEST_TYPES[type(message)], message_id, rejection.code)
        return RejectedRequest(reply, rejection.reason, rejection.code)
