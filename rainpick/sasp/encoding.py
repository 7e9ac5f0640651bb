"""Encodes messages, whole or from parts that are encoded once and shared by many proxies."""

from __future__ import annotations

from typing import NamedTuple

from rainpick.sasp.constants import (
    FROM_LB,
    GROUP_DATA_TYPE,
    GROUP_OF_MEMBERS_TYPE,
    GROUP_OF_STATES_TYPE,
    GROUP_OF_WEIGHTS_TYPE,
    HEADER_TYPE,
    MAX_TEXT_BYTES,
    MAX_UID_BYTES,
    MEMBER_DATA_TYPE,
    MEMBER_STATE_TYPE,
    QUIESCE_MEMBER,
    REPLY_TYPES,
    SIMPLE_REPLY_TYPES,
    VERSION,
    WEIGHT_ENTRY_TYPE,
    MessageType,
)
from rainpick.sasp.messages import (
    Deregistration,
    GetWeights,
    GetWeightsReply,
    Group,
    Member,
    MemberGroup,
    MemberState,
    Message,
    Registration,
    Reply,
    SendWeights,
    SetLbState,
    SetMemberState,
    StateGroup,
    WeightEntry,
    WeightGroup,
)
from rainpick.sasp.wire import (
    COMPONENT_HEADER,
    GROUP_OF_HEADER,
    MEMBER,
    MEMBER_STATE_TAIL,
    MESSAGE_HEADER,
    SEND_WEIGHTS_HEADER,
    UINT8,
    UINT16,
    WEIGHT_ENTRY_TAIL,
)

# Constant header fields, computed once
_WEIGHT_ENTRY_HEADER = COMPONENT_HEADER.pack(
    WEIGHT_ENTRY_TYPE, COMPONENT_HEADER.size + WEIGHT_ENTRY_TAIL.size
)
_MEMBER_STATE_HEADER = COMPONENT_HEADER.pack(
    MEMBER_STATE_TYPE, COMPONENT_HEADER.size + MEMBER_STATE_TAIL.size
)
_SEND_WEIGHTS_TYPE = int(MessageType.SEND_WEIGHTS)
_SEND_WEIGHTS_LENGTH = COMPONENT_HEADER.size + UINT16.size
_GROUP_OF_LENGTH = GROUP_OF_HEADER.size
_MESSAGE_HEADER_LENGTH = MESSAGE_HEADER.size
_SEND_WEIGHTS_FIXED_LENGTH = SEND_WEIGHTS_HEADER.size

# Encoding of messages


class _MessageBody(NamedTuple):
    """A message without its header: the message component and the components that follow it."""

    message_type: int
    fixed_part: bytes
    components: list[bytes]


def encode_message(message: Message, message_id: int = 0) -> bytes:
    """Encode one message; raise ``ValueError`` or ``struct.error`` if a value cannot be encoded."""
    body = _encode_body(message)
    return encode_frame(message_id, body.message_type, body.fixed_part, b"".join(body.components))


def encode_reply(message_type: int, message_id: int, code: int) -> bytes:
    """Encode the reply to a request of this type; return no bytes if the type has no reply."""
    reply_type = REPLY_TYPES.get(message_type)
    if reply_type is None:
        return b""
    if reply_type in SIMPLE_REPLY_TYPES:
        return encode_frame(message_id, reply_type, UINT8.pack(code))
    return encode_message(GetWeightsReply(code), message_id)


def _encode_body(message: Message) -> _MessageBody:
    match message:
        case Registration(groups, from_lb):
            members = [_encode_member_group(group) for group in groups]
            return _counted_body(MessageType.REGISTRATION, _sender_flags(from_lb), members)
        case Deregistration(groups, from_lb, reason):
            members = [_encode_member_group(group) for group in groups]
            fields = _sender_flags(from_lb) + UINT8.pack(reason)
            return _counted_body(MessageType.DEREGISTRATION, fields, members)
        case GetWeights(groups):
            return _counted_body(MessageType.GET_WEIGHTS, b"", [encode_group(group) for group in groups])
        case SendWeights(groups):
            weights = [_encode_weight_group(group) for group in groups]
            return _counted_body(MessageType.SEND_WEIGHTS, b"", weights)
        case GetWeightsReply(code, interval, groups):
            weights = [_encode_weight_group(group) for group in groups]
            fields = UINT8.pack(code) + UINT16.pack(interval)
            return _counted_body(MessageType.GET_WEIGHTS_REPLY, fields, weights)
        case SetLbState(uid, health, flags):
            fields = _encode_text(uid, MAX_UID_BYTES) + UINT8.pack(health) + UINT8.pack(flags)
            return _MessageBody(MessageType.SET_LB_STATE, fields, [])
        case SetMemberState(groups, from_lb):
            states = [_encode_state_group(group) for group in groups]
            return _counted_body(MessageType.SET_MEMBER_STATE, _sender_flags(from_lb), states)
        case Reply(message_type, code):
            return _MessageBody(message_type, UINT8.pack(code), [])


def _sender_flags(from_lb: bool) -> bytes:
    return UINT8.pack(FROM_LB if from_lb else 0)


def _counted_body(message_type: int, fields: bytes, components: list[bytes]) -> _MessageBody:
    """Build a body whose fixed part ends with the number of components."""
    return _MessageBody(message_type, fields + UINT16.pack(len(components)), components)


def encode_frame(message_id: int, message_type: int, fixed_part: bytes, components: bytes = b"") -> bytes:
    """Encode a message from the fixed part of its message component and the encoded components."""
    length = COMPONENT_HEADER.size + len(fixed_part)
    body = COMPONENT_HEADER.pack(message_type, length) + fixed_part + components
    header = MESSAGE_HEADER.pack(
        HEADER_TYPE, MESSAGE_HEADER.size, VERSION, MESSAGE_HEADER.size + len(body), message_id
    )
    return header + body


def encode_send_weights(message_id: int, group: bytes, count: int, entries: bytes) -> bytes:
    """Encode Send Weights for one group from the encoded group and its ``count`` encoded weight entries.

    Proxies share the encoded parts: only the header differs.
    """
    header = SEND_WEIGHTS_HEADER.pack(
        HEADER_TYPE,
        _MESSAGE_HEADER_LENGTH,
        VERSION,
        _SEND_WEIGHTS_FIXED_LENGTH + len(group) + len(entries),
        message_id,
        _SEND_WEIGHTS_TYPE,
        _SEND_WEIGHTS_LENGTH,
        1,
        GROUP_OF_WEIGHTS_TYPE,
        _GROUP_OF_LENGTH,
        count,
    )
    return header + group + entries


# Encoding of components


def encode_member(member: Member) -> bytes:
    """Encode member data; raise ``struct.error`` if the label is longer than 255 bytes."""
    label = member.label.encode()
    length = MEMBER.size + len(label)
    return (
        MEMBER.pack(MEMBER_DATA_TYPE, length, member.protocol, member.port, member.address, len(label))
        + label
    )


def encode_group(group: Group) -> bytes:
    """Encode group data; raise ``ValueError`` if the UID or the name is too long."""
    fixed_part = _encode_text(group.uid, MAX_UID_BYTES) + _encode_text(group.name, MAX_TEXT_BYTES)
    return COMPONENT_HEADER.pack(GROUP_DATA_TYPE, COMPONENT_HEADER.size + len(fixed_part)) + fixed_part


def encode_weight_entry(entry: WeightEntry) -> bytes:
    """Encode a weight entry; only its tail depends on the weight, so the rest can be encoded once."""
    return (
        _WEIGHT_ENTRY_HEADER
        + encode_member(entry.member)
        + WEIGHT_ENTRY_TAIL.pack(entry.state, entry.flags, entry.weight)
    )


def encode_weight_group(group: bytes, count: int, entries: bytes) -> bytes:
    """Encode a group of weights from the encoded group and its ``count`` encoded weight entries."""
    return GROUP_OF_HEADER.pack(GROUP_OF_WEIGHTS_TYPE, GROUP_OF_HEADER.size, count) + group + entries


def _encode_member_state(state: MemberState) -> bytes:
    return (
        _MEMBER_STATE_HEADER
        + encode_member(state.member)
        + MEMBER_STATE_TAIL.pack(state.state, QUIESCE_MEMBER if state.quiesce else 0)
    )


def _encode_member_group(group: MemberGroup) -> bytes:
    members = [encode_member(member) for member in group.members]
    return _encode_group_of(GROUP_OF_MEMBERS_TYPE, group.group, members)


def _encode_weight_group(group: WeightGroup) -> bytes:
    entries = [encode_weight_entry(entry) for entry in group.entries]
    return _encode_group_of(GROUP_OF_WEIGHTS_TYPE, group.group, entries)


def _encode_state_group(group: StateGroup) -> bytes:
    states = [_encode_member_state(state) for state in group.states]
    return _encode_group_of(GROUP_OF_STATES_TYPE, group.group, states)


def _encode_group_of(component_type: int, group: Group, components: list[bytes]) -> bytes:
    header = GROUP_OF_HEADER.pack(component_type, GROUP_OF_HEADER.size, len(components))
    return header + encode_group(group) + b"".join(components)


def _encode_text(text: str, max_bytes: int) -> bytes:
    """Encode a text, preceded by one byte with its length."""
    encoded = text.encode()
    if len(encoded) > max_bytes:
        raise ValueError(f"{text!r} takes {len(encoded)} bytes, at most {max_bytes} are allowed")
    return UINT8.pack(len(encoded)) + encoded
