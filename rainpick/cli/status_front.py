"""Client of a director's status frontend, and the types of its JSON responses."""

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
    """A table with its latest version.

    ``lines`` is the number of its servers, ``open`` the number of those with a weight above 0. ``kept``
    has the numbers of the versions that can be shown or rolled back to.
    """

    table: int
    version: int
    digest: str
    lines: int
    open: int
    proxies: int
    kept: list[int]
    pinned: Pin | None


class TableVersion(TypedDict):
    """The entries of a version of a table. ``lines`` has the weight of each server, 0 for a withdrawn one."""

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
    """A proxy that has joined. ``table`` is None while the proxy uses its default table.

    ``push``: whether the director pushes changes; otherwise the proxy polls. ``blocked``: whether the proxy
    accepts no more messages at present. ``rate``: requests per second.
    """

    uid: str
    number: int
    table: int | None
    push: bool
    blocked: bool
    peer: str
    rate: float


class StreamCounts(TypedDict):
    """``open`` is the number of open streams of members and proxies."""

    open: int


class ChannelStatus(TypedDict):
    """The channel to the proxies: the number of queued lines, its maximum so far, and its limit.

    ``messages`` is the number of queued messages, ``blocked`` the number of proxies that accept no more
    messages at present.
    """

    lines: int
    lines_most: int
    limit: int
    messages: int
    blocked: int


class CommandCounts(TypedDict):
    """``messages`` is the number of messages to proxies since the decisions began."""

    messages: int


class DirectorStatus(TypedDict):
    """The fields of the response to GET /status that the command line uses.

    ``engine`` and the fields after it are absent until the decisions begin.
    """

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
    """Return the state of the director whose status frontend is at ``HOST:PORT``."""
    code, body = _request(address, "GET", "/status")
    if code != 200:
        raise CommandError(f"{address} answers {code}: {body.decode(errors='replace')}")
    return cast(DirectorStatus, json.loads(body))


def fetch_tables(address: str) -> list[TableSummary]:
    """Return a summary of each table; there are none until the decisions begin."""
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
