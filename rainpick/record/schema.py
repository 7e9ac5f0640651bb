"""The names under which events and commands are stored, apart from what the program calls them.

Records and exports hold type and field names. They are the names of the first records and never change: a
type or a field that is renamed in the program keeps its stored name here. A new type goes to the end, since
its position is its number in records; a new field goes to the end of its type.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Any, NamedTuple

from rainpick import model


class StoredType(NamedTuple):
    """A type as records have it: the class, its stored name, and the stored names of its fields in order."""

    type: type[Any]
    name: str
    fields: tuple[str, ...]


def stored(kind: type[Any], name: str, fields: str = "") -> StoredType:
    """A row of the table; ``ValueError`` if the class has another number of fields."""
    names = tuple(fields.split())
    if len(names) != len(kind._fields):
        raise ValueError(f"{name}: {len(names)} stored fields, {len(kind._fields)} in the program")
    return StoredType(kind, name, names)


# The position of a type is its number in records.
STORED_TYPES = (
    stored(model.Started, "Started", "seed settings"),
    stored(model.EndpointUpdate, "Listed", "kind servers version"),
    stored(model.TimerFired, "TimerDue", "token"),
    stored(model.ProbeCompleted, "ProbeEnded", "server outcome took_us load"),
    stored(model.PeerMessageReceived, "PeerSaid", "peer data"),
    stored(model.ProxyJoined, "ProxyJoined", "proxy fresh rate zone"),
    stored(model.ProxyLeft, "ProxyLeft", "proxy"),
    stored(model.Acknowledged, "Applied", "proxy number took_us"),
    stored(model.ServerLoadReport, "ServerMet", "server zone tries dropped mean_us span_us load"),
    stored(model.RouteLoadReport, "ProxyMet", "proxy route calls dropped span_us"),
    stored(model.KeyRangeLoadReport, "SliceMet", "slice route calls dropped span_us"),
    stored(model.KeyRangeAssigned, "SliceGiven", "slice on"),
    stored(model.KeyRangeWeight, "SliceLine", "slice server weight"),
    stored(model.SetWeight, "SetLine", "table server weight"),
    stored(model.ClearTable, "ClearTable", "table"),
    stored(model.SetWithdrawn, "Withdraw", "server on"),
    stored(model.RequestAcknowledgement, "Mark", "number everyone"),
    stored(model.BindProxy, "Bind", "table routes proxy"),
    stored(model.SetAdmission, "Admit", "table routes level retry"),
    stored(model.ProbeServer, "Probe", "server"),
    stored(model.SendPeerMessage, "Tell", "peer data"),
    stored(model.SetTimer, "SetTimer", "token delay_us"),
    stored(model.Subscribe, "Subscribe", "on"),
    stored(model.FetchEndpoints, "FetchList"),
    stored(model.LogMessage, "Note", "text"),
    stored(model.Retransmitted, "Repeated", "number"),
)
# An endpoint is part of an update and no event of its own: records declare it after all others.
STORED_ENTRY = stored(model.Endpoint, "Server", "weight zone started_us machine cell address state")

CODES = {row.type: code for code, row in enumerate(STORED_TYPES)}
STORED_NAMES = {row.type: row.name for row in STORED_TYPES}
BY_STORED_NAME = {row.name: row for row in (*STORED_TYPES, STORED_ENTRY)}
ROWS = {row.type: row for row in (*STORED_TYPES, STORED_ENTRY)}
# What a record declares of the types in it: stored name and fields, by number.
TYPE_ROWS = tuple((row.name, *row.fields) for row in (*STORED_TYPES, STORED_ENTRY))

# Records from before December 2026 do not declare their types; these are the types that they hold.
UNDECLARED_TYPE_ROWS = tuple(
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
    """A server's address as people read it.

    >>> format_address(("10.0.0.1", 80))
    '10.0.0.1:80'
    """
    if isinstance(address, tuple) and len(address) == 2:
        return f"{address[0]}:{address[1]}"
    return str(address)


def describe(value: Any) -> str:
    """A value as people read it, by its stored names: the output does not change with the program.

    >>> describe(model.TimerFired(3))
    'TimerDue(token=3)'
    >>> describe(model.EndpointUpdate(model.UpdateKind.FAILED, (), 0))
    'Listed(kind=3, servers=(), version=0)'
    """
    row = ROWS.get(type(value))
    if row is not None:
        pairs = zip(row.fields, value, strict=True)
        return f"{row.name}({', '.join(f'{name}={describe(field)}' for name, field in pairs)})"
    if type(value) is tuple:
        inner = ", ".join(map(describe, value))
        return f"({inner},)" if len(value) == 1 else f"({inner})"
    return repr(int(value) if isinstance(value, IntEnum) else value)
