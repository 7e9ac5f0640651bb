"""Runs directors and groups of peers in separate processes."""

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

DIRECTOR_STOP_TIMEOUT_S = 5.0
PEERS_STOP_TIMEOUT_S = 10.0


def child_environment() -> dict[str, str]:
    """Return an environment in which a child process finds the same packages as this process."""
    return {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, sys.path))}


class DirectorProcess:
    """A director in its own process; its settings and its log are files in the folder."""

    def __init__(self, settings: dict[str, Any], folder: Path):
        number = settings["director"]["number"]
        self.config = folder / f"director-{number}.json5"
        self.config.write_text(json.dumps(settings, indent=1))
        self.log = open(folder / f"director-{number}.log", "ab")  # noqa: SIM115 - closed by ``close``
        self.process = self.spawn()

    def spawn(self) -> subprocess.Popen[bytes]:
        """Spawn a director process."""
        command = [sys.executable, "-m", "rainpick", "run", "--config", str(self.config)]
        return subprocess.Popen(command, stderr=self.log, stdout=self.log, env=child_environment())

    def start(self) -> None:
        """Start the director again after ``kill``."""
        self.process = self.spawn()

    def kill(self) -> None:
        """Kill the process without a clean shutdown."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def close(self) -> None:
        """Terminate the process cleanly; kill it if it does not end within ``DIRECTOR_STOP_TIMEOUT_S``."""
        if self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(DIRECTOR_STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.kill()
        self.log.close()


class PeerProcess:
    """A group of peers in its own process, which reads actions from its standard input."""

    def __init__(self, role: PeerRole, start: PeerStart, log_path: Path):
        command = [sys.executable, "-m", __package__, role.value, str(log_path)]
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True, env=child_environment()
        )
        assert self.process.stdin is not None and self.process.stdout is not None
        self.input: IO[str] = self.process.stdin
        self.write(start)
        server_line = self.process.stdout.readline()
        if not server_line:
            raise DayError(f"the simulated peers ({role.value}) did not start")
        self.servers = msgspec.json.decode(server_line, type=list[ListedServer])

    def write(self, message: PeerStart | Action) -> None:
        """Write a message as a line of JSON."""
        self.input.write(msgspec.json.encode(message).decode() + "\n")
        self.input.flush()

    def apply(self, action: Action) -> None:
        """Send an action to the group."""
        self.write(action)

    def close(self) -> None:
        """End the process; kill it if it does not end within ``PEERS_STOP_TIMEOUT_S``."""
        self.input.close()
        try:
            self.process.wait(PEERS_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
