"""Directors and groups of peers in processes of their own."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO, Any

import msgspec

from rainpick.simulated_peers.actions import Action
from rainpick.simulated_peers.errors import DayError
from rainpick.simulated_peers.peer_groups import PeerRole
from rainpick.simulated_peers.peer_settings import ListedServer, PeerStart

DIRECTOR_STOP_S = 5.0
PEERS_STOP_S = 10.0


def environment() -> dict[str, str]:
    """Make an environment in which a child finds the same packages as this process."""
    return {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, sys.path))}


class DirectorProcess:
    """A director; its settings and its log are files in the folder."""

    def __init__(self, settings: dict[str, Any], folder: Path):
        number = settings["director"]["number"]
        self.config = folder / f"director-{number}.json5"
        self.config.write_text(json.dumps(settings, indent=1))
        self.log = open(folder / f"director-{number}.log", "ab")  # noqa: SIM115 - ``close`` ends it
        self.process = self.spawn()

    def spawn(self) -> subprocess.Popen[bytes]:
        """Spawn the process."""
        command = [sys.executable, "-m", "rainpick", "run", "--config", str(self.config)]
        return subprocess.Popen(command, stderr=self.log, stdout=self.log, env=environment())

    def start(self) -> None:
        """Start again after ``kill``."""
        self.process = self.spawn()

    def kill(self) -> None:
        """Kill the process, which gets no chance to clean up."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def close(self) -> None:
        """Terminate the process in good order, or kill it if that takes too long."""
        if self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(DIRECTOR_STOP_S)
            except subprocess.TimeoutExpired:
                self.kill()
        self.log.close()


class PeerProcess:
    """A group of peers in a process that reads actions from its standard input."""

    def __init__(self, role: PeerRole, start: PeerStart, log_path: Path):
        command = [sys.executable, "-m", __package__, role.value, str(log_path)]
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True, env=environment()
        )
        assert self.process.stdin is not None and self.process.stdout is not None
        self.input: IO[str] = self.process.stdin
        self.write(start)
        answer = self.process.stdout.readline()
        if not answer:
            raise DayError(f"the simulated peers ({role.value}) did not start")
        self.servers = msgspec.json.decode(answer, type=list[ListedServer])

    def write(self, message: PeerStart | Action) -> None:
        """Write a message as a line of JSON."""
        self.input.write(msgspec.json.encode(message).decode() + "\n")
        self.input.flush()

    def apply(self, action: Action) -> None:
        """Have the group apply an action."""
        self.write(action)

    def close(self) -> None:
        """End the process."""
        self.input.close()
        try:
            self.process.wait(PEERS_STOP_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
