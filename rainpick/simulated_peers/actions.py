"""Actions on peers in the course of a day, as messages to the processes in which they run."""

from __future__ import annotations

from typing import Literal, TypeAlias

import msgspec

ReportMode: TypeAlias = Literal["usual", "double", "late"]


class SlowDown(msgspec.Struct, frozen=True, tag=True):
    """Have servers take a multiple of their usual time."""

    servers: list[int]
    factor: float


class FailRequests(msgspec.Struct, frozen=True, tag=True):
    """Have servers answer a share of the requests with status 500."""

    servers: list[int]
    share: float


class Hang(msgspec.Struct, frozen=True, tag=True):
    """Have servers accept requests without an answer, or end that."""

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
    """Have servers tell the directors that they drain; they go on serving."""

    servers: list[int]


class ReplaceServers(msgspec.Struct, frozen=True, tag=True):
    """Drain servers, stop them after a notice, and start them again after a time."""

    servers: list[int]
    notice_s: float
    down_s: float


class BreakStreams(msgspec.Struct, frozen=True, tag=True):
    """Break the proxies' streams to their directors; they join again."""

    proxies: list[int]


class PauseReading(msgspec.Struct, frozen=True, tag=True):
    """Have proxies stop reading from their directors, or end that."""

    proxies: list[int]
    enabled: bool


class SetReportMode(msgspec.Struct, frozen=True, tag=True):
    """Have proxies send load reports as usual, twice, or late."""

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
