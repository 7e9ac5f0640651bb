"""Client of a director's status front, and the types of its JSON responses."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import TypedDict, cast

from rainpick.cli.errors import CommandError
from rainpick.cli.options import parse_address


class Pin(TypedDict):
    """A pin of a table: the pinned version, the operator and the reason."""

    version: int
    who: str
    why: str


class TableSummary(TypedDict):
    """A table: its latest version and size. ``kept`` has the versions that can be shown or rolled back to."""

    table: int
    version: int
    digest: str
    lines: int
    open: int
    proxies: int
    kept: list[int]
    pinned: Pin | None


class TableVersion(TypedDict):
    """The entries of a version: the weight of each server, 0 if it gets no attempts."""

    table: int
    version: int
    digest: str
    lines: dict[str, int]


class ServerStatus(TypedDict):
    """A server of the endpoint list. ``tables`` has its published weight by table number."""

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
    """A proxy that has joined. ``table`` is None while the proxy uses its default table."""

    uid: str
    number: int
    table: int | None
    push: bool
    blocked: bool
    peer: str
    rate: float


class StreamCounts(TypedDict):
    """Counts of streams of members and proxies."""

    open: int


class ChannelStatus(TypedDict):
    """The channel to the proxies; ``lines`` are queued, ``lines_most`` is the maximum so far."""

    lines: int
    lines_most: int
    limit: int
    messages: int
    blocked: int


class CommandCounts(TypedDict):
    """Counts of effects of the decisions so far."""

    messages: int


class DirectorStatus(TypedDict):
    """The used fields of the response to GET /status. ``channel`` is absent until the decisions begin."""

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
    """Return the state of the director whose status front is at ``HOST:PORT``."""
    code, body = _request(address, "GET", "/status")
    if code != 200:
        raise CommandError(f"{address} answers {code}: {body.decode(errors='replace')}")
    return cast(DirectorStatus, json.loads(body))


def fetch_tables(address: str) -> list[TableSummary]:
    """Return a summary of each table."""
    state = _request_json(address, "GET", "/status")
    return cast(list[TableSummary], state.get("tables", []))


def fetch_table_version(address: str, table: int, version: int | None) -> TableVersion:
    """Return the entries of a version, the latest if ``version`` is None."""
    fields = {"table": table, "version": version}
    return cast(TableVersion, _request_json(address, "POST", "/tables/show", fields))


def change_table(address: str, action: str, fields: Mapping[str, int | str | None]) -> TableSummary:
    """Pin, roll back or release a table, and return its state after the change."""
    return cast(TableSummary, _request_json(address, "POST", f"/tables/{action}", fields))


def _request_json(
    address: str, method: str, path: str, fields: Mapping[str, int | str | None] | None = None
) -> dict[str, object]:
    """Send a request and return the JSON object of the response; ``CommandError`` if it is an error."""
    code, body = _request(address, method, path, b"" if fields is None else json.dumps(fields).encode())
    response: dict[str, object] = json.loads(body)
    if code != 200:
        raise CommandError(str(response.get("error", code)))
    return response


def _request(address: str, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    """Send a request and return the status code and the body of the response."""
    from rainpick.http1.client import Client

    code, _, response = Client(*parse_address(address)).request(method, path, body)
    return code, response
