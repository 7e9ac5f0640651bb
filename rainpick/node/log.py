"""Rate-limited log with one JSON object per line on standard error.

structlog is not used: it would add 11 MB of memory and double the start time (docs/design-live.md).
"""

from __future__ import annotations

import json
import sys
import threading
import time
from collections.abc import Callable
from typing import Any, TextIO

LINES_PER_S = 20
BURST = 200  # capacity of the token bucket, in lines


class Log:
    """Log with a token bucket. The first line after suppressed ones has their number in ``left_out``."""

    def __init__(self, sink: TextIO | None = None, clock: Callable[[], float] = time.monotonic):
        self.sink = sink  # None: standard error
        self.clock = clock
        self.lock = threading.Lock()
        self.tokens = float(BURST)
        self.refilled_s = clock()
        self.left_out = 0

    def write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        """Write a line, unless the bucket is empty."""
        with self.lock:
            now_s = self.clock()
            self.tokens = min(BURST, self.tokens + (now_s - self.refilled_s) * LINES_PER_S)
            self.refilled_s = now_s
            if self.tokens < 1:
                self.left_out += 1
                return
            self.tokens -= 1
            if self.left_out:
                fields = fields | {"left_out": self.left_out}
                self.left_out = 0
            line = {"at": round(time.time(), 3), "level": level, "event": event} | fields
            sink = self.sink or sys.stderr
            # One write for text and line end: if the process were killed between two writes, the first line
            # of the next process would continue the incomplete line.
            sink.write(json.dumps(line, default=str) + "\n")
            sink.flush()

    def info(self, event: str, **fields: object) -> None:
        """Log an event of normal operation."""
        self.write("info", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log a problem that the director handles by itself."""
        self.write("warning", event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Log a problem that must be corrected outside the director."""
        self.write("error", event, fields)


log = Log()
