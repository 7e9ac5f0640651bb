"""What peers have to know of a day, as it is sent to the processes in which they run."""

from __future__ import annotations

from typing import Literal, TypeAlias

import msgspec

SocketAddress: TypeAlias = tuple[str, int]


class MachineType(msgspec.Struct, frozen=True):
    """What a type of servers is able to."""

    name: str
    slots: int  # requests worked on at once
    speed: float  # of a slot; 1 is usual
    weight: float  # listed


class RouteLoad(msgspec.Struct, frozen=True):
    """A route, and what its requests are like."""

    name: str
    share: float  # of all requests, relative to the other routes
    work_us: int  # mean
    slo_us: int
    time_limit_us: int
    effect: Literal["repeatable", "keyed", "mutating"]
    retry_window_us: int  # in which a pod drops a duplicate of an idempotent request


class SlowStart(msgspec.Struct, frozen=True):
    """How servers warm up, and how much work one withstands meanwhile."""

    warm_up_us: int
    start_capacity: float  # fraction of the capacity at the start
    overload_window_us: int
    overload_multiple: float  # times the capacity within the window


class ListedServer(msgspec.Struct, frozen=True, array_like=True):
    """A server as proxies know it."""

    host: str
    port: int
    pod: int

    @property
    def address(self) -> SocketAddress:
        """Where it listens."""
        return self.host, self.port


class PeerSettings(msgspec.Struct, frozen=True):
    """The settings of a day's peers."""

    seed: int
    zones: tuple[str, ...]
    servers: int
    uid: str  # of the SASP groups of members
    group: str
    machines: tuple[MachineType, ...]
    routes: tuple[RouteLoad, ...]
    slow_start: SlowStart
    sasp: tuple[SocketAddress, ...]  # by director, as the next two
    mqtt: tuple[SocketAddress | None, ...]
    otlp: tuple[SocketAddress, ...]
    fronts: tuple[Literal["sasp", "mqtt"], ...]  # in turn over the proxies
    proxies: int
    calls_per_s: float  # of all clients together
    pick: Literal["lottery", "wheel", "pair"]  # by lot, round robin, or the less busy of two lots
    default_servers: int  # that a starting proxy knows
    retry: Literal["never", "same_pod", "anywhere"]  # by the proxy
    client_retries: int
    client_retry_delay_s: float
    attempt_limit_share: float  # of the time limit
    report_interval_s: float
    reconnect_delay_s: tuple[float, float]  # least and most


class PeerStart(msgspec.Struct, frozen=True):
    """What a group of peers begins with; the last two are for proxies."""

    settings: PeerSettings
    listed: list[ListedServer] = []
    proxies: list[int] = []
