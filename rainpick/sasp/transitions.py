"""The table of requests that are legal in each state of a director's stream (RFC 4678, section 7).

A stream belongs to members or to one load balancer; its first accepted request decides which. A load balancer
therefore cannot change the registrations and states that members report.
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
    """The kind of client at the other end of a stream, which the first accepted request determines."""

    UNIDENTIFIED = auto()
    MEMBER = auto()
    LOAD_BALANCER = auto()


class RequestKind(IntEnum):
    """Kind of a request: all requests of a kind are legal in the same states."""

    SET_LB_STATE = auto()
    GET_WEIGHTS = auto()
    LB_REGISTRATION = auto()  # Registration or Deregistration, from a load balancer
    LB_MEMBER_STATE = auto()
    MEMBER_REGISTRATION = auto()
    MEMBER_UPDATE = auto()  # Deregistration or Set Member State, from members


LB_REQUESTS = (SetLbState, GetWeights)  # sent only by load balancers

# Kind by class of the request and whether a load balancer sends it
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
    """Return the kind of a request; only load balancers send Set LB State and Get Weights."""
    from_lb = isinstance(message, LB_REQUESTS) or message.from_lb
    return REQUEST_KINDS[type(message), from_lb]


class Rejection(NamedTuple):
    """The return code of a rejected request, and the reason for the log."""

    code: ReturnCode
    reason: str


class IllegalTransition(NamedTuple):
    """An illegal request in a state; ``{request}`` in the reason is replaced by the message's name."""

    code: ReturnCode
    reason: str

    def rejection(self, message: Request) -> Rejection:
        """Build the rejection of a message from the code and the reason."""
        return Rejection(self.code, self.reason.replace("{request}", type(message).__name__))


class Transition(NamedTuple):
    """A legal request in a state: the next state, and a check of the request's content.

    ``check`` receives the message and the UID of the stream's load balancer, None if there is no UID yet. It
    returns None if the content is valid.
    """

    next_state: SessionState
    check: Callable[[Request, str | None], Rejection | None]


def _check_load_balancer(message: Request, uid: str | None) -> Rejection | None:
    """Reject Set LB State with another UID than before: a stream belongs to one load balancer."""
    if isinstance(message, SetLbState) and uid not in (None, message.uid):
        return Rejection(ReturnCode.NOT_ACCEPTED, f"the stream belongs to {uid!r}, not to {message.uid!r}")
    return None


def _check_own_groups(message: Request, uid: str | None) -> Rejection | None:
    """Reject groups that are repeated or have another UID than the stream's load balancer."""
    groups = _groups(message)
    if len(set(groups)) < len(groups):
        return Rejection(ReturnCode.DUPLICATE_GROUP, "a group occurs twice in the request")
    for group in groups:
        if group.uid != uid:
            return Rejection(
                ReturnCode.UNKNOWN_LB, f"a group of LB UID {group.uid!r} on the stream of {uid!r}"
            )
    return None


def _check_duplicates(message: Request, _uid: str | None) -> Rejection | None:
    """Reject repeated groups, and repeated members within a group."""
    groups = _groups(message)
    if len(set(groups)) < len(groups):
        return Rejection(ReturnCode.DUPLICATE_GROUP, "a group occurs twice in the request")
    for keys in _member_keys(message):
        if len(set(keys)) < len(keys):
            return Rejection(ReturnCode.DUPLICATE_MEMBER, "a member occurs twice in its group")
    return None


def _groups(message: Request) -> Sequence[Group]:
    """Return the groups in a request; Set LB State has none."""
    if isinstance(message, SetLbState):
        return ()
    if isinstance(message, GetWeights):
        return message.groups
    return [group.group for group in message.groups]


def _member_keys(message: Request) -> list[list[tuple[str, int]]]:
    """Return, for each group in a request, the host and port of its members."""
    if isinstance(message, SetMemberState):
        return [[state.member.key() for state in group.states] for group in message.groups]
    if isinstance(message, Registration | Deregistration):
        return [[member.key() for member in group.members] for group in message.groups]
    return []


_LB_NOT_SEEN = IllegalTransition(ReturnCode.LB_NOT_SEEN, "{request} from a load balancer before Set LB State")
_POLL_BY_UNKNOWN_LB = IllegalTransition(ReturnCode.UNKNOWN_LB, "Get Weights before Set LB State")
_MEMBER_REQUEST_FROM_LB = IllegalTransition(
    ReturnCode.NOT_ACCEPTED, "{request} from members on a load balancer's stream"
)

TRANSITIONS: dict[RequestKind, dict[SessionState, Transition | IllegalTransition]] = {
    RequestKind.SET_LB_STATE: {
        SessionState.UNIDENTIFIED: Transition(SessionState.LOAD_BALANCER, _check_load_balancer),
        SessionState.MEMBER: IllegalTransition(ReturnCode.NOT_ACCEPTED, "Set LB State on a member's stream"),
        SessionState.LOAD_BALANCER: Transition(SessionState.LOAD_BALANCER, _check_load_balancer),
    },
    RequestKind.GET_WEIGHTS: {
        SessionState.UNIDENTIFIED: _POLL_BY_UNKNOWN_LB,
        SessionState.MEMBER: _POLL_BY_UNKNOWN_LB,
        SessionState.LOAD_BALANCER: Transition(SessionState.LOAD_BALANCER, _check_own_groups),
    },
    RequestKind.LB_REGISTRATION: {
        SessionState.UNIDENTIFIED: _LB_NOT_SEEN,
        SessionState.MEMBER: _LB_NOT_SEEN,
        SessionState.LOAD_BALANCER: Transition(SessionState.LOAD_BALANCER, _check_own_groups),
    },
    RequestKind.LB_MEMBER_STATE: {
        SessionState.UNIDENTIFIED: _LB_NOT_SEEN,
        SessionState.MEMBER: _LB_NOT_SEEN,
        SessionState.LOAD_BALANCER: IllegalTransition(
            ReturnCode.NOT_ACCEPTED, "Set Member State from a load balancer is not supported"
        ),
    },
    RequestKind.MEMBER_REGISTRATION: {
        SessionState.UNIDENTIFIED: Transition(SessionState.MEMBER, _check_duplicates),
        SessionState.MEMBER: Transition(SessionState.MEMBER, _check_duplicates),
        SessionState.LOAD_BALANCER: _MEMBER_REQUEST_FROM_LB,
    },
    RequestKind.MEMBER_UPDATE: {
        SessionState.UNIDENTIFIED: IllegalTransition(
            ReturnCode.NOT_REGISTERED, "{request} before any Registration"
        ),
        SessionState.MEMBER: Transition(SessionState.MEMBER, _check_duplicates),
        SessionState.LOAD_BALANCER: _MEMBER_REQUEST_FROM_LB,
    },
}
