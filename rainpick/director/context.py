"""State shared by all parts of one director: its settings, its clock, its log and its engine."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from rainpick.director.engine import Engine
from rainpick.settings import Settings


def monotonic_us() -> int:
    """Return the time of a director's clock: monotonic, in whole microseconds."""
    return time.monotonic_ns() // 1000


def wall_us() -> int:
    """Return the wall-clock time in whole microseconds since the Unix epoch."""
    return time.time_ns() // 1000


@dataclass(slots=True)
class Context:
    """State shared by the parts of one director; used only by its event loop's thread."""

    settings: Settings
    clock: Callable[[], int] = monotonic_us
    engine: Engine | None = None  # None until ``ListFollower`` has created it
    epoch: str = field(init=False)  # identifies this incarnation of the director in payloads and records
    log: structlog.stdlib.BoundLogger = field(init=False)

    def __post_init__(self) -> None:
        number = self.settings.director.number
        self.epoch = f"{number}-{wall_us():x}"
        self.log = structlog.get_logger(director=number)

    @property
    def started_engine(self) -> Engine:
        """The engine; ``RuntimeError`` if it has not been created yet."""
        if self.engine is None:
            raise RuntimeError("the engine has not been created yet")
        return self.engine
