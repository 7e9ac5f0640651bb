"""Numbers of SASP version 1 (RFC 4678, sections 4 to 6): types, return codes, flags and limits."""

from __future__ import annotations

from enum import IntEnum

VERSION = 1
PORT = 3860  # TCP port of the director (section 4)
TCP = 6  # IP protocol number of members

MAX_UID_BYTES = 64  # limit of an LB UID (section 5.2)
MAX_TEXT_BYTES = 255  # limit of other texts: their length field is one byte
MAX_WEIGHT = 0xFFFF


# Types of the components of a message (sections 5.1 to 5.8). Like the flags below they are plain integers
# and not an Enum: they are packed or compared for every weight entry, and Enum member access is slower.
HEADER_TYPE = 0x2010
MEMBER_DATA_TYPE = 0x3010
GROUP_DATA_TYPE = 0x3011
WEIGHT_ENTRY_TYPE = 0x3012
MEMBER_STATE_TYPE = 0x3013
GROUP_OF_MEMBERS_TYPE = 0x4010
GROUP_OF_WEIGHTS_TYPE = 0x4011
GROUP_OF_STATES_TYPE = 0x4012


class MessageType(IntEnum):
    """Types of messages (section 6)."""

    REGISTRATION = 0x1010
    REGISTRATION_REPLY = 0x1015
    DEREGISTRATION = 0x1020
    DEREGISTRATION_REPLY = 0x1025
    GET_WEIGHTS = 0x1030
    GET_WEIGHTS_REPLY = 0x1035
    SEND_WEIGHTS = 0x1040
    SET_LB_STATE = 0x1050
    SET_LB_STATE_REPLY = 0x1055
    SET_MEMBER_STATE = 0x1060
    SET_MEMBER_STATE_REPLY = 0x1065


REPLY_TYPES: dict[int, MessageType] = {
    MessageType.REGISTRATION: MessageType.REGISTRATION_REPLY,
    MessageType.DEREGISTRATION: MessageType.DEREGISTRATION_REPLY,
    MessageType.GET_WEIGHTS: MessageType.GET_WEIGHTS_REPLY,
    MessageType.SET_LB_STATE: MessageType.SET_LB_STATE_REPLY,
    MessageType.SET_MEMBER_STATE: MessageType.SET_MEMBER_STATE_REPLY,
}
# Replies that carry only a return code
SIMPLE_REPLY_TYPES = frozenset(REPLY_TYPES.values()) - {MessageType.GET_WEIGHTS_REPLY}


class ReturnCode(IntEnum):
    """Return codes of replies (tables in section 6)."""

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


# Flag of Registration, Deregistration and Set Member State: sent by a load balancer, not by a member
FROM_LB = 0x80
# Flags of Set LB State (section 6.5)
PUSH = 0x80
TRUST = 0x40
NO_CHANGE = 0x20
# Flag of a member state (section 5.4)
QUIESCE_MEMBER = 0x80
# Flags of a weight entry (section 5.3)
CONTACT = 0x80
QUIESCE = 0x40
SELF_REGISTERED = 0x20
CONFIDENT = 0x10
# Reason in a Deregistration (section 6.2)
PURPOSEFUL = 0x01
