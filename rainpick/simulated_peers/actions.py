"""Actions on peers during a day, as messages to the processes that run the peers."""

from __future__ import annotations

from typing import Literal, TypeAlias

import msgspec

ReportMode: TypeAlias = Literal["usual", "double", "late"]


class SlowDown(msgspec.Struct, frozen=True, tag=True):
    """Multiply the processing time of servers by ``factor``; 1 is the normal speed."""

    servers: list[int]
    factor: float


class FailRequests(msgspec.Struct, frozen=True, tag=True):
    """Make servers answer a share of their requests with status 500; share 0 ends the fault."""

    servers: list[int]
    share: float


class Hang(msgspec.Struct, frozen=True, tag=True):
    """Make servers accept requests without answering them, or with ``enabled`` False answer again."""

    servers: list[int]
    enabled: bool


class StopServers(msgspec.Struct, frozen=True, tag=True):
    """Stop servers at once, without a drain or a deregistration."""

    servers: list[int]


class StartServers(msgspec.Struct, frozen=True, tag=True):
    """Start servers cold, so that they warm up. Servers that are running are not affected."""

    servers: list[int]


class BreakMemberStreams(msgspec.Struct, frozen=True, tag=True):
    """Close the streams of servers to the directors; the servers reconnect and register again."""

    servers: list[int]


class DrainServers(msgspec.Struct, frozen=True, tag=True):
    """Make servers announce a drain to the directors; they still serve requests."""

    servers: list[int]


class ReplaceServers(msgspec.Struct, frozen=True, tag=True):
    """Drain servers, stop them ``notice_s`` later, and start them cold ``down_s`` after the stop."""

    servers: list[int]
    notice_s: float
    down_s: float


class BreakStreams(msgspec.Struct, frozen=True, tag=True):
    """Close the streams of proxies to their directors; each proxy then joins the next director."""

    proxies: list[int]


class PauseReading(msgspec.Struct, frozen=True, tag=True):
    """Make proxies stop reading from their directors, or with ``enabled`` False resume."""

    proxies: list[int]
    enabled: bool


class SetReportMode(msgspec.Struct, frozen=True, tag=True):
    """Make proxies send each load report once (``usual``), twice (``double``), or ``late``."""

    proxies: list[int]
    mode: ReportMode


ServerAction: TypeAlias = (
    SlowDown
    | FailRequests
    | Hang
    | StopServers
    | StartServers
    | BreakMemberStreams
    | DrainServers
    | ReplaceServers
)
ProxyAction: TypeAlias = BreakStreams | PauseReading | SetReportMode
Action: TypeAlias = ServerAction | ProxyAction
