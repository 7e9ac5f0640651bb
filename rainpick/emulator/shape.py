"""Parameters of an emulated fleet."""

from __future__ import annotations

from typing import NamedTuple

from rainpick.emulator.proxy import PickPolicy
from rainpick.emulator.server import ServerType


class Shape(NamedTuple):
    """Size, load and delays of a fleet. Times are in microseconds."""

    servers: int = 12
    proxies: int = 8
    server_types: tuple[ServerType, ...] = (ServerType(),)  # server n has type n modulo the number of types
    listed_weights: tuple[float, ...] = (1.0,)  # server n has weight n modulo the number of weights
    requests_per_s: float = 400.0  # total rate of the clients of all proxies
    mean_work_us: float = 20_000.0
    pick: PickPolicy = "lottery"
    default_servers: int = 3  # number of servers in the default table of a proxy
    same_zone_delay_us: int = 300  # network delay in one direction within a zone
    cross_zone_delay_us: int = 2_000  # network delay in one direction between zones
    list_delay_us: int = 300_000  # time from a change of the endpoint list until the engine receives it
    report_delay_us: int = 50_000  # time from the sending of load reports until the engine receives them
    client_retries: int = 1  # maximum number of retries of a request
    retry_delay_us: int = 50_000  # delay before the first retry; doubled for each further retry, with jitter
