"""Requests and responses as the server's handlers see them."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple


class Request(NamedTuple):
    """A complete request. Header names are lower-case; the body is decompressed."""

    method: str
    path: str  # with the query string
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """A response; content type, content length and connection management are added by the server."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[Request], Response]
