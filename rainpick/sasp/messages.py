"""Types for the components and messages of SASP (RFC 4678, sections 5 and 6)."""

from __future__ import annotations

from typing import NamedTuple

from rainpick.sasp import constants
from rainpick.sasp.addresses import IPAddress, pack_address, unpack_address
from rainpick.sasp.constants import MessageType

# Components


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
    """A member with its state, opaque to the protocol; ``quiesce`` if it is to get no new work."""

    member: Member
    state: int = 0
    quiesce: bool = False


class MemberGroup(NamedTuple):
    """Members of one group."""

    group: Group
    members: tuple[Member, ...] = ()


class WeightGroup(NamedTuple):
    """Weight entries of one group."""

    group: Group
    entries: tuple[WeightEntry, ...] = ()


class StateGroup(NamedTuple):
    """Member states of one group."""

    group: Group
    states: tuple[MemberState, ...] = ()


# Messages


class Registration(NamedTuple):
    """Registers members; from a load balancer, it announces the members that the load balancer knows."""

    groups: tuple[MemberGroup, ...]
    from_lb: bool = False


class Deregistration(NamedTuple):
    """Deregisters members; a group without members stands for all members of the group."""

    groups: tuple[MemberGroup, ...]
    from_lb: bool = False
    reason: int = 0


class GetWeights(NamedTuple):
    """Poll by a load balancer for the weights of its groups."""

    groups: tuple[Group, ...] = ()


class SendWeights(NamedTuple):
    """Weights that the director pushes to a load balancer; there is no reply."""

    groups: tuple[WeightGroup, ...]


class SetLbState(NamedTuple):
    """Identifies a load balancer and sets its health and its flags, such as polling or push."""

    uid: str
    health: int = 0x7F
    flags: int = constants.PUSH | constants.TRUST | constants.NO_CHANGE


class SetMemberState(NamedTuple):
    """Reports the states of members."""

    groups: tuple[StateGroup, ...]
    from_lb: bool = False


class Reply(NamedTuple):
    """The reply to any request except Get Weights: a return code."""

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
