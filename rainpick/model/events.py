"""The events that a director receives, except for updates of the endpoint list."""

from __future__ import annotations

from enum import IntEnum
from typing import Any, NamedTuple

from rainpick.model.endpoints import Address


class ProbeOutcome(IntEnum):
    """The result of a health check, with the numbers of the simulator's wire protocol."""

    OK = 0
    ERROR = 5
    REFUSED = 11
    BROKEN = 104
    TIME_OUT = 110
    UNREACHABLE = 111


class Started(NamedTuple):
    """The instance starts without state; a cached endpoint list follows.

    ``settings`` is the flat map of the settings by dotted path, for example ``rules.drain_grace_us``.
    """

    seed: int
    settings: dict[str, Any]


class TimerFired(NamedTuple):
    """A timer that the instance has set is due."""

    token: int


class ProbeCompleted(NamedTuple):
    """A health check completed; ``load`` has the values listed in the setting ``load.names``, or is empty."""

    server: Address
    outcome: ProbeOutcome | int
    duration_us: int
    load: tuple[float, ...]


class PeerMessageReceived(NamedTuple):
    """A message from another director was received."""

    peer: int
    data: bytes


class ProxyJoined(NamedTuple):
    """A proxy joined this director.

    ``newly_started``: the proxy has only its default table, and no state from an earlier director.
    ``request_rate``: the usual rate of its requests per second.
    """

    proxy: int
    newly_started: bool
    request_rate: float
    zone: int


class ProxyLeft(NamedTuple):
    """A proxy left this director."""

    proxy: int


class Acknowledged(NamedTuple):
    """A proxy has applied the message that contained the acknowledgement request with this nonce."""

    proxy: int
    nonce: int
    duration_us: int


class Retransmitted(NamedTuple):
    """The commands with this nonce are sent again, since they may have been applied without an answer."""

    nonce: int


class ServerLoadReport(NamedTuple):
    """The attempts of the joined proxies of a zone at a server over an interval.

    ``mean_latency_us`` is the mean over answered attempts; ``load`` is as in ``ProbeCompleted``.
    """

    server: Address
    zone: int
    attempts: int
    failures: int
    mean_latency_us: int
    interval_us: int
    load: tuple[float, ...]


class RouteLoadReport(NamedTuple):
    """The requests of a route that reached a proxy over an interval."""

    proxy: int
    route: int
    requests: int
    failures: int
    interval_us: int


class KeyRangeLoadReport(NamedTuple):
    """The requests of a route for a key range over an interval."""

    key_range: int
    route: int
    requests: int
    failures: int
    interval_us: int


class KeyRangeAssigned(NamedTuple):
    """A key range was assigned to this instance, or taken from it."""

    key_range: int
    assigned: bool


class KeyRangeWeight(NamedTuple):
    """A weight that the store holds for a newly assigned key range."""

    key_range: int
    server: Address
    weight: float
