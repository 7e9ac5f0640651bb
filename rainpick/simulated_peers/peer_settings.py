"""The settings of the peers of a day, as sent to the processes that run the peers."""

from __future__ import annotations

from typing import Literal, TypeAlias

import msgspec

SocketAddress: TypeAlias = tuple[str, int]


class MachineType(msgspec.Struct, frozen=True):
    """The capacity of a type of servers, and the weight that they register."""

    name: str
    slots: int  # number of requests processed at once
    speed: float  # speed of a slot; 1 is the normal speed
    weight: float  # listed weight, sent in the label of a registration


class RouteLoad(msgspec.Struct, frozen=True):
    """A route, and the load that its requests cause."""

    name: str
    share: float  # share of all requests, relative to the other routes
    work_us: int  # mean work of a request
    slo_us: int
    time_limit_us: int
    effect: Literal["repeatable", "keyed", "mutating"]
    retry_window_us: int  # time in which a pod drops duplicates of a request with effect ``keyed``


class SlowStart(msgspec.Struct, frozen=True):
    """The slow start of servers, and the load that a server withstands during it."""

    warm_up_us: int
    start_capacity: float  # capacity at the start, as a fraction of the full capacity
    overload_window_us: int
    overload_multiple: float  # load that a server withstands in the window, as a multiple of its capacity


class ListedServer(msgspec.Struct, frozen=True, array_like=True):
    """The attributes of a server that proxies use."""

    host: str
    port: int
    pod: int

    @property
    def address(self) -> SocketAddress:
        """The socket address at which the server listens."""
        return self.host, self.port


class PeerSettings(msgspec.Struct, frozen=True):
    """The settings of all peers of a day."""

    seed: int
    zones: tuple[str, ...]
    servers: int
    uid: str  # LB UID of the members' SASP group
    group: str
    machines: tuple[MachineType, ...]
    routes: tuple[RouteLoad, ...]
    slow_start: SlowStart
    sasp: tuple[SocketAddress, ...]  # SASP address of each director, by director number
    mqtt: tuple[SocketAddress | None, ...]  # MQTT address of each director; None without MQTT
    otlp: tuple[SocketAddress, ...]  # address of each director for load reports
    fronts: tuple[Literal["sasp", "mqtt"], ...]  # protocols to the directors, assigned to the proxies in turn
    proxies: int
    calls_per_s: float  # request rate of all clients together
    pick: Literal["lottery", "wheel", "pair"]  # random, round robin, or best of two random; all weighted
    default_servers: int  # size of a proxy's default table
    retry: Literal["never", "same_pod", "anywhere"]  # servers at which proxies retry
    client_retries: int
    client_retry_delay_s: float
    attempt_limit_share: float  # time limit of an attempt, as a share of its route's time limit
    report_interval_s: float
    reconnect_delay_s: tuple[float, float]  # limits of the random delay before each reconnection


class PeerStart(msgspec.Struct, frozen=True):
    """The start message of a group of peers.

    Groups of proxies also get the servers (``listed``) and the numbers of their proxies (``proxies``).
    """

    settings: PeerSettings
    listed: list[ListedServer] = []
    proxies: list[int] = []
