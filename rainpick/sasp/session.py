"""The two ends of a SASP stream as state machines without I/O.

``DirectorEnd`` serves members and proxies (the RFC's group workload manager); ``ClientEnd`` is what a member
or a load balancer holds. Bytes go in by ``receive``; what they mean comes out. Who may say what, and when, is
checked here (RFC 4678, section 7); what it does to the fleet is the core's.
"""

from __future__ import annotations

from typing import NamedTuple

from rainpick.net import Ended
from rainpick.sasp import codec
from rainpick.sasp.codec import (
    Deregistration,
    FramingError,
    GetWeights,
    GetWeightsReply,
    Registration,
    Reply,
    SaspError,
    SetLbState,
    SetMemberState,
)

REQUESTS = {
    Registration: codec.REGISTRATION,
    Deregistration: codec.DEREGISTRATION,
    GetWeights: codec.GET_WEIGHTS,
    SetLbState: codec.SET_LB_STATE,
    SetMemberState: codec.SET_MEMBER_STATE,
}


class Asked(NamedTuple):
    """A request that may be carried out; answer it with ``reply``."""

    number: int
    message: codec.Message


class Refused(NamedTuple):
    """A request that may not; ``data`` is the reply to write and ``why`` a line for the log."""

    data: bytes
    why: str
    code: int


def reply(kind: int, number: int, code: int) -> bytes:
    """The reply to a request of this type; nothing for a type that has none."""
    answer = codec.REPLY_TO.get(kind)
    if answer is None:
        return b""
    if answer == codec.GET_WEIGHTS_REPLY:
        return codec.write(GetWeightsReply(code), number)
    return codec.write(Reply(answer, code), number)


class DirectorEnd:
    """One stream as the director sees it: unknown, then a member's or a load balancer's."""

    FAULTS_MOST = 8  # malformed messages in a row that are answered before the stream is closed

    def __init__(self, frame_most: int):
        self.framer = codec.Framer(frame_most)
        self.uid: str | None = None  # set by the first Set LB State
        self.flags = 0
        self.is_member = False
        self.faults = 0

    def receive(self, data: bytes) -> list[Asked | Refused | Ended]:
        """What the bytes bring, in order. After ``Ended`` nothing more comes."""
        self.framer.feed(data)
        found: list[Asked | Refused | Ended] = []
        while True:
            try:
                step = self.framer.next()
            except FramingError as flaw:
                kind = flaw.kind or codec.REGISTRATION
                data = reply(kind, flaw.number, flaw.code) if flaw.number else b""
                found.append(Ended(data, str(flaw)))
                return found
            except SaspError as flaw:
                self.faults += 1
                answer = reply(flaw.kind, flaw.number, flaw.code)
                if self.faults >= self.FAULTS_MOST or not answer:
                    found.append(Ended(answer, str(flaw)))
                    return found
                found.append(Refused(answer, str(flaw), flaw.code))
                continue
            if step is None:
                return found
            found.append(self.check(*step))
            if isinstance(found[-1], Ended):
                return found

    def check(self, number: int, message: codec.Message) -> Asked | Refused | Ended:
        kind = REQUESTS.get(type(message))
        if kind is None:
            return Ended(b"", f"{type(message).__name__} is not for a director")
        code, why = self.allowed(message)
        if code != codec.SUCCESS:
            return Refused(reply(kind, number, code), why, code)
        self.faults = 0
        if isinstance(message, SetLbState):
            self.uid, self.flags = message.uid, message.flags
        elif isinstance(message, Registration) and not message.from_lb:
            self.is_member = True
        return Asked(number, message)

    def allowed(self, message: codec.Message) -> tuple[int, str]:
        """A return code, and why."""
        if isinstance(message, SetLbState):
            if self.is_member:
                return codec.NOT_ACCEPTED, "a member's stream can't become a load balancer's"
            if self.uid not in (None, message.uid):
                return codec.NOT_ACCEPTED, f"the stream is that of {self.uid!r}, not of {message.uid!r}"
            return codec.SUCCESS, ""
        if isinstance(message, GetWeights):
            if self.uid is None:
                return codec.UNKNOWN_LB, "Get Weights before Set LB State"
            return self.own_groups(message.groups)
        if message.from_lb:
            if self.uid is None:
                return codec.LB_NOT_SEEN, f"{type(message).__name__} of a load balancer before Set LB State"
            if isinstance(message, SetMemberState):
                return codec.NOT_ACCEPTED, "a load balancer does not set the state of members here"
            return self.own_groups([group.group for group in message.groups])
        if self.uid is not None:
            return codec.NOT_ACCEPTED, "a load balancer's stream can't speak for members"
        if not self.is_member and not isinstance(message, Registration):
            return codec.NOT_REGISTERED, f"{type(message).__name__} before any Registration"
        return self.no_doubles(message)

    def own_groups(self, groups) -> tuple[int, str]:
        if len(set(groups)) < len(groups):
            return codec.DUPLICATE_GROUP, "a group is named twice"
        for group in groups:
            if group.uid != self.uid:
                return codec.UNKNOWN_LB, f"a group of {group.uid!r} on the stream of {self.uid!r}"
        return codec.SUCCESS, ""

    @staticmethod
    def no_doubles(message) -> tuple[int, str]:
        groups = [group.group for group in message.groups]
        if len(set(groups)) < len(groups):
            return codec.DUPLICATE_GROUP, "a group is named twice"
        for group in message.groups:
            rows = group.states if isinstance(message, SetMemberState) else group.members
            members = [getattr(row, "member", row).key() for row in rows]
            if len(set(members)) < len(members):
                return codec.DUPLICATE_MEMBER, "a member is named twice"
        return codec.SUCCESS, ""


class ClientEnd:
    """A member's or a load balancer's end: numbers requests, pairs replies, hands on pushed weights."""

    def __init__(self, frame_most: int = 1 << 24):
        self.framer = codec.Framer(frame_most)
        self.numbered, self.waiting = 0, {}

    def ask(self, message: codec.Message) -> bytes:
        """The bytes of a request."""
        self.numbered += 1
        self.waiting[self.numbered] = message
        return codec.write(message, self.numbered)

    def receive(self, data: bytes) -> list[tuple[codec.Message | None, codec.Message]]:
        """Pairs of (the request it answers or None, the message); ``SaspError`` if it isn't SASP."""
        self.framer.feed(data)
        found = []
        while (step := self.framer.next()) is not None:
            number, message = step
            if isinstance(message, codec.SendWeights):
                found.append((None, message))
                continue
            if not isinstance(message, Reply | GetWeightsReply) or number not in self.waiting:
                raise SaspError(f"{type(message).__name__} {number} answers no request")
            asked = self.waiting.pop(number)
            kind = message.kind if isinstance(message, Reply) else codec.GET_WEIGHTS_REPLY
            if kind != codec.REPLY_TO[REQUESTS[type(asked)]]:
                raise SaspError(f"a reply {kind:#06x} does not answer {type(asked).__name__}")
            found.append((asked, message))
        return found
