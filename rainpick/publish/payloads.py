"""The payloads of the publish-subscribe front, with their schema. JSON, in the words of the project.

``docs/tables.md`` says what a proxy does with each; ``schema`` gives the JSON Schema that is published there.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

ROOT = "rainpick/v1"
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[^/+#\x00]+$")]
Place = Annotated[str, Meta(min_length=3, max_length=261)]
Number = Annotated[int, Meta(ge=0, le=65_535)]
Count = Annotated[int, Meta(ge=0, le=1 << 40)]
Retry = Literal["never", "on_proof", "any_failure", "any_failure_twice"]
RETRIES: tuple[Retry, ...] = ("never", "on_proof", "any_failure", "any_failure_twice")


class PayloadError(ValueError):
    """A payload that is not what its schema says; the text names the place in it."""


class Line(Struct, array_like=True, frozen=True):
    """A server and its weight; 0: shut out, though it stands in the table."""

    server: Place
    weight: Number


class Whole(Struct, tag="whole", tag_field="kind", frozen=True):
    """A version of a table from the first line to the last."""

    epoch: str
    table: Number
    version: Count
    digest: str
    lines: tuple[Line, ...]


class Change(Struct, tag="change", tag_field="kind", frozen=True):
    """From one version of a table to another: lines that are new or other, servers that are out."""

    epoch: str
    table: Number
    base: Count
    version: Count
    digest: str
    set: tuple[Line, ...] = ()
    out: tuple[Place, ...] = ()


class Level(Struct, frozen=True):
    """How much of a route is let in (by ``proxies.admit``), and when another server is tried."""

    route: Name
    level: float
    retry: Retry


class Orders(Struct, tag="orders", tag_field="kind", frozen=True):
    """For one proxy alone: its table (null: it keeps what it has), its levels, and the way to its table.

    Without a table ``set`` and ``out`` are withdrawals from, and returns to, what it holds from before.
    """

    epoch: str
    table: Number | None
    levels: tuple[Level, ...] = ()
    part: Whole | Change | None = None
    set: tuple[Line, ...] = ()
    out: tuple[Place, ...] = ()


class Presence(Struct, tag="presence", tag_field="kind", frozen=True):
    """A proxy is here; what it holds: a version of a table, or servers of unknown weight."""

    state: Literal["here", "gone"]
    epoch: str = ""
    table: Number | None = None
    version: Count = 0
    digest: str = ""
    holds: Annotated[tuple[Place, ...], Meta(max_length=10_000)] = ()


class Trouble(Struct, tag="trouble", tag_field="kind", frozen=True):
    """A proxy can't follow: a change did not fit, or ended in another digest."""

    why: Literal["gap", "digest", "epoch"]
    epoch: str = ""
    table: Number | None = None
    version: Count = 0


class Tries(Struct, array_like=True, frozen=True):
    server: Place
    outcome: Literal["answered", "dropped", "throttled"]
    count: Count
    seconds: Annotated[float, Meta(ge=0, le=1e12)]


class Came(Struct, array_like=True, frozen=True):
    route: Name
    outcome: Literal["answered", "dropped", "throttled"]
    count: Count


class Met(Struct, tag="met", tag_field="kind", frozen=True):
    """What a proxy met in a period; times are nanoseconds of its clock."""

    start_ns: Annotated[int, Meta(gt=0, lt=1 << 62)]
    end_ns: Annotated[int, Meta(gt=0, lt=1 << 62)]
    tries: Annotated[tuple[Tries, ...], Meta(max_length=10_000)] = ()
    calls: Annotated[tuple[Came, ...], Meta(max_length=1_000)] = ()


Down = Whole | Change | Orders
Up = Presence | Trouble | Met
encode = msgspec.json.Encoder().encode
_down, _up = msgspec.json.Decoder(Down), msgspec.json.Decoder(Up)


def read_up(data: bytes) -> Up:
    """What a proxy says."""
    try:
        return _up.decode(data)
    except (msgspec.MsgspecError, RecursionError) as flaw:
        raise PayloadError(str(flaw)) from None


def read_down(data: bytes) -> Down:
    """What a director says."""
    try:
        return _down.decode(data)
    except (msgspec.MsgspecError, RecursionError) as flaw:
        raise PayloadError(str(flaw)) from None


def schema() -> dict[str, Any]:
    """JSON Schema of all payloads."""
    (down, up), parts = msgspec.json.schema_components([Down, Up], ref_template="#/$defs/{name}")
    return {"$defs": parts, "down": down, "up": up}


def place(key: tuple[str, int]) -> str:
    return f"{key[0]}:{key[1]}"


def key(text: str) -> tuple[str, int]:
    """``HOST:PORT``; ``PayloadError`` for anything else."""
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdecimal() or int(port) > 65_535:
        raise PayloadError(f"{text!r} is not HOST:PORT")
    return host, int(port)


def orders_topic(uid: str) -> str:
    return f"{ROOT}/proxy/{uid}/orders"


def table_topic(table: int) -> str:
    return f"{ROOT}/table/{table}"


def up_topic(uid: str, what: str) -> str:
    return f"{ROOT}/proxy/{uid}/{what}"
