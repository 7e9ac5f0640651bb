"""Which requests are legal in which state of a director's stream (RFC 4678, section 7).

A stream is that of members or of one load balancer. Its first accepted request decides which, so that no
load balancer can change what members say of themselves.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import IntEnum, auto
from typing import NamedTuple

from rainpick.sasp.constants import ReturnCode
from rainpick.sasp.messages import (
    Deregistration,
    GetWeights,
    Group,
    Registration,
    Request,
    SetLbState,
    SetMemberState,
)


class SessionState(IntEnum):
    """Whose stream it is; the first accepted request decides, and it stays so."""

    UNIDENTIFIED = auto()
    MEMBER = auto()
    LOAD_BALANCER = auto()


class RequestKind(IntEnum):
    """Requests that are legal in the same states."""

    SET_LB_STATE = auto()
    GET_WEIGHTS = auto()
    LB_REGISTRATION = auto()  # Registration or Deregistration, from a load balancer
    LB_MEMBER_STATE = auto()
    MEMBER_REGISTRATION = auto()
    MEMBER_UPDATE = auto()  # Deregistration or Set Member State, from members


LB_REQUESTS = (SetLbState, GetWeights)  # that only a load balancer sends

# By the class of the request and whether a load balancer sends it
REQUEST_KINDS: dict[tuple[type[Request], bool], RequestKind] = {
    (SetLbState, True): RequestKind.SET_LB_STATE,
    (GetWeights, True): RequestKind.GET_WEIGHTS,
    (Registration, True): RequestKind.LB_REGISTRATION,
    (Deregistration, True): RequestKind.LB_REGISTRATION,
    (SetMemberState, True): RequestKind.LB_MEMBER_STATE,
    (Registration, False): RequestKind.MEMBER_REGISTRATION,
    (Deregistration, False): RequestKind.MEMBER_UPDATE,
    (SetMemberState, False): RequestKind.MEMBER_UPDATE,
}


def request_kind(message: Request) -> RequestKind:
    """The kind of a request; Set LB State and Get Weights always come from a load balancer."""
    from_lb = isinstance(message, LB_REQUESTS) or message.from_lb
    return REQUEST_KINDS[type(message), from_lb]


class Rejection(NamedTuple):
    """Why a request is not accepted: the return code, and a reason for the log."""

    code: ReturnCode
    reason: str


class Illegal(NamedTuple):
    """A request that is not legal in a state; ``{request}`` in the reason stands for the message's name."""

    code: ReturnCode
    reason: str

    def rejection(self, message: Request) -> Rejection:
        """The rejection of one message."""
        return Rejection(self.code, self.reason.replace("{request}", type(message).__name__))


class Transition(NamedTuple):
    """A request that is legal in a state: the next state, and the check of what it carries.

    The check gets the message and the UID of the stream's load balancer, if it has one.
    """

    next_state: SessionState
    check: Callable[[Request, str | None], Rejection | None]


def _check_load_balancer(message: Request, uid: str | None) -> Rejection | None:
    """A stream belongs to one load balancer: another UID needs a stream of its own."""
    if isinstance(message, SetLbState) and uid not in (None, message.uid):
        return Rejection(ReturnCode.NOT_ACCEPTED, f"the stream is that of {uid!r}, not of {message.uid!r}")
    return None


def _check_own_groups(message: Request, uid: str | None) -> Rejection | None:
    """A load balancer names groups of its own UID, each once."""
    groups = _groups(message)
    if len(set(groups)) < len(groups):
        return Rejection(ReturnCode.DUPLICATE_GROUP, "a group is named twice")
    for group in groups:
        if group.uid != uid:
            return Rejection(ReturnCode.UNKNOWN_LB, f"a group of {group.uid!r} on the stream of {uid!r}")
    return None


def _check_duplicates(message: Request, _uid: str | None) -> Rejection | None:
    """Members name each group once, and in it each member once."""
    groups = _groups(message)
    if len(set(groups)) < len(groups):
        return Rejection(ReturnCode.DUPLICATE_GROUP, "a group is named twice")
    for keys in _member_keys(message):
        if len(set(keys)) < len(keys):
            return Rejection(ReturnCode.DUPLICATE_MEMBER, "a member is named twice")
    return None


def _groups(message: Request) -> Sequence[Group]:
    """The groups that a request names."""
    if isinstance(message, SetLbState):
        return ()
    if isinstance(message, GetWeights):
        return message.groups
    return [group.group for group in message.groups]


def _member_keys(message: Request) -> list[list[tuple[str, int]]]:
    """Host and port of the members that a request names, by group."""
    if isinstance(message, SetMemberState):
        return [[state.member.key() for state in group.states] for group in message.groups]
    if isinstance(message, Registration | Deregistration):
        return [[member.key() for member in group.members] for group in message.groups]
    return []


_NOT_SEEN = Illegal(ReturnCode.LB_NOT_SEEN, "{request} of a load balancer before Set LB State")
_NO_POLL = Illegal(ReturnCode.UNKNOWN_LB, "Get Weights before Set LB State")
_NOT_FOR_MEMBERS = Illegal(ReturnCode.NOT_ACCEPTED, "a load balancer's stream can't speak for members")

TRANSITIONS: dict[RequestKind, dict[SessionState, Transition | Illegal]] = {
    RequestKind.SET_LB_STATE: {
        SessionState.UNIDENTIFIED: Transition(SessionState.LOAD_BALANCER, _check_load_balancer),
        SessionState.MEMBER: Illegal(
            ReturnCode.NOT_ACCEPTED, "a member's stream can't become a load balancer's"
        ),
        SessionState.LOAD_BALANCER: Transition(SessionState.LOAD_BALANCER, _check_load_balancer),
    },
    RequestKind.GET_WEIGHTS: {
        SessionState.UNIDENTIFIED: _NO_POLL,
        SessionState.MEMBER: _NO_POLL,
        SessionState.LOAD_BALANCER: Transition(SessionState.LOAD_BALANCER, _check_own_groups),
    },
    RequestKind.LB_REGISTRATION: {
        SessionState.UNIDENTIFIED: _NOT_SEEN,
        SessionState.MEMBER: _NOT_SEEN,
        SessionState.LOAD_BALANCER: Transition(SessionState.LOAD_BALANCER, _check_own_groups),
    },
    RequestKind.LB_MEMBER_STATE: {
        SessionState.UNIDENTIFIED: _NOT_SEEN,
        SessionState.MEMBER: _NOT_SEEN,
        SessionState.LOAD_BALANCER: Illegal(
            ReturnCode.NOT_ACCEPTED, "a load balancer does not set the state of members here"
        ),
    },
    RequestKind.MEMBER_REGISTRATION: {
        SessionState.UNIDENTIFIED: Transition(SessionState.MEMBER, _check_duplicates),
        SessionState.MEMBER: Transition(SessionState.MEMBER, _check_duplicates),
        SessionState.LOAD_BALANCER: _NOT_FOR_MEMBERS,
    },
    RequestKind.MEMBER_UPDATE: {
        SessionState.UNIDENTIFIED: Illegal(ReturnCode.NOT_REGISTERED, "{request} before any Registration"),
        SessionState.MEMBER: Transition(SessionState.MEMBER, _check_duplicates),
        SessionState.LOAD_BALANCER: _NOT_FOR_MEMBERS,
    },
}
