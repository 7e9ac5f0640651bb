"""The shape of an emulated fleet."""

from __future__ import annotations

from typing import NamedTuple

from rainpick.emulator.proxy import Pick
from rainpick.emulator.server import ServerType


class Shape(NamedTuple):
    """How large a fleet is, how busy, how far apart. Times are in microseconds."""

    servers: int = 12
    proxies: int = 8
    server_types: tuple[ServerType, ...] = (ServerType(),)  # server n has type n modulo their number
    listed_weights: tuple[float, ...] = (1.0,)  # likewise
    requests_per_s: float = 400.0  # of the clients of all proxies together
    mean_work_us: float = 20_000.0
    pick: Pick = "lottery"
    default_servers: int = 3  # servers that a proxy knows before it is sent any
    same_zone_delay_us: int = 300  # one way
    cross_zone_delay_us: int = 2_000
    list_delay_us: int = 300_000
    report_delay_us: int = 50_000
    client_retries: int = 1
    retry_delay_us: int = 50_000  # before the first retry, doubled for each further one, with jitter
