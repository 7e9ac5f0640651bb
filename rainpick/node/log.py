"""The log: one JSON object a line on standard error, at a bounded rate.

structlog would cost 11 MB and as much start time as all else together (docs/design-live.md).
"""

from __future__ import annotations

import json
import sys
import threading
import time
from collections.abc import Callable
from typing import Any, TextIO

LINES_PER_S = 20
BURST = 200  # lines at once


class Log:
    """A token bucket limits the lines; the next line that is written says how many were left out."""

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
            # In one write: one killed between the text and its end would spoil the next one's first line.
            sink.write(json.dumps(line, default=str) + "\n")
            sink.flush()

    def info(self, event: str, **fields: object) -> None:
        """Log what is expected."""
        self.write("info", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log what the director copes with by itself."""
        self.write("warning", event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Log what has to be corrected elsewhere."""
        self.write("error", event, fields)


log = Log()
