"""JSON payloads of the MQTT frontend, their encoding and their JSON Schema.

``docs/tables.md`` specifies how a proxy handles each of them. The names in the JSON are part of the protocol:
``field(name=...)`` sets the protocol's name of an attribute that has a different name here.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

RouteName = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[^/+#\x00]+$")]
Address = Annotated[str, Meta(min_length=3, max_length=261)]  # HOST:PORT
UInt16 = Annotated[int, Meta(ge=0, le=65_535)]
Counter = Annotated[int, Meta(ge=0, le=1 << 40)]
TimestampNs = Annotated[int, Meta(gt=0, lt=1 << 62)]
RetryPolicy = Literal["never", "on_proof", "any_failure", "any_failure_twice"]
RETRY_POLICIES: tuple[RetryPolicy, ...] = ("never", "on_proof", "any_failure", "any_failure_twice")
Outcome = Literal["answered", "dropped", "throttled"]
FaultCause = Literal["gap", "digest", "epoch"]

MAX_PORT = 65_535


class PayloadError(ValueError):
    """The payload does not match the schema; the message states the position in the payload."""


class ServerWeight(Struct, array_like=True, frozen=True):
    """An entry of a table: a server and its weight, which is 0 if the server is withdrawn."""

    server: Address
    weight: UInt16


class TableSnapshot(Struct, tag="whole", tag_field="kind", frozen=True):
    """Message with all entries of a version of a table, and the digest of the table's canonical form."""

    epoch: str
    table: UInt16
    version: Counter
    digest: str
    lines: tuple[ServerWeight, ...]


class TableDelta(Struct, tag="change", tag_field="kind", frozen=True):
    """Delta between two versions of a table: new or changed entries, and removed servers."""

    epoch: str
    table: UInt16
    base_version: Counter = field(name="base")
    version: Counter
    digest: str
    updated: tuple[ServerWeight, ...] = field(default=(), name="set")
    removed: tuple[Address, ...] = field(default=(), name="out")


class RouteAdmission(Struct, frozen=True):
    """Admission rate of a route, in the unit that ``proxies.admit`` selects, and its retry policy."""

    route: RouteName
    rate: float = field(name="level")
    retry_policy: RetryPolicy = field(name="retry")


class ProxyAssignment(Struct, tag="orders", tag_field="kind", frozen=True):
    """Assignment of one proxy: its table, its admission rates and the update of the table.

    If the table is null, the proxy keeps its current servers, and ``updated`` and ``removed`` are withdrawals
    and readmissions of these servers.
    """

    epoch: str
    table: UInt16 | None
    admissions: tuple[RouteAdmission, ...] = field(default=(), name="levels")
    table_update: TableSnapshot | TableDelta | None = field(default=None, name="part")
    updated: tuple[ServerWeight, ...] = field(default=(), name="set")
    removed: tuple[Address, ...] = field(default=(), name="out")


class Presence(Struct, tag="presence", tag_field="kind", frozen=True):
    """A proxy joins or leaves. It may hold a version of a table, or only servers without known weights."""

    state: Literal["here", "gone"]
    epoch: str = ""
    table: UInt16 | None = None
    version: Counter = 0
    digest: str = ""
    servers: Annotated[tuple[Address, ...], Meta(max_length=10_000)] = field(default=(), name="holds")


class SyncFault(Struct, tag="trouble", tag_field="kind", frozen=True):
    """A proxy needs a snapshot: it missed a version, or its digest or epoch is not that of the director."""

    cause: FaultCause = field(name="why")
    epoch: str = ""
    table: UInt16 | None = None
    version: Counter = 0


class ServerAttempts(Struct, array_like=True, frozen=True):
    """Attempts at one server with the same outcome, and their total duration in seconds."""

    server: Address
    outcome: Outcome
    count: Counter
    total_s: Annotated[float, Meta(ge=0, le=1e12)]


class RouteRequests(Struct, array_like=True, frozen=True):
    """Client requests of one route with the same outcome."""

    route: RouteName
    outcome: Outcome
    count: Counter


class LoadReport(Struct, tag="met", tag_field="kind", frozen=True):
    """Measurements of a proxy in an interval; times are nanoseconds of the proxy's clock."""

    start_ns: TimestampNs
    end_ns: TimestampNs
    attempts: Annotated[tuple[ServerAttempts, ...], Meta(max_length=10_000)] = field(default=(), name="tries")
    requests: Annotated[tuple[RouteRequests, ...], Meta(max_length=1_000)] = field(default=(), name="calls")


TableUpdate = TableSnapshot | TableDelta
DirectorMessage = TableSnapshot | TableDelta | ProxyAssignment
ProxyMessage = Presence | SyncFault | LoadReport

encode = msgspec.json.Encoder().encode
_director_decoder = msgspec.json.Decoder(DirectorMessage)
_proxy_decoder = msgspec.json.Decoder(ProxyMessage)


def decode_proxy_message(data: bytes) -> ProxyMessage:
    """Decode a message of a proxy; ``PayloadError`` if it does not match the schema."""
    try:
        return _proxy_decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise PayloadError(str(error)) from None


def decode_director_message(data: bytes) -> DirectorMessage:
    """Decode a message of a director; ``PayloadError`` if it does not match the schema."""
    try:
        return _director_decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise PayloadError(str(error)) from None


def format_address(key: tuple[str, int]) -> str:
    """Format the address of a server for payloads.

    >>> format_address(("127.0.0.1", 9001))
    '127.0.0.1:9001'
    """
    return f"{key[0]}:{key[1]}"


def parse_address(address: str) -> tuple[str, int]:
    """Parse ``HOST:PORT``; ``PayloadError`` for any other text.

    >>> parse_address("127.0.0.1:9001")
    ('127.0.0.1', 9001)
    """
    host, colon, port = address.rpartition(":")
    if not host or not colon or not port.isdecimal() or int(port) > MAX_PORT:
        raise PayloadError(f"{address!r} is not HOST:PORT")
    return host, int(port)


_REFERENCE_PREFIX = "#/$defs/"
# Names of types in the published schema. They must not change, since implementations of proxies may use them.
_SCHEMA_NAMES = {
    "TableSnapshot": "Whole",
    "TableDelta": "Change",
    "ServerWeight": "Line",
    "RouteAdmission": "Level",
    "ProxyAssignment": "Orders",
    "SyncFault": "Trouble",
    "ServerAttempts": "Tries",
    "RouteRequests": "Came",
    "LoadReport": "Met",
}


def schema() -> dict[str, Any]:
    """Return the JSON Schema of all payloads: ``down`` to proxies, ``up`` to the director."""
    (director, proxy), definitions = msgspec.json.schema_components(
        [DirectorMessage, ProxyMessage], ref_template=_REFERENCE_PREFIX + "{name}"
    )
    return {
        "$defs": {_schema_name(name): _renamed(definition) for name, definition in definitions.items()},
        "down": _renamed(director),
        "up": _renamed(proxy),
    }


def _renamed(node: Any) -> Any:
    """Replace type names in references and titles at any depth of a schema."""
    if isinstance(node, dict):
        return {name: _renamed(value) for name, value in node.items()}
    if isinstance(node, list):
        return [_renamed(item) for item in node]
    return _schema_name(node) if isinstance(node, str) else node


def _schema_name(text: str) -> str:
    prefix = _REFERENCE_PREFIX if text.startswith(_REFERENCE_PREFIX) else ""
    name = text.removeprefix(prefix)
    return prefix + _SCHEMA_NAMES.get(name, name)
