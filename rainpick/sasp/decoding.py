"""Decodes one complete message; raises ``SaspError`` if it is malformed."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from rainpick.sasp.constants import (
    FROM_LB,
    GROUP_DATA_TYPE,
    GROUP_OF_MEMBERS_TYPE,
    GROUP_OF_STATES_TYPE,
    GROUP_OF_WEIGHTS_TYPE,
    MEMBER_DATA_TYPE,
    MEMBER_STATE_TYPE,
    QUIESCE_MEMBER,
    SIMPLE_REPLY_TYPES,
    WEIGHT_ENTRY_TYPE,
    MessageType,
)
from rainpick.sasp.errors import SaspError
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
    GROUP_NAME,
    LABEL,
    LB_UID,
    MEMBER,
    MEMBER_STATE_TAIL,
    MIN_GROUP_BYTES,
    MIN_GROUP_OF_BYTES,
    MIN_MEMBER_BYTES,
    MIN_MEMBER_STATE_BYTES,
    MIN_WEIGHT_ENTRY_BYTES,
    WEIGHT_ENTRY_TAIL,
    Cursor,
    unexpected_component,
)

Component = TypeVar("Component")

# Decoding of messages


def decode_body(message_type: int, cursor: Cursor) -> Message:
    """Decode a message after its header, starting at the message component."""
    end = cursor.enter_component(message_type)
    if message_type in SIMPLE_REPLY_TYPES:
        code = cursor.read_uint8()
        cursor.expect_end(end, "a message")
        return Reply(message_type, code)
    decoder = MESSAGE_DECODERS.get(message_type)
    if decoder is None:
        raise SaspError(f"no message has the type {message_type:#06x}")
    return decoder(cursor, end)


def _decode_components(
    cursor: Cursor, end: int, decode: Callable[[Cursor], Component], min_component_bytes: int
) -> tuple[Component, ...]:
    """Read the count at the end of the message component, then that number of components."""
    count = cursor.read_component_count(min_component_bytes)
    cursor.expect_end(end, "a message")
    return tuple([decode(cursor) for _ in range(count)])


def _decode_registration(cursor: Cursor, end: int) -> Registration:
    from_lb = bool(cursor.read_uint8() & FROM_LB)
    return Registration(_decode_components(cursor, end, _decode_member_group, MIN_GROUP_OF_BYTES), from_lb)


def _decode_deregistration(cursor: Cursor, end: int) -> Deregistration:
    from_lb = bool(cursor.read_uint8() & FROM_LB)
    reason = cursor.read_uint8()
    groups = _decode_components(cursor, end, _decode_member_group, MIN_GROUP_OF_BYTES)
    return Deregistration(groups, from_lb, reason)


def _decode_set_member_state(cursor: Cursor, end: int) -> SetMemberState:
    from_lb = bool(cursor.read_uint8() & FROM_LB)
    return SetMemberState(_decode_components(cursor, end, _decode_state_group, MIN_GROUP_OF_BYTES), from_lb)


def _decode_get_weights(cursor: Cursor, end: int) -> GetWeights:
    return GetWeights(_decode_components(cursor, end, _decode_group, MIN_GROUP_BYTES))


def _decode_get_weights_reply(cursor: Cursor, end: int) -> GetWeightsReply:
    code = cursor.read_uint8()
    interval = cursor.read_uint16()
    groups = _decode_components(cursor, end, _decode_weight_group, MIN_GROUP_OF_BYTES)
    return GetWeightsReply(code, interval, groups)


def _decode_send_weights(cursor: Cursor, end: int) -> SendWeights:
    return SendWeights(_decode_components(cursor, end, _decode_weight_group, MIN_GROUP_OF_BYTES))


def _decode_set_lb_state(cursor: Cursor, end: int) -> SetLbState:
    uid = cursor.read_text(LB_UID)
    health = cursor.read_uint8()
    flags = cursor.read_uint8()
    cursor.expect_end(end, "a message")
    return SetLbState(uid, health, flags)


MESSAGE_DECODERS: dict[int, Callable[[Cursor, int], Message]] = {
    MessageType.REGISTRATION: _decode_registration,
    MessageType.DEREGISTRATION: _decode_deregistration,
    MessageType.GET_WEIGHTS: _decode_get_weights,
    MessageType.GET_WEIGHTS_REPLY: _decode_get_weights_reply,
    MessageType.SEND_WEIGHTS: _decode_send_weights,
    MessageType.SET_LB_STATE: _decode_set_lb_state,
    MessageType.SET_MEMBER_STATE: _decode_set_member_state,
}

# Decoding of components


def _decode_member(cursor: Cursor) -> Member:
    start = cursor.position
    component_type, length, protocol, port, address, label_length = cursor.unpack(MEMBER)
    if component_type != MEMBER_DATA_TYPE:
        raise unexpected_component(component_type, MEMBER_DATA_TYPE)
    label = ""
    if label_length:
        cursor.position -= 1  # ``Cursor.read_text`` reads the length of the label again
        label = cursor.read_text(LABEL)
    cursor.expect_end(start + length, "a member")
    return Member(address, port, label, protocol)


def _decode_group(cursor: Cursor) -> Group:
    end = cursor.enter_component(GROUP_DATA_TYPE)
    uid = cursor.read_text(LB_UID)
    name = cursor.read_text(GROUP_NAME)
    cursor.expect_end(end, "a group")
    return Group(uid, name)


def _decode_weight_entry(cursor: Cursor) -> WeightEntry:
    end = cursor.enter_component(WEIGHT_ENTRY_TYPE)
    cursor.expect_end(end - WEIGHT_ENTRY_TAIL.size, "a weight entry")
    member = _decode_member(cursor)
    state, flags, weight = cursor.unpack(WEIGHT_ENTRY_TAIL)
    return WeightEntry(member, weight, flags, state)


def _decode_member_state(cursor: Cursor) -> MemberState:
    end = cursor.enter_component(MEMBER_STATE_TYPE)
    cursor.expect_end(end - MEMBER_STATE_TAIL.size, "a member state")
    member = _decode_member(cursor)
    state, flags = cursor.unpack(MEMBER_STATE_TAIL)
    return MemberState(member, state, bool(flags & QUIESCE_MEMBER))


def _decode_group_of(
    cursor: Cursor, component_type: int, decode: Callable[[Cursor], Component], min_component_bytes: int
) -> tuple[Group, tuple[Component, ...]]:
    """Read a group-of component of this type: its group and its components."""
    end = cursor.enter_component(component_type)
    count = cursor.read_component_count(min_component_bytes)
    cursor.expect_end(end, "a group of components")
    group = _decode_group(cursor)
    return group, tuple([decode(cursor) for _ in range(count)])


def _decode_member_group(cursor: Cursor) -> MemberGroup:
    group, members = _decode_group_of(cursor, GROUP_OF_MEMBERS_TYPE, _decode_member, MIN_MEMBER_BYTES)
    return MemberGroup(group, members)


def _decode_weight_group(cursor: Cursor) -> WeightGroup:
    group, entries = _decode_group_of(
        cursor, GROUP_OF_WEIGHTS_TYPE, _decode_weight_entry, MIN_WEIGHT_ENTRY_BYTES
    )
    return WeightGroup(group, entries)


def _decode_state_group(cursor: Cursor) -> StateGroup:
    group, states = _decode_group_of(
        cursor, GROUP_OF_STATES_TYPE, _decode_member_state, MIN_MEMBER_STATE_BYTES
    )
    return StateGroup(group, states)
