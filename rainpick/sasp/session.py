"""The director's end of a SASP stream as a state machine without I/O (RFC 4678, section 7).

The director is the RFC's group workload manager. ``DirectorSession.receive`` takes the bytes of a member or a
load balancer and gives what they mean. ``transitions`` has the table of what is legal in which state; what an
accepted request changes is for the caller to do.
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
from rainpick.sasp.transitions import TRANSITIONS, Illegal, Rejection, SessionState, request_kind

DIRECTOR_MESSAGES = (SendWeights, Reply, GetWeightsReply)  # that only a director sends


class AcceptedRequest(NamedTuple):
    """A request that is legal; the caller carries it out and answers it with ``encode_reply``."""

    message_id: int
    message: Request


class RejectedRequest(NamedTuple):
    """A request that is not legal, or malformed; the caller writes ``reply`` and logs the reason and code."""

    reply: bytes
    reason: str
    code: int


DirectorEvent = AcceptedRequest | RejectedRequest | StreamEnded


class DirectorSession:
    """One stream as the director sees it."""

    MAX_FAULTS = 8  # consecutive malformed messages; all but the last are answered, then the stream ends

    def __init__(self, max_message_bytes: int):
        self._reader = FrameReader(max_message_bytes)
        self._faults = 0  # malformed messages since the last accepted one
        self.state = SessionState.UNIDENTIFIED
        self.uid: str | None = None  # of the load balancer, once it has sent Set LB State

    @property
    def is_member(self) -> bool:
        """Whether members have registered on this stream."""
        return self.state is SessionState.MEMBER

    def receive(self, data: bytes) -> list[DirectorEvent]:
        """What the bytes bring, in order. Nothing more comes after ``StreamEnded``."""
        self._reader.feed(data)
        events: list[DirectorEvent] = []
        while (event := self._next_event()) is not None:
            events.append(event)
            if isinstance(event, StreamEnded):
                break
        return events

    def _next_event(self) -> DirectorEvent | None:
        """The event of the next complete message; None until more bytes have come."""
        try:
            frame = self._reader.next()
        except FramingError as error:
            return self._framing_failed(error)
        except SaspError as error:
            return self._malformed(error)
        if frame is None:
            return None
        return self._handle(frame.message_id, frame.message)

    @staticmethod
    def _framing_failed(error: FramingError) -> StreamEnded:
        """End the stream. The message's type is not known: its reply is given as one to Registration."""
        reply = b""
        if error.message_id:
            message_type = error.message_type or MessageType.REGISTRATION
            reply = encode_reply(message_type, error.message_id, error.code)
        return StreamEnded(reply, str(error))

    def _malformed(self, error: SaspError) -> RejectedRequest | StreamEnded:
        """Answer a malformed message, unless it has no reply or there were too many in a row."""
        self._faults += 1
        reply = encode_reply(error.message_type, error.message_id, error.code)
        if self._faults >= self.MAX_FAULTS or not reply:
            return StreamEnded(reply, str(error))
        return RejectedRequest(reply, str(error), error.code)

    def _handle(self, message_id: int, message: Message) -> DirectorEvent:
        """Accept or reject a message by the table of transitions."""
        if isinstance(message, DIRECTOR_MESSAGES):
            return StreamEnded(b"", f"{type(message).__name__} is not for a director")
        transition = TRANSITIONS[request_kind(message)][self.state]
        if isinstance(transition, Illegal):
            return self._rejected(message_id, message, transition.rejection(message))
        rejection = transition.check(message, self.uid)
        if rejection is not None:
            return self._rejected(message_id, message, rejection)
        self._faults = 0
        self.state = transition.next_state
        if isinstance(message, SetLbState):
            self.uid = message.uid
        return AcceptedRequest(message_id, message)

    @staticmethod
    def _rejected(message_id: int, message: Request, rejection: Rejection) -> RejectedRequest:
        reply = encode_reply(REQUEST_TYPES[type(message)], message_id, rejection.code)
        return RejectedRequest(reply, rejection.reason, rejection.code)
