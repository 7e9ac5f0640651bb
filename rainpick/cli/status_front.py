"""Requests to the status front of a director, and the shape of its answers."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import TypedDict, cast

from rainpick.cli.errors import CommandError
from rainpick.cli.options import parse_address


class Pin(TypedDict):
    """Who keeps a table at the content of a version, and why."""

    version: int
    who: str
    why: str


class TableSummary(TypedDict):
    """A table: its newest version, its size, and the versions that can still be shown or rolled back to."""

    table: int
    version: int
    digest: str
    lines: int
    open: int
    proxies: int
    kept: list[int]
    pinned: Pin | None


class TableVersion(TypedDict):
    """The content of one version: the weight of each server, 0 for one that gets no calls."""

    table: int
    version: int
    digest: str
    lines: dict[str, int]


class ServerStatus(TypedDict):
    """A server of the endpoint list. ``tables``: its published weight by table number."""

    address: str
    state: str
    weight: float
    zone: str
    machine: str
    pod: int
    age_s: float | None
    withdrawn: bool
    tables: dict[str, int]


class ProxyStatus(TypedDict):
    """A proxy that has joined. ``table`` is None while it has the table it was started with."""

    uid: str
    number: int
    table: int | None
    push: bool
    blocked: bool
    peer: str
    rate: float


class StreamCounts(TypedDict):
    """Streams of members and proxies."""

    open: int


class ChannelStatus(TypedDict):
    """The queue of messages to proxies, in lines of tables."""

    lines: int
    lines_most: int
    limit: int
    messages: int
    blocked: int


class CommandCounts(TypedDict):
    """What the decisions have caused so far."""

    messages: int


class DirectorStatus(TypedDict):
    """What GET /status answers, as far as it is read here; until the decisions begin it has no channel."""

    director: int
    phase: str
    up_s: float
    threads: int
    streams: StreamCounts
    reports: dict[str, int]
    engine: CommandCounts
    channel: ChannelStatus
    servers: list[ServerStatus]
    proxies: list[ProxyStatus]


def fetch_status(address: str) -> DirectorStatus:
    """The whole state of the director whose status front is at ``HOST:PORT``."""
    code, body = _call(address, "GET", "/status")
    if code != 200:
        raise CommandError(f"{address} answers {code}: {body.decode(errors='replace')}")
    return cast(DirectorStatus, json.loads(body))


def fetch_tables(address: str) -> list[TableSummary]:
    """A summary of each table."""
    state = _call_json(address, "GET", "/status")
    return cast(list[TableSummary], state.get("tables", []))


def fetch_table_version(address: str, table: int, version: int | None) -> TableVersion:
    """The content of a version, the newest if ``version`` is None."""
    fields = {"table": table, "version": version}
    return cast(TableVersion, _call_json(address, "POST", "/tables/show", fields))


def change_table(address: str, action: str, fields: Mapping[str, int | str | None]) -> TableSummary:
    """Pin, roll back or release a table; its state after that."""
    return cast(TableSummary, _call_json(address, "POST", f"/tables/{action}", fields))


def _call_json(
    address: str, method: str, path: str, fields: Mapping[str, int | str | None] | None = None
) -> dict[str, object]:
    """The object in the answer; ``CommandError`` with the director's reason if it refuses."""
    code, body = _call(address, method, path, b"" if fields is None else json.dumps(fields).encode())
    answer: dict[str, object] = json.loads(body)
    if code != 200:
        raise CommandError(str(answer.get("error", code)))
    return answer


def _call(address: str, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    """The status code and body of the answer."""
    from rainpick.http1.client import Client

    code, _, answer = Client(*parse_address(address)).call(method, path, body)
    return code, answer
