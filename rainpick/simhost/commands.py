"""Encodes a director's commands as the records of a reply.

A record consists of its code, the number of the simulated director that issued the command
(the instance), and the code's fields.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from struct import Struct
from typing import Any, TypeAlias

from rainpick import model

CommandEncoder: TypeAlias = Callable[[int, Any], bytes]  # simulated director's number, command -> record

MAX_TEXT_BYTES = 65_535
MAX_TIMER_DELAY_US = 0xFFFFFFFF
ALL_PEERS = 65_535  # peer number for all other directors; the model uses None
PEER_MESSAGE_CODE = 1100
FAILURE_CODE = 1090
TEXT_HEADER = Struct(">HIH")  # code, instance, length of the text
PEER_MESSAGE_HEADER = Struct(">HIHH")  # code, instance, peer, length of the data


def fixed_layout(code: int, layout: str, fields: Callable[[Any], Iterable[Any]] = tuple) -> CommandEncoder:
    """Return an encoder for a fixed layout; ``fields`` returns the values to pack, by default all fields."""
    pack = Struct(">HI" + layout).pack
    return lambda instance, command: pack(code, instance, *fields(command))


def encode_text(code: int, instance: int, text: str) -> bytes:
    """Encode a record that holds one text, truncated to ``MAX_TEXT_BYTES``."""
    data = text.encode()[:MAX_TEXT_BYTES]
    return TEXT_HEADER.pack(code, instance, len(data)) + data


def encode_log_message(instance: int, command: model.LogMessage) -> bytes:
    """Encode the text of a log message."""
    return encode_text(1010, instance, command.text)


def encode_failure(instance: int, reason: str) -> bytes:
    """Encode the report of an exception that an instance's step raised."""
    return encode_text(FAILURE_CODE, instance, reason)


def encode_peer_message(instance: int, command: model.SendPeerMessage) -> bytes:
    """Encode a message to one other director or to all others."""
    peer = ALL_PEERS if command.peer is None else command.peer
    header = PEER_MESSAGE_HEADER.pack(PEER_MESSAGE_CODE, instance, peer, len(command.data))
    return header + command.data


def timer_fields(command: model.SetTimer) -> tuple[int, int]:
    """Return the token and the delay in microseconds, clamped to the range of a 32-bit field."""
    return command.token, max(0, min(command.delay_us, MAX_TIMER_DELAY_US))


ENCODERS: dict[type, CommandEncoder] = {
    model.ClearTable: fixed_layout(1000, "H"),
    model.LogMessage: encode_log_message,
    model.SetWithdrawn: fixed_layout(1020, "6sB"),
    model.RequestAcknowledgement: fixed_layout(1030, "QB"),
    model.BindProxy: fixed_layout(1040, "HHH"),
    model.SetWeight: fixed_layout(1050, "H6sf"),
    model.Subscribe: fixed_layout(1060, "B"),
    model.FetchEndpoints: fixed_layout(1070, ""),
    model.ProbeServer: fixed_layout(1080, "6s"),
    model.SendPeerMessage: encode_peer_message,
    model.SetTimer: fixed_layout(1110, "QI", timer_fields),
    model.SetAdmission: fixed_layout(1120, "HHfB"),
}
