"""Actions on peers during a day, as messages to the processes that run the peers."""

from __future__ import annotations

from typing import Literal, TypeAlias

import msgspec

ReportMode: TypeAlias = Literal["usual", "double", "late"]


class SlowDown(msgspec.Struct, frozen=True, tag=True):
    """Multiply the time that servers need for a request."""

    servers: list[int]
    factor: float


class FailRequests(msgspec.Struct, frozen=True, tag=True):
    """Fail a share of the requests at servers, with status 500."""

    servers: list[int]
    share: float


class Hang(msgspec.Struct, frozen=True, tag=True):
    """Make servers accept requests without answering them, or answer again."""

    servers: list[int]
    enabled: bool


class StopServers(msgspec.Struct, frozen=True, tag=True):
    """Stop servers at once, without notice."""

    servers: list[int]


class StartServers(msgspec.Struct, frozen=True, tag=True):
    """Start stopped servers, which then warm up."""

    servers: list[int]


class BreakMemberStreams(msgspec.Struct, frozen=True, tag=True):
    """Break the servers' streams to the directors; they reconnect."""

    servers: list[int]


class DrainServers(msgspec.Struct, frozen=True, tag=True):
    """Make servers announce a drain to the directors; they still serve requests."""

    servers: list[int]


class ReplaceServers(msgspec.Struct, frozen=True, tag=True):
    """Drain servers, stop them after the notice, and start them again after the downtime."""

    servers: list[int]
    notice_s: float
    down_s: float


class BreakStreams(msgspec.Struct, frozen=True, tag=True):
    """Break the proxies' streams to their directors; the proxies rejoin."""

    proxies: list[int]


class PauseReading(msgspec.Struct, frozen=True, tag=True):
    """Make proxies stop reading from their directors, or resume."""

    proxies: list[int]
    enabled: bool


class SetReportMode(msgspec.Struct, frozen=True, tag=True):
    """Make proxies send load reports as usual, twice, or late."""

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
