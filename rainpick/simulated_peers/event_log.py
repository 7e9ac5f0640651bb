"""Logs the traffic of a group of peers for the auditor, in the format of ``rainpick.rules.logs``."""

import json
import threading
import time
from pathlib import Path
from typing import Any


def now_us() -> int:
    """Return the machine's monotonic time in microseconds, which all processes of a day share."""
    return time.monotonic_ns() // 1000


class EventLog:
    """Appends events to a file, one JSON object per line. Thread-safe."""

    def __init__(self, path: Path):
        self.file = open(path, "a", buffering=1)  # noqa: SIM115 - closed by ``close``
        self.lock = threading.Lock()

    def write(self, kind: str, at: int | None = None, **fields: Any) -> None:
        """Write an event with the time ``at``, by default the current one; does nothing after ``close``."""
        event = {"k": kind, "t": now_us() if at is None else at, **fields}
        line = json.dumps(event, separators=(",", ":"))
        with self.lock:
            if not self.file.closed:
                self.file.write(line + "\n")

    def close(self) -> None:
        """Close the file."""
        with self.lock:
            self.file.close()
