"""Commands: what a director orders."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from rainpick.model.endpoints import Address

ALL_TABLES = 65535  # in SetAdmission: for all joined proxies
ALL_ROUTES = 0  # as a set of routes: every route


class RetryPolicy(IntEnum):
    """When a proxy retries a request at another server."""

    NO_RETRY = 0
    ON_PROOF = 1  # that the attempt had no effect
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
    """Withdraw a server from every table and proxy at once, or readmit it."""

    server: Address
    withdrawn: bool


class RequestAcknowledgement(NamedTuple):
    """Ask the proxies that this reply reaches to acknowledge it with ``Acknowledged``.

    ``all_proxies``: ask all joined proxies, whether the reply reaches them or not.
    """

    nonce: int
    all_proxies: bool


class BindProxy(NamedTuple):
    """Have a proxy follow a shared table for a set of routes, a bit a route."""

    table: int
    routes: int
    proxy: int


class SetAdmission(NamedTuple):
    """How much of a set of routes the proxies of a table admit, and when they retry.

    ``rate`` is a ratio or requests a second, as the setting ``proxies.admit`` says.
    """

    table: int
    routes: int
    rate: float
    retry_policy: RetryPolicy | int


class ProbeServer(NamedTuple):
    """Start a health check of a server."""

    server: Address


class SendPeerMessage(NamedTuple):
    """Send bytes to another director, or to all of them if ``peer`` is None."""

    peer: int | None
    data: bytes


class SetTimer(NamedTuple):
    """Ask for ``TimerFired`` with this token after a delay."""

    token: int
    delay_us: int


class Subscribe(NamedTuple):
    """Begin or end following the endpoint list."""

    enabled: bool


class FetchEndpoints(NamedTuple):
    """Fetch the whole endpoint list once."""


class LogMessage(NamedTuple):
    """Write a line to the log."""

    text: str
