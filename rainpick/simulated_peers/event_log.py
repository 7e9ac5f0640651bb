"""The log of a group of peers: what passed on their sockets, for the auditor (``rainpick.rules.logs``)."""

import json
import threading
import time
from pathlib import Path
from typing import Any


def now_us() -> int:
    """Read the machine's monotonic clock, which all processes of a day share."""
    return time.monotonic_ns() // 1000


class EventLog:
    """Appends events to a file, one JSON object a line; any thread may write."""

    def __init__(self, path: Path):
        self.file = open(path, "a", buffering=1)  # noqa: SIM115 - ``close`` ends it
        self.lock = threading.Lock()

    def write(self, kind: str, at: int | None = None, **fields: Any) -> None:
        """Write an event of now or of another time; after ``close`` nothing is written."""
        event = {"k": kind, "t": now_us() if at is None else at, **fields}
        line = json.dumps(event, separators=(",", ":"))
        with self.lock:
            if not self.file.closed:
                self.file.write(line + "\n")

    def close(self) -> None:
        """Close the file."""
        with self.lock:
            self.file.close()
