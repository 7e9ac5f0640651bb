"""Types for the requests and responses of the server's handlers."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple


class Request(NamedTuple):
    """A complete request. Header names are lower-case; the body is decompressed."""

    method: str
    path: str  # path and query string
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """A response; the server adds the content type, content length and connection headers."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[Request], Response]
