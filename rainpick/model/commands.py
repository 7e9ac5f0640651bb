"""The commands that a director returns."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from rainpick.model.endpoints import Address

ALL_TABLES = 65535  # table number in SetAdmission that selects all joined proxies
ALL_ROUTES = 0  # route bit mask that selects all routes


class RetryPolicy(IntEnum):
    """The failures after which a proxy retries a request at another server."""

    NO_RETRY = 0
    ON_PROOF = 1  # only failures that prove that the attempt had no effect
    ANY_FAILURE = 2
    ANY_FAILURE_TWICE = 3


class SetWeight(NamedTuple):
    """Set the weight of a server in a shared table; weight 0 removes the server from it."""

    table: int
    server: Address
    weight: float


class ClearTable(NamedTuple):
    """Remove all servers from a table."""

    table: int


class SetWithdrawn(NamedTuple):
    """Withdraw a server from all tables and proxies at once, or readmit it."""

    server: Address
    withdrawn: bool


class RequestAcknowledgement(NamedTuple):
    """Request an ``Acknowledged`` event from each proxy to which this reply sends a command.

    ``all_proxies`` extends the request to all joined proxies, including those that receive no other command.
    """

    nonce: int
    all_proxies: bool


class BindProxy(NamedTuple):
    """Bind a proxy to a shared table for a set of routes, a bit mask with one bit per route."""

    table: int
    routes: int
    proxy: int


class SetAdmission(NamedTuple):
    """Set the admission rate and the retry policy of a set of routes for the proxies of a table.

    ``rate`` is the admitted fraction of requests, or a number of requests per second at each proxy; the
    setting ``proxies.admit`` selects which.
    """

    table: int
    routes: int
    rate: float
    retry_policy: RetryPolicy | int


class ProbeServer(NamedTuple):
    """Start a health check of a server."""

    server: Address


class SendPeerMessage(NamedTuple):
    """Send bytes to another director, or to all others if ``peer`` is None."""

    peer: int | None
    data: bytes


class SetTimer(NamedTuple):
    """Schedule a ``TimerFired`` event with this token after a delay."""

    token: int
    delay_us: int


class Subscribe(NamedTuple):
    """Start or stop the subscription to the endpoint list."""

    enabled: bool


class FetchEndpoints(NamedTuple):
    """Fetch the complete endpoint list once."""


class LogMessage(NamedTuple):
    """Write a message to the log."""

    text: str
