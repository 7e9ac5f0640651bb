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
    """The director starts without state; the next event contains the cached endpoint list, if there is one.

    ``settings`` is the flat map of the settings by dotted path, for example ``rules.drain_grace_us``.
    """

    seed: int
    settings: dict[str, Any]


class TimerFired(NamedTuple):
    """A timer that the director set with ``SetTimer`` is due."""

    token: int


class ProbeCompleted(NamedTuple):
    """A health check completed.

    ``load`` contains the load values of the server, in the order of the setting ``load.names``, or is empty.
    """

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
    ``request_rate``: the usual number of requests per second that the proxy receives.
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
    """The commands with this nonce are sent again, since their first transmission was not answered.

    Proxies may therefore receive them twice. Only records of earlier versions contain this event; the live
    director passes ``RetransmissionRequested`` of ``rainpick.decisions.retransmission`` instead.
    """

    nonce: int


class ServerLoadReport(NamedTuple):
    """The attempts of the joined proxies of a zone at a server during an interval.

    ``mean_latency_us`` is the mean over answered attempts; ``load`` has the format of that field in
    ``ProbeCompleted``.
    """

    server: Address
    zone: int
    attempts: int
    failures: int
    mean_latency_us: int
    interval_us: int
    load: tuple[float, ...]


class RouteLoadReport(NamedTuple):
    """The requests of a route that reached a proxy during an interval."""

    proxy: int
    route: int
    requests: int
    failures: int
    interval_us: int


class KeyRangeLoadReport(NamedTuple):
    """The requests of a route for a key range during an interval."""

    key_range: int
    route: int
    requests: int
    failures: int
    interval_us: int


class KeyRangeAssigned(NamedTuple):
    """A key range was assigned to this director, or is no longer assigned to it."""

    key_range: int
    assigned: bool


class KeyRangeWeight(NamedTuple):
    """A weight that the store holds for a newly assigned key range."""

    key_range: int
    server: Address
    weight: float
