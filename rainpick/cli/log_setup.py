"""Structured logs on standard error, as one JSON object per line or as coloured text."""

from __future__ import annotations

import logging
import sys
import threading
import time
from collections.abc import Callable, MutableMapping
from typing import Any, Literal

import structlog
from structlog.typing import Processor

LINES_PER_S = 20
BURST = 200  # lines


class EventLimit:
    """A processor that limits the lines of each event, so that no peer fills the disk by what it causes.

    The first line after suppressed ones has their number in ``left_out``.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.lock = threading.Lock()
        self.buckets: dict[str, EventBucket] = {}  # by event; events are names in the program

    def __call__(
        self, _logger: Any, _method: str, fields: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Pass a line on, or drop it."""
        with self.lock:
            bucket = self.buckets.setdefault(str(fields.get("event")), EventBucket(self.clock()))
            left_out = bucket.take(self.clock())
        if left_out is None:
            raise structlog.DropEvent
        if left_out:
            fields["left_out"] = left_out
        return fields


class EventBucket:
    """The token bucket of one event."""

    def __init__(self, now_s: float):
        self.tokens = float(BURST)
        self.refilled_s = now_s
        self.left_out = 0

    def take(self, now_s: float) -> int | None:
        """Return how many lines were dropped before this one; None to drop this one, too."""
        self.tokens = min(BURST, self.tokens + (now_s - self.refilled_s) * LINES_PER_S)
        self.refilled_s = now_s
        if self.tokens < 1:
            self.left_out += 1
            return None
        self.tokens -= 1
        left_out, self.left_out = self.left_out, 0
        return left_out


def configure_log(level: str, form: Literal["json", "console"]) -> None:
    """Set up the log of this process. ``level`` is the lowest level that is logged, such as ``info``."""
    processors: list[Processor] = [
        EventLimit(),
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    if form == "json":
        processors += [structlog.processors.format_exc_info, structlog.processors.JSONRenderer()]
    else:
        processors.append(structlog.dev.ConsoleRenderer())  # formats exceptions itself
    structlog.configure(
        processors=processors,
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
