"""What the cases of the second review share: the deploy file's commands, processes, ports and the record."""

from __future__ import annotations

import contextlib
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))  # the deploy file's build does not install the project's own package
KEPT, NOT_RUN = 0, 2
BROKEN = 41  # run.sh turns it into 1, which an interpreter also ends with when it could not run
LIMIT_S = 110
LOOPBACK = "127.0.0.1"


class CaseNotRunError(Exception):
    """The case could not run; nothing was shown about the rule."""


def free_ports(count: int) -> list[int]:
    """Return ports of loopback that are free now."""
    sockets = [socket.create_server((LOOPBACK, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Case:
    """One run of a case: its record, its temporary folder, and the processes that it started."""

    def __init__(self, number: int):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix=f"review-{number}-"))
        self.record = open(ROOT / "review" / str(number) / "record.txt", "w")  # noqa: SIM115
        self.lock = threading.Lock()
        self.began_s = time.monotonic()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.note("the case begins", trouble=self.trouble)

    def now_s(self) -> float:
        """Return the time since the case began."""
        return time.monotonic() - self.began_s

    def note(self, event: str, **fields: Any) -> None:
        """Write a line of the record."""
        details = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            if not self.record.closed:
                self.record.write(f"{self.now_s():8.3f} {event} {details}".rstrip() + "\n")
                self.record.flush()

    def command(self, name: str) -> str:
        """Return a command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        return str(deploy[name])

    def start(self, command: str, log: str, **options: Any) -> subprocess.Popen[bytes]:
        """Start a program from the root as the platform does, by ``/bin/sh -c``; its errors go to a log."""
        options["env"] = os.environ | {"TMPDIR": str(self.folder)} | options.get("env", {})
        with open(self.folder / log, "ab") as stderr:
            process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, stderr=stderr, **options)
        self.processes.append(process)
        self.note("started", program=command.replace(str(self.folder), "FOLDER"), log=log)
        return process

    def require_running(self, process: subprocess.Popen[bytes]) -> None:
        """Raise ``CaseNotRunError`` if a program has ended, so that no other rule can be judged."""
        if process.poll() is not None:
            raise CaseNotRunError(f"the program has ended with status {process.poll()}")

    def log_tail(self, log: str, lines: int = 4) -> None:
        """Copy the last lines of a program's log into the record, without folders."""
        text = (self.folder / log).read_text(errors="replace")
        for line in text.splitlines()[-lines:]:
            short = line.replace(str(ROOT), "ROOT").replace(str(self.folder), "FOLDER")
            self.note("log:", line=short[:300])

    def close(self) -> None:
        """End every process that the case started, and remove the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            process.wait()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def wait_for(condition: Callable[[], Any], what: str, limit_s: float = 10.0) -> Any:
    """Wait until a condition holds and return its value; ``CaseNotRunError`` after ``limit_s``."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise CaseNotRunError(f"{what} did not come within {limit_s} s")


def stop_case(number: int, _frame: Any) -> None:
    """End the case, and with it what it started, at a signal or when its time is over."""
    raise CaseNotRunError(f"ended by signal {number}")


def run_case(number: int, play: Callable[[Case], str | None]) -> None:
    """Play a case and exit with its verdict. ``play`` returns what broke the rule, or None if it held."""
    case = Case(number)
    for ending in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(ending, stop_case)
    signal.alarm(LIMIT_S)
    try:
        breach = play(case)
        case.note("verdict", rule="broken: " + breach if breach else "held")
        code = BROKEN if breach else KEPT
        print(f"case {number}: " + (f"rule broken: {breach}" if breach else "rule held"))
    except Exception as error:  # noqa: BLE001 - whatever stops the case, nothing was shown
        case.note("verdict", rule=f"not judged: {type(error).__name__}: {error}")
        print(f"case {number}: could not run: {type(error).__name__}: {error}")
        code = NOT_RUN
    finally:
        case.close()
    sys.stdout.flush()
    os._exit(code)  # threads of stand-ins may still wait
