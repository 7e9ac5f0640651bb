"""The names under which events and commands are stored, apart from what the program calls them.

Records and exports hold type and field names. They are the names of the first records and never change: a
type or a field that is renamed in the program keeps its stored name here. A new type goes to the end, since
its position is its number in records; a new field goes to the end of its type.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from rainpick import interface as api


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
    stored(api.Started, "Started", "seed settings"),
    stored(api.Listed, "Listed", "kind servers version"),
    stored(api.TimerDue, "TimerDue", "token"),
    stored(api.ProbeEnded, "ProbeEnded", "server outcome took_us load"),
    stored(api.PeerSaid, "PeerSaid", "peer data"),
    stored(api.ProxyJoined, "ProxyJoined", "proxy fresh rate zone"),
    stored(api.ProxyLeft, "ProxyLeft", "proxy"),
    stored(api.Applied, "Applied", "proxy number took_us"),
    stored(api.ServerMet, "ServerMet", "server zone tries dropped mean_us span_us load"),
    stored(api.ProxyMet, "ProxyMet", "proxy route calls dropped span_us"),
    stored(api.SliceMet, "SliceMet", "slice route calls dropped span_us"),
    stored(api.SliceGiven, "SliceGiven", "slice on"),
    stored(api.SliceLine, "SliceLine", "slice server weight"),
    stored(api.SetLine, "SetLine", "table server weight"),
    stored(api.ClearTable, "ClearTable", "table"),
    stored(api.Withdraw, "Withdraw", "server on"),
    stored(api.Mark, "Mark", "number everyone"),
    stored(api.Bind, "Bind", "table routes proxy"),
    stored(api.Admit, "Admit", "table routes level retry"),
    stored(api.Probe, "Probe", "server"),
    stored(api.Tell, "Tell", "peer data"),
    stored(api.SetTimer, "SetTimer", "token delay_us"),
    stored(api.Subscribe, "Subscribe", "on"),
    stored(api.FetchList, "FetchList"),
    stored(api.Note, "Note", "text"),
    stored(api.Repeated, "Repeated", "number"),
)
# An entry of a list is no event of its own: records name it after all others.
STORED_ENTRY = stored(api.Server, "Server", "weight zone started_us machine cell address state")

CODES = {row.type: code for code, row in enumerate(STORED_TYPES)}
STORED_NAMES = {row.type: row.name for row in STORED_TYPES}
BY_STORED_NAME = {row.name: row for row in (*STORED_TYPES, STORED_ENTRY)}
# What a record says of the types in it: stored name and fields, by number.
TYPE_ROWS = tuple((row.name, *row.fields) for row in (*STORED_TYPES, STORED_ENTRY))
