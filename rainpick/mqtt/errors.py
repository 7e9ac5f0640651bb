"""Reason codes (section 2.4) and the exception that carries one."""

from __future__ import annotations

from enum import IntEnum


class ReasonCode(IntEnum):
    """Result of an operation in acknowledgements and DISCONNECT; 0x80 and above are failures.

    A received packet may contain a code that is not listed here, so packet fields are plain integers.
    """

    SUCCESS = 0x00
    NO_MATCHING_SUBSCRIBERS = 0x10
    NO_SUBSCRIPTION_EXISTED = 0x11
    UNSPECIFIED_ERROR = 0x80
    MALFORMED_PACKET = 0x81
    PROTOCOL_ERROR = 0x82
    UNSUPPORTED_PROTOCOL_VERSION = 0x84
    CLIENT_IDENTIFIER_NOT_VALID = 0x85
    NOT_AUTHORIZED = 0x87
    SERVER_BUSY = 0x89
    KEEP_ALIVE_TIMEOUT = 0x8D
    SESSION_TAKEN_OVER = 0x8E
    TOPIC_FILTER_INVALID = 0x8F
    TOPIC_NAME_INVALID = 0x90
    RECEIVE_MAXIMUM_EXCEEDED = 0x93
    PACKET_TOO_LARGE = 0x95
    QUOTA_EXCEEDED = 0x97
    PAYLOAD_FORMAT_INVALID = 0x99
    QOS_NOT_SUPPORTED = 0x9B


class MqttError(Exception):
    """The peer violated the standard; ``reason_code`` is the code for disconnecting it."""

    def __init__(self, message: str, reason_code: int = ReasonCode.MALFORMED_PACKET):
        super().__init__(message)
        self.reason_code = reason_code
