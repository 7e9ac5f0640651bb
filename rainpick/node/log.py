"""The log: one JSON object a line on standard error, bounded however much goes wrong.

structlog would cost 11 MB and as much start time as all else together (docs/design-live.md).
"""

from __future__ import annotations

import json
import sys
import threading
import time

LINES_PER_S, BURST = 20, 200


class Log:
    """Lines over the allowance are counted, and said with the next one that is written."""

    def __init__(self, sink=None, clock=time.monotonic):
        self.sink, self.clock, self.lock = sink, clock, threading.Lock()
        self.allowance, self.filled_s, self.left_out = float(BURST), clock(), 0

    def write(self, level: str, event: str, fields: dict) -> None:
        with self.lock:
            now = self.clock()
            self.allowance = min(BURST, self.allowance + (now - self.filled_s) * LINES_PER_S)
            self.filled_s = now
            if self.allowance < 1:
                self.left_out += 1
                return
            self.allowance -= 1
            if self.left_out:
                fields, self.left_out = fields | {"left_out": self.left_out}, 0
            line = {"at": round(time.time(), 3), "level": level, "event": event} | fields
            sink = self.sink or sys.stderr
            # In one write: one killed between the text and its end would spoil the next one's first line.
            sink.write(json.dumps(line, default=str) + "\n")
            sink.flush()

    def info(self, event: str, **fields) -> None:
        self.write("info", event, fields)

    def warning(self, event: str, **fields) -> None:
        self.write("warning", event, fields)

    def error(self, event: str, **fields) -> None:
        self.write("error", event, fields)


log = Log()
