"""Types for the components and messages of SASP (RFC 4678, sections 5 and 6)."""

from __future__ import annotations

from typing import NamedTuple

from rainpick.sasp import constants
from rainpick.sasp.addresses import IPAddress, pack_address, unpack_address
from rainpick.sasp.constants import MessageType

# Types of the components of messages


class Member(NamedTuple):
    """A server. ``address`` has 16 bytes, IPv4 mapped into IPv6; ``protocol`` is an IP protocol number."""

    address: bytes
    port: int
    label: str = ""
    protocol: int = constants.TCP

    @classmethod
    def at(cls, host: str, port: int, label: str = "") -> Member:
        """Create a TCP member from a textual IP address."""
        return cls(pack_address(host), port, label)

    def host(self) -> IPAddress:
        """Return the decoded IP address."""
        return unpack_address(self.address)

    def key(self) -> tuple[str, int]:
        """Return host and port, which identify a member."""
        return str(self.host()), self.port


class Group(NamedTuple):
    """A group, identified by the load balancer's UID and a name."""

    uid: str
    name: str


class WeightEntry(NamedTuple):
    """A member with its weight; ``state`` is opaque to the protocol."""

    member: Member
    weight: int
    flags: int = constants.CONTACT | constants.CONFIDENT
    state: int = 0


class MemberState(NamedTuple):
    """A member with its state, opaque to the protocol; with ``quiesce`` the member gets no new work."""

    member: Member
    state: int = 0
    quiesce: bool = False


class MemberGroup(NamedTuple):
    """A group with some of its members."""

    group: Group
    members: tuple[Member, ...] = ()


class WeightGroup(NamedTuple):
    """A group with the weight entries of its members."""

    group: Group
    entries: tuple[WeightEntry, ...] = ()


class StateGroup(NamedTuple):
    """A group with the states of its members."""

    group: Group
    states: tuple[MemberState, ...] = ()


# Types of messages


class Registration(NamedTuple):
    """Request to register members; a load balancer sends it for the members that it knows."""

    groups: tuple[MemberGroup, ...]
    from_lb: bool = False


class Deregistration(NamedTuple):
    """Request to deregister members; a group without members represents all members of the group."""

    groups: tuple[MemberGroup, ...]
    from_lb: bool = False
    reason: int = 0


class GetWeights(NamedTuple):
    """Request of a load balancer for the weights of its groups."""

    groups: tuple[Group, ...] = ()


class SendWeights(NamedTuple):
    """Weights that the director pushes to a load balancer, which does not reply."""

    groups: tuple[WeightGroup, ...]


class SetLbState(NamedTuple):
    """Request that identifies a load balancer and sets its health and its flags, such as ``PUSH``."""

    uid: str
    health: int = 0x7F
    flags: int = constants.PUSH | constants.TRUST | constants.NO_CHANGE


class SetMemberState(NamedTuple):
    """Request that sets the states of members."""

    groups: tuple[StateGroup, ...]
    from_lb: bool = False


class Reply(NamedTuple):
    """The reply to any request except Get Weights; it carries only a return code."""

    message_type: int
    code: int


class GetWeightsReply(NamedTuple):
    """The reply to Get Weights; ``interval`` is the time until the next poll, in seconds."""

    code: int
    interval: int = 0
    groups: tuple[WeightGroup, ...] = ()


Request = Registration | Deregistration | GetWeights | SetLbState | SetMemberState
Message = Request | SendWeights | Reply | GetWeightsReply

REQUEST_TYPES: dict[type[Message], MessageType] = {
    Registration: MessageType.REGISTRATION,
    Deregistration: MessageType.DEREGISTRATION,
    GetWeights: MessageType.GET_WEIGHTS,
    SetLbState: MessageType.SET_LB_STATE,
    SetMemberState: MessageType.SET_MEMBER_STATE,
}
