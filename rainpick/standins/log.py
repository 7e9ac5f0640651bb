"""What passed on a stand-in's sockets, one JSON line an event, all on the machine's one monotonic clock."""

import json
import threading
import time
from pathlib import Path


def now_us() -> int:
    return time.monotonic_ns() // 1000


class Log:
    def __init__(self, path: Path):
        self.file, self.lock = open(path, "a", buffering=1), threading.Lock()  # noqa: SIM115

    def __call__(self, kind: str, at: int | None = None, **fields) -> None:
        line = json.dumps({"k": kind, "t": now_us() if at is None else at, **fields}, separators=(",", ":"))
        with self.lock:
            if not self.file.closed:
                self.file.write(line + "\n")

    def close(self) -> None:
        with self.lock:
            self.file.close()
