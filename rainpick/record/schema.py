"""Stored names of events and commands, independent of the names in the program.

Records and exports contain type and field names. These are the names of the first records and never change:
if a type or a field is renamed in the program, it keeps its stored name here. Append new types at the end of
the table, since the position of a type is its code in records, and new fields at the end of their type.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Any, NamedTuple

from rainpick import model


class StoredType(NamedTuple):
    """A class of the model with its stored name and the stored names of its fields, in order."""

    type: type[Any]
    name: str
    fields: tuple[str, ...]


def stored_type(value_type: type[Any], name: str, fields: str = "") -> StoredType:
    """Return a row of ``STORED_TYPES``; ``ValueError`` if the class has a different number of fields."""
    names = tuple(fields.split())
    if len(names) != len(value_type._fields):
        raise ValueError(f"{name}: {len(names)} stored fields, {len(value_type._fields)} in the program")
    return StoredType(value_type, name, names)


# The position of a type is its code in records.
STORED_TYPES = (
    stored_type(model.Started, "Started", "seed settings"),
    stored_type(model.EndpointUpdate, "Listed", "kind servers version"),
    stored_type(model.TimerFired, "TimerDue", "token"),
    stored_type(model.ProbeCompleted, "ProbeEnded", "server outcome took_us load"),
    stored_type(model.PeerMessageReceived, "PeerSaid", "peer data"),
    stored_type(model.ProxyJoined, "ProxyJoined", "proxy fresh rate zone"),
    stored_type(model.ProxyLeft, "ProxyLeft", "proxy"),
    stored_type(model.Acknowledged, "Applied", "proxy number took_us"),
    stored_type(model.ServerLoadReport, "ServerMet", "server zone tries dropped mean_us span_us load"),
    stored_type(model.RouteLoadReport, "ProxyMet", "proxy route calls dropped span_us"),
    stored_type(model.KeyRangeLoadReport, "SliceMet", "slice route calls dropped span_us"),
    stored_type(model.KeyRangeAssigned, "SliceGiven", "slice on"),
    stored_type(model.KeyRangeWeight, "SliceLine", "slice server weight"),
    stored_type(model.SetWeight, "SetLine", "table server weight"),
    stored_type(model.ClearTable, "ClearTable", "table"),
    stored_type(model.SetWithdrawn, "Withdraw", "server on"),
    stored_type(model.RequestAcknowledgement, "Mark", "number everyone"),
    stored_type(model.BindProxy, "Bind", "table routes proxy"),
    stored_type(model.SetAdmission, "Admit", "table routes level retry"),
    stored_type(model.ProbeServer, "Probe", "server"),
    stored_type(model.SendPeerMessage, "Tell", "peer data"),
    stored_type(model.SetTimer, "SetTimer", "token delay_us"),
    stored_type(model.Subscribe, "Subscribe", "on"),
    stored_type(model.FetchEndpoints, "FetchList"),
    stored_type(model.LogMessage, "Note", "text"),
    stored_type(model.Retransmitted, "Repeated", "number"),
)
# An endpoint is not an event but a part of ``EndpointUpdate``. Records declare it after all other types.
STORED_ENDPOINT = stored_type(model.Endpoint, "Server", "weight zone started_us machine cell address state")

CODES = {row.type: code for code, row in enumerate(STORED_TYPES)}
STORED_NAMES = {row.type: row.name for row in STORED_TYPES}
BY_STORED_NAME = {row.name: row for row in (*STORED_TYPES, STORED_ENDPOINT)}
BY_TYPE = {row.type: row for row in (*STORED_TYPES, STORED_ENDPOINT)}
# The type declarations of a record: stored name and fields, by type code.
TYPE_DECLARATIONS = tuple((row.name, *row.fields) for row in (*STORED_TYPES, STORED_ENDPOINT))

# Records from before December 2026 do not declare their types. They contain these types.
DEFAULT_TYPE_DECLARATIONS = tuple(
    tuple(row.split())
    for row in (
        "Started seed settings",
        "Listed kind servers version",
        "TimerDue token",
        "ProbeEnded server outcome took_us load",
        "PeerSaid peer data",
        "ProxyJoined proxy fresh rate zone",
        "ProxyLeft proxy",
        "Applied proxy number took_us",
        "ServerMet server zone tries dropped mean_us span_us load",
        "ProxyMet proxy route calls dropped span_us",
        "SliceMet slice route calls dropped span_us",
        "SliceGiven slice on",
        "SliceLine slice server weight",
        "SetLine table server weight",
        "ClearTable table",
        "Withdraw server on",
        "Mark number everyone",
        "Bind table routes proxy",
        "Admit table routes level retry",
        "Probe server",
        "Tell peer data",
        "SetTimer token delay_us",
        "Subscribe on",
        "FetchList",
        "Note text",
        "Server weight zone started_us machine cell address state",
    )
)


def format_address(address: Any) -> str:
    """Format the address of a server for output.

    >>> format_address(("10.0.0.1", 80))
    '10.0.0.1:80'
    """
    if isinstance(address, tuple) and len(address) == 2:
        return f"{address[0]}:{address[1]}"
    return str(address)


def describe(value: Any) -> str:
    """Format a value for output. Stored names keep the output independent of renames in the program.

    >>> describe(model.TimerFired(3))
    'TimerDue(token=3)'
    >>> describe(model.EndpointUpdate(model.UpdateKind.FAILED, (), 0))
    'Listed(kind=3, servers=(), version=0)'
    """
    row = BY_TYPE.get(type(value))
    if row is not None:
        pairs = zip(row.fields, value, strict=True)
        return f"{row.name}({', '.join(f'{name}={describe(field)}' for name, field in pairs)})"
    if type(value) is tuple:
        inner = ", ".join(map(describe, value))
        return f"({inner},)" if len(value) == 1 else f"({inner})"
    return repr(int(value) if isinstance(value, IntEnum) else value)
