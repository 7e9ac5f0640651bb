"""What all parts of one director share: its settings, its clock, its log and, once it exists, its engine."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from rainpick.director.engine import Engine
from rainpick.settings import Settings


def monotonic_us() -> int:
    """The clock of a director: monotonic, in whole microseconds."""
    return time.monotonic_ns() // 1000


def wall_us() -> int:
    """Wall-clock time in whole microseconds since the epoch of Unix."""
    return time.time_ns() // 1000


@dataclass(slots=True)
class Context:
    """Shared by the parts of one director; only its event loop's thread uses it."""

    settings: Settings
    clock: Callable[[], int] = monotonic_us
    engine: Engine | None = None  # None until there is an endpoint list to start the decisions with
    epoch: str = field(init=False)  # names this incarnation of the director in payloads and records
    log: structlog.stdlib.BoundLogger = field(init=False)

    def __post_init__(self) -> None:
        number = self.settings.director.number
        self.epoch = f"{number}-{wall_us():x}"
        self.log = structlog.get_logger(director=number)

    @property
    def started_engine(self) -> Engine:
        """The engine, where the caller knows that the decisions have started."""
        if self.engine is None:
            raise RuntimeError("the decisions have not started yet")
        return self.engine
