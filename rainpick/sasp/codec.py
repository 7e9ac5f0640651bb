"""Frames of SASP version 1 (RFC 4678, sections 5 and 6): types, lengths, flags, return codes.

Everything is big-endian. A message is a header component, then a message component, then the components
that it counts. A component begins with its type and its length, 16 bits each. The length is that of the
component's own fixed part, its type and length included and the components that follow it excluded;
``docs/sasp.md`` lists this and the other places where the text was read one way of several.
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Callable
from typing import NamedTuple

VERSION = 1
PORT = 3860  # section 4

# Component types (sections 5.1 to 5.8)
HEADER = 0x2010
MEMBER_DATA = 0x3010
GROUP_DATA = 0x3011
WEIGHT_ENTRY = 0x3012
MEMBER_STATE = 0x3013
GROUP_OF_MEMBERS = 0x4010
GROUP_OF_WEIGHTS = 0x4011
GROUP_OF_STATES = 0x4012

# Message types (section 6)
REGISTRATION, REGISTRATION_REPLY = 0x1010, 0x1015
DEREGISTRATION, DEREGISTRATION_REPLY = 0x1020, 0x1025
GET_WEIGHTS, GET_WEIGHTS_REPLY = 0x1030, 0x1035
SEND_WEIGHTS = 0x1040
SET_LB_STATE, SET_LB_STATE_REPLY = 0x1050, 0x1055
SET_MEMBER_STATE, SET_MEMBER_STATE_REPLY = 0x1060, 0x1065

# Return codes (the tables of section 6)
SUCCESS = 0x00
NOT_UNDERSTOOD = 0x10
NOT_ACCEPTED = 0x11
ALREADY_REGISTERED = 0x40
NOT_REGISTERED = 0x41
UNKNOWN_GROUP = 0x42
UNKNOWN_LB = 0x43
DUPLICATE_MEMBER = 0x44
INVALID_GROUP = 0x45
DUPLICATE_GROUP = 0x46
INVALID_GROUP_NAME = 0x50
INVALID_LB_UID = 0x51
LB_NOT_SEEN = 0x61

# Flags
FROM_LB = 0x80  # Registration, Deregistration, Set Member State: a load balancer speaks, not the member
PUSH, TRUST, NO_CHANGE = 0x80, 0x40, 0x20  # Set LB State (section 6.5)
QUIESCE_MEMBER = 0x80  # Set Member State (section 5.4)
CONTACT, QUIESCE, SELF_REGISTERED, CONFIDENT = 0x80, 0x40, 0x20, 0x10  # weight entry (section 5.3)
PURPOSEFUL = 0x01  # reason of a Deregistration (section 6.2)

UID_MOST = 64  # bytes of an LB UID (section 5.2)
TCP = 6

HEAD = struct.Struct(">HHBIi")  # type, length, version, length of the message, message id
PIECE = struct.Struct(">HH")
MEMBER = struct.Struct(">HHBH16sB")
BYTE, SHORT = struct.Struct(">B"), struct.Struct(">H")
ENTRY_TAIL = struct.Struct(">BBH")  # opaque state, flags, weight
STATE_TAIL = struct.Struct(">BB")
WEIGHT_MOST = 0xFFFF


class SaspError(Exception):
    """What came is not SASP. ``kind`` and ``number`` name the message, so that a reply can refer to it."""

    def __init__(self, text: str, code: int = NOT_UNDERSTOOD, kind: int = 0, number: int = 0):
        super().__init__(text)
        self.code, self.kind, self.number = code, kind, number


class FramingError(SaspError):
    """Where the next message begins cannot be told: the stream is of no more use."""


# Components


class Member(NamedTuple):
    """A server: protocol, port, address (16 bytes, IPv4 mapped), label."""

    address: bytes
    port: int
    label: str = ""
    protocol: int = TCP

    @classmethod
    def at(cls, host: str, port: int, label: str = "") -> Member:
        return cls(packed(host), port, label)

    def host(self) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
        return unpacked(self.address)

    def key(self) -> tuple[str, int]:
        return str(self.host()), self.port


class Group(NamedTuple):
    """A group is known by the load balancer's UID and a name."""

    uid: str
    name: str


class Weight(NamedTuple):
    member: Member
    weight: int
    flags: int = CONTACT | CONFIDENT
    state: int = 0


class MemberState(NamedTuple):
    member: Member
    state: int = 0
    quiesce: bool = False


class Members(NamedTuple):
    group: Group
    members: tuple[Member, ...] = ()


class Weights(NamedTuple):
    group: Group
    entries: tuple[Weight, ...] = ()


class States(NamedTuple):
    group: Group
    states: tuple[MemberState, ...] = ()


# Messages


class Registration(NamedTuple):
    groups: tuple[Members, ...]
    from_lb: bool = False


class Deregistration(NamedTuple):
    """A group without members means all of its members."""

    groups: tuple[Members, ...]
    from_lb: bool = False
    reason: int = 0


class GetWeights(NamedTuple):
    groups: tuple[Group, ...] = ()


class SendWeights(NamedTuple):
    groups: tuple[Weights, ...]


class SetLbState(NamedTuple):
    uid: str
    health: int = 0x7F
    flags: int = PUSH | TRUST | NO_CHANGE


class SetMemberState(NamedTuple):
    groups: tuple[States, ...]
    from_lb: bool = False


class Reply(NamedTuple):
    """The answer to any of the requests but Get Weights; ``kind`` is the type of the reply."""

    kind: int
    code: int


class GetWeightsReply(NamedTuple):
    """``interval``: seconds until the load balancer should ask again."""

    code: int
    interval: int = 0
    groups: tuple[Weights, ...] = ()


Message = (
    Registration
    | Deregistration
    | GetWeights
    | SendWeights
    | SetLbState
    | SetMemberState
    | Reply
    | GetWeightsReply
)

REPLY_TO = {
    REGISTRATION: REGISTRATION_REPLY,
    DEREGISTRATION: DEREGISTRATION_REPLY,
    GET_WEIGHTS: GET_WEIGHTS_REPLY,
    SET_LB_STATE: SET_LB_STATE_REPLY,
    SET_MEMBER_STATE: SET_MEMBER_STATE_REPLY,
}
PLAIN_REPLIES = frozenset(REPLY_TO.values()) - {GET_WEIGHTS_REPLY}


def packed(host: str) -> bytes:
    """The 16 bytes of an address.

    >>> packed("127.0.0.1").hex()
    '00000000000000000000ffff7f000001'
    """
    address = ipaddress.ip_address(host)
    return address.packed if address.version == 6 else b"\0" * 10 + b"\xff\xff" + address.packed


def unpacked(data: bytes) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
    """An IPv4 address comes mapped or, as older members write it, with zeros before it."""
    address = ipaddress.IPv6Address(data)
    if address.ipv4_mapped is not None:
        return address.ipv4_mapped
    if data[:12] == b"\0" * 12 and data[12:] not in (b"\0\0\0\0", b"\0\0\0\1"):
        return ipaddress.IPv4Address(data[12:])
    return address


# Writing


def text(data: str, most: int = 255) -> bytes:
    raw = data.encode()
    if len(raw) > most:
        raise ValueError(f"{data!r} takes {len(raw)} bytes, at most {most} are allowed")
    return BYTE.pack(len(raw)) + raw


def write_member(member: Member) -> bytes:
    label = member.label.encode()
    return (
        MEMBER.pack(
            MEMBER_DATA, MEMBER.size + len(label), member.protocol, member.port, member.address, len(label)
        )
        + label
    )


def write_group(group: Group) -> bytes:
    body = text(group.uid, UID_MOST) + text(group.name)
    return PIECE.pack(GROUP_DATA, PIECE.size + len(body)) + body


def write_entry(entry: Weight) -> bytes:
    return (
        PIECE.pack(WEIGHT_ENTRY, PIECE.size + ENTRY_TAIL.size)
        + write_member(entry.member)
        + ENTRY_TAIL.pack(entry.state, entry.flags, entry.weight)
    )


def write_state(state: MemberState) -> bytes:
    return (
        PIECE.pack(MEMBER_STATE, PIECE.size + STATE_TAIL.size)
        + write_member(state.member)
        + STATE_TAIL.pack(state.state, QUIESCE_MEMBER if state.quiesce else 0)
    )


def write_group_of(kind: int, group: Group, rows: list[bytes]) -> bytes:
    return PIECE.pack(kind, 6) + SHORT.pack(len(rows)) + write_group(group) + b"".join(rows)


WEIGHTS_HEAD = struct.Struct(">HHH")


def group_of_weights(group: bytes, count: int, rows: bytes) -> bytes:
    """A group of ``count`` weight entries; group and entries are written already: many proxies share them."""
    return WEIGHTS_HEAD.pack(GROUP_OF_WEIGHTS, 6, count) + group + rows


def frame(number: int, kind: int, fixed: bytes, rest: bytes = b"") -> bytes:
    body = PIECE.pack(kind, PIECE.size + len(fixed)) + fixed + rest
    return HEAD.pack(HEADER, HEAD.size, VERSION, HEAD.size + len(body), number) + body


PUSH_HEAD = struct.Struct(">HHBIiHHHHHH")  # header, message of one group, group of weights


def send_weights_frame(number: int, group: bytes, count: int, rows: bytes) -> bytes:
    """Send Weights with one group; what does not differ between proxies is written already."""
    size = PUSH_HEAD.size + len(group) + len(rows)
    return (
        PUSH_HEAD.pack(
            HEADER, HEAD.size, VERSION, size, number, SEND_WEIGHTS, 6, 1, GROUP_OF_WEIGHTS, 6, count
        )
        + group
        + rows
    )


def write(message: Message, number: int = 0) -> bytes:
    """The bytes of one message with its message id."""
    flag = BYTE.pack(FROM_LB if getattr(message, "from_lb", False) else 0)
    if isinstance(message, Registration | Deregistration):
        groups = [
            write_group_of(GROUP_OF_MEMBERS, group.group, [write_member(one) for one in group.members])
            for group in message.groups
        ]
        if isinstance(message, Deregistration):
            flag += BYTE.pack(message.reason)
        kind = REGISTRATION if isinstance(message, Registration) else DEREGISTRATION
        return frame(number, kind, flag + SHORT.pack(len(groups)), b"".join(groups))
    if isinstance(message, GetWeights):
        return frame(
            number,
            GET_WEIGHTS,
            SHORT.pack(len(message.groups)),
            b"".join(write_group(group) for group in message.groups),
        )
    if isinstance(message, SendWeights | GetWeightsReply):
        groups = [
            write_group_of(GROUP_OF_WEIGHTS, group.group, [write_entry(one) for one in group.entries])
            for group in message.groups
        ]
        if isinstance(message, SendWeights):
            return frame(number, SEND_WEIGHTS, SHORT.pack(len(groups)), b"".join(groups))
        fixed = BYTE.pack(message.code) + SHORT.pack(message.interval) + SHORT.pack(len(groups))
        return frame(number, GET_WEIGHTS_REPLY, fixed, b"".join(groups))
    if isinstance(message, SetLbState):
        fixed = text(message.uid, UID_MOST) + BYTE.pack(message.health) + BYTE.pack(message.flags)
        return frame(number, SET_LB_STATE, fixed)
    if isinstance(message, SetMemberState):
        groups = [
            write_group_of(GROUP_OF_STATES, group.group, [write_state(one) for one in group.states])
            for group in message.groups
        ]
        return frame(number, SET_MEMBER_STATE, flag + SHORT.pack(len(groups)), b"".join(groups))
    return frame(number, message.kind, BYTE.pack(message.code))


# Reading


class Cursor:
    """Walks over one message; every read is checked against its end."""

    def __init__(self, data: bytes | memoryview, at: int):
        self.data, self.at = data, at

    def take(self, form: struct.Struct) -> tuple:
        try:
            fields = form.unpack_from(self.data, self.at)
        except struct.error:
            raise SaspError(f"a field runs past the end of its message at byte {self.at}") from None
        self.at += form.size
        return fields

    def text(self, least: int, most: int, code: int, what: str) -> str:
        (length,) = self.take(BYTE)
        if not least <= length <= most:
            raise SaspError(f"{what} of {length} bytes, {least} to {most} are allowed", code)
        if self.at + length > len(self.data):
            raise SaspError(f"{what} runs past the end of its message")
        self.at += length
        try:
            return bytes(self.data[self.at - length : self.at]).decode()
        except UnicodeDecodeError:
            raise SaspError(f"{what} is not UTF-8") from None

    def piece(self, kind: int) -> int:
        """Enter a component of this type; where its own fixed part ends."""
        start = self.at
        found, length = self.take(PIECE)
        if found != kind:
            raise SaspError(f"a component {found:#06x} stands where {kind:#06x} is wanted")
        return start + length

    def end(self, limit: int, what: str) -> None:
        if self.at != limit:
            raise SaspError(f"{what} says it ends at byte {limit}, but does at {self.at}")

    def count(self, smallest: int) -> int:
        """How many components follow: never more than the bytes that are left could hold."""
        (count,) = self.take(SHORT)
        if count * smallest > len(self.data) - self.at:
            raise SaspError(f"{count} components are announced in {len(self.data) - self.at} bytes")
        return count


def read_member(cursor: Cursor) -> Member:
    start = cursor.at
    kind, length, protocol, port, address, size = cursor.take(MEMBER)
    if kind != MEMBER_DATA:
        raise SaspError(f"a component {kind:#06x} stands where {MEMBER_DATA:#06x} is wanted")
    cursor.at -= 1
    label = cursor.text(0, 255, NOT_UNDERSTOOD, "a label") if size else ""
    cursor.at += 0 if size else 1
    cursor.end(start + length, "a member")
    return Member(address, port, label, protocol)


def read_group(cursor: Cursor) -> Group:
    limit = cursor.piece(GROUP_DATA)
    uid = cursor.text(1, UID_MOST, INVALID_LB_UID, "an LB UID")
    name = cursor.text(1, 255, INVALID_GROUP_NAME, "a group name")
    cursor.end(limit, "a group")
    return Group(uid, name)


def read_entry(cursor: Cursor) -> Weight:
    limit = cursor.piece(WEIGHT_ENTRY) - ENTRY_TAIL.size
    cursor.end(limit, "a weight entry")
    member = read_member(cursor)
    state, flags, weight = cursor.take(ENTRY_TAIL)
    return Weight(member, weight, flags, state)


def read_state(cursor: Cursor) -> MemberState:
    limit = cursor.piece(MEMBER_STATE) - STATE_TAIL.size
    cursor.end(limit, "a member state")
    member = read_member(cursor)
    state, flags = cursor.take(STATE_TAIL)
    return MemberState(member, state, bool(flags & QUIESCE_MEMBER))


def reader_of(kind: int, row: Callable[[Cursor], object], smallest: int, build: Callable) -> Callable:
    def read_group_of(cursor: Cursor):
        limit = cursor.piece(kind)
        count = cursor.count(smallest)
        cursor.end(limit, "a group of components")
        group = read_group(cursor)
        return build(group, tuple([row(cursor) for _ in range(count)]))

    return read_group_of


read_members = reader_of(GROUP_OF_MEMBERS, read_member, MEMBER.size, Members)
read_weights = reader_of(GROUP_OF_WEIGHTS, read_entry, MEMBER.size + 8, Weights)
read_states = reader_of(GROUP_OF_STATES, read_state, MEMBER.size + 6, States)
GROUP_LEAST = 6 + PIECE.size + 2  # bytes of the smallest group with what announces it


def read_body(kind: int, cursor: Cursor) -> Message:
    limit = cursor.piece(kind)

    def many(row: Callable, smallest: int = GROUP_LEAST) -> tuple:
        count = cursor.count(smallest)
        cursor.end(limit, "a message")
        return tuple([row(cursor) for _ in range(count)])

    if kind in (REGISTRATION, DEREGISTRATION, SET_MEMBER_STATE):
        from_lb = bool(cursor.take(BYTE)[0] & FROM_LB)
        if kind == REGISTRATION:
            return Registration(many(read_members), from_lb)
        if kind == SET_MEMBER_STATE:
            return SetMemberState(many(read_states), from_lb)
        (reason,) = cursor.take(BYTE)
        return Deregistration(many(read_members), from_lb, reason)
    if kind == GET_WEIGHTS:
        return GetWeights(many(read_group, PIECE.size + 2))
    if kind == SEND_WEIGHTS:
        return SendWeights(many(read_weights))
    if kind == GET_WEIGHTS_REPLY:
        (code,) = cursor.take(BYTE)
        (interval,) = cursor.take(SHORT)
        return GetWeightsReply(code, interval, many(read_weights))
    if kind == SET_LB_STATE:
        uid = cursor.text(1, UID_MOST, INVALID_LB_UID, "an LB UID")
        (health,), (flags,) = cursor.take(BYTE), cursor.take(BYTE)
        cursor.end(limit, "a message")
        return SetLbState(uid, health, flags)
    if kind in PLAIN_REPLIES:
        (code,) = cursor.take(BYTE)
        cursor.end(limit, "a message")
        return Reply(kind, code)
    raise SaspError(f"no message has the type {kind:#06x}")


class Framer:
    """Cuts a stream into messages and holds no more than one of them.

    ``feed`` gives out (message id, message). A message that is malformed within its own length raises
    ``SaspError`` and the stream goes on after it; when lengths can't be trusted ``FramingError`` is raised.
    """

    def __init__(self, most: int):
        self.most, self.held = most, bytearray()

    def feed(self, data: bytes) -> None:
        self.held += data

    def next(self) -> tuple[int, Message] | None:
        """The next whole message; None until more has come."""
        if len(self.held) < HEAD.size:
            return None
        kind, size, version, length, number = HEAD.unpack_from(self.held)
        if kind != HEADER or size != HEAD.size:
            raise FramingError(f"a message begins with component {kind:#06x} of {size} bytes")
        if version != VERSION:
            raise FramingError(f"version {version} is not spoken here, {VERSION} is", number=number)
        if not HEAD.size + PIECE.size < length <= self.most:
            raise FramingError(f"a message of {length} bytes; at most {self.most} are taken", number=number)
        if len(self.held) < length:
            return None
        whole = bytes(self.held[:length])
        del self.held[:length]
        (body,) = SHORT.unpack_from(whole, HEAD.size)
        cursor = Cursor(whole, HEAD.size)
        try:
            message = read_body(body, cursor)
            cursor.end(length, "a message with its components")
        except SaspError as flaw:
            flaw.kind, flaw.number = body, number
            raise
        return number, message
