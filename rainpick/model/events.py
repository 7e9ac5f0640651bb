"""Events: what a director is told of, beside updates of the endpoint list."""

from __future__ import annotations

from enum import IntEnum
from typing import Any, NamedTuple

from rainpick.model.endpoints import Address


class ProbeOutcome(IntEnum):
    """How a health check ended, by the numbers of the simulator's wire."""

    OK = 0
    ERROR = 5
    REFUSED = 11
    BROKEN = 104
    TIME_OUT = 110
    UNREACHABLE = 111


class Started(NamedTuple):
    """The instance starts, holding nothing; a cached endpoint list follows.

    ``settings`` is the flat map of the settings by dotted path, for example ``rules.drain_grace_us``.
    """

    seed: int
    settings: dict[str, Any]


class TimerFired(NamedTuple):
    """A timer that the instance set is due."""

    token: int


class ProbeCompleted(NamedTuple):
    """A health check ended. ``load`` has the values that the setting ``load.names`` names, or is empty."""

    server: Address
    outcome: ProbeOutcome | int
    duration_us: int
    load: tuple[float, ...]


class PeerMessageReceived(NamedTuple):
    """Another director sent bytes."""

    peer: int
    data: bytes


class ProxyJoined(NamedTuple):
    """A proxy joined this director.

    ``newly_started``: it holds its default table and nothing of an earlier director.
    ``request_rate``: the requests a second that it usually gets.
    """

    proxy: int
    newly_started: bool
    request_rate: float
    zone: int


class ProxyLeft(NamedTuple):
    """A proxy is no longer joined."""

    proxy: int


class Acknowledged(NamedTuple):
    """A proxy has applied the message that carried the request with this nonce."""

    proxy: int
    nonce: int
    duration_us: int


class Retransmitted(NamedTuple):
    """The commands under this nonce are sent again, since they may have been carried out unanswered."""

    nonce: int


class ServerLoadReport(NamedTuple):
    """What the joined proxies of a zone observed at a server over an interval.

    ``mean_latency_us`` is that of answered attempts; ``load`` is as in ``ProbeCompleted``.
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
    """A key range is assigned to this instance, or taken from it."""

    key_range: int
    assigned: bool


class KeyRangeWeight(NamedTuple):
    """A weight that the store holds for a key range just assigned."""

    key_range: int
    server: Address
    weight: float
