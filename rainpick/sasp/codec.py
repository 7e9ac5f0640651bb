"""The old names of the codec in one module, until their users import the modules that define them."""

from __future__ import annotations

from rainpick.sasp.addresses import pack_address, unpack_address
from rainpick.sasp.constants import (
    CONFIDENT,
    CONTACT,
    FROM_LB,
    GROUP_DATA_TYPE,
    HEADER_TYPE,
    MAX_UID_BYTES,
    MAX_WEIGHT,
    NO_CHANGE,
    PORT,
    PURPOSEFUL,
    PUSH,
    QUIESCE,
    QUIESCE_MEMBER,
    REPLY_TYPES,
    SELF_REGISTERED,
    SIMPLE_REPLY_TYPES,
    TCP,
    TRUST,
    VERSION,
    WEIGHT_ENTRY_TYPE,
    MessageType,
    ReturnCode,
)
from rainpick.sasp.encoding import (
    encode_frame,
    encode_group,
    encode_member,
    encode_message,
    encode_send_weights,
    encode_weight_entry,
    encode_weight_group,
)
from rainpick.sasp.errors import FramingError, SaspError
from rainpick.sasp.framing import FrameReader
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
from rainpick.sasp.wire import COMPONENT_HEADER, MESSAGE_HEADER, UINT8, UINT16, WEIGHT_ENTRY_TAIL

__all__ = [
    "ALREADY_REGISTERED",
    "BYTE",
    "CONFIDENT",
    "CONTACT",
    "DEREGISTRATION",
    "DEREGISTRATION_REPLY",
    "DUPLICATE_GROUP",
    "DUPLICATE_MEMBER",
    "ENTRY_TAIL",
    "FROM_LB",
    "GET_WEIGHTS",
    "GET_WEIGHTS_REPLY",
    "GROUP_DATA",
    "HEAD",
    "HEADER",
    "INVALID_GROUP",
    "INVALID_GROUP_NAME",
    "INVALID_LB_UID",
    "LB_NOT_SEEN",
    "NOT_ACCEPTED",
    "NOT_REGISTERED",
    "NOT_UNDERSTOOD",
    "NO_CHANGE",
    "PIECE",
    "PLAIN_REPLIES",
    "PORT",
    "PURPOSEFUL",
    "PUSH",
    "QUIESCE",
    "QUIESCE_MEMBER",
    "REGISTRATION",
    "REGISTRATION_REPLY",
    "REPLY_TO",
    "SELF_REGISTERED",
    "SEND_WEIGHTS",
    "SET_LB_STATE",
    "SET_LB_STATE_REPLY",
    "SET_MEMBER_STATE",
    "SET_MEMBER_STATE_REPLY",
    "SHORT",
    "SUCCESS",
    "TCP",
    "TRUST",
    "UID_MOST",
    "UNKNOWN_GROUP",
    "UNKNOWN_LB",
    "VERSION",
    "WEIGHT_ENTRY",
    "WEIGHT_MOST",
    "Deregistration",
    "Framer",
    "FramingError",
    "GetWeights",
    "GetWeightsReply",
    "Group",
    "Member",
    "MemberState",
    "Members",
    "Message",
    "Registration",
    "Reply",
    "SaspError",
    "SendWeights",
    "SetLbState",
    "SetMemberState",
    "States",
    "Weight",
    "Weights",
    "frame",
    "group_of_weights",
    "packed",
    "send_weights_frame",
    "unpacked",
    "write",
    "write_entry",
    "write_group",
    "write_member",
]

HEADER = HEADER_TYPE
GROUP_DATA = GROUP_DATA_TYPE
WEIGHT_ENTRY = WEIGHT_ENTRY_TYPE

REGISTRATION: int = MessageType.REGISTRATION
REGISTRATION_REPLY: int = MessageType.REGISTRATION_REPLY
DEREGISTRATION: int = MessageType.DEREGISTRATION
DEREGISTRATION_REPLY: int = MessageType.DEREGISTRATION_REPLY
GET_WEIGHTS: int = MessageType.GET_WEIGHTS
GET_WEIGHTS_REPLY: int = MessageType.GET_WEIGHTS_REPLY
SEND_WEIGHTS: int = MessageType.SEND_WEIGHTS
SET_LB_STATE: int = MessageType.SET_LB_STATE
SET_LB_STATE_REPLY: int = MessageType.SET_LB_STATE_REPLY
SET_MEMBER_STATE: int = MessageType.SET_MEMBER_STATE
SET_MEMBER_STATE_REPLY: int = MessageType.SET_MEMBER_STATE_REPLY
REPLY_TO = REPLY_TYPES
PLAIN_REPLIES = SIMPLE_REPLY_TYPES

SUCCESS: int = ReturnCode.SUCCESS
NOT_UNDERSTOOD: int = ReturnCode.NOT_UNDERSTOOD
NOT_ACCEPTED: int = ReturnCode.NOT_ACCEPTED
ALREADY_REGISTERED: int = ReturnCode.ALREADY_REGISTERED
NOT_REGISTERED: int = ReturnCode.NOT_REGISTERED
UNKNOWN_GROUP: int = ReturnCode.UNKNOWN_GROUP
UNKNOWN_LB: int = ReturnCode.UNKNOWN_LB
DUPLICATE_MEMBER: int = ReturnCode.DUPLICATE_MEMBER
INVALID_GROUP: int = ReturnCode.INVALID_GROUP
DUPLICATE_GROUP: int = ReturnCode.DUPLICATE_GROUP
INVALID_GROUP_NAME: int = ReturnCode.INVALID_GROUP_NAME
INVALID_LB_UID: int = ReturnCode.INVALID_LB_UID
LB_NOT_SEEN: int = ReturnCode.LB_NOT_SEEN

UID_MOST = MAX_UID_BYTES
WEIGHT_MOST = MAX_WEIGHT

HEAD = MESSAGE_HEADER
PIECE = COMPONENT_HEADER
BYTE = UINT8
SHORT = UINT16
ENTRY_TAIL = WEIGHT_ENTRY_TAIL

Weight = WeightEntry
Members = MemberGroup
Weights = WeightGroup
States = StateGroup

Framer = FrameReader
frame = encode_frame
group_of_weights = encode_weight_group
packed = pack_address
send_weights_frame = encode_send_weights
unpacked = unpack_address
write = encode_message
write_entry = encode_weight_entry
write_group = encode_group
write_member = encode_member
