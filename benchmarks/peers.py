"""Many SASP proxies in one thread, and the floor: a process that only writes frames made before."""

from __future__ import annotations

import json
import multiprocessing
import os
import selectors
import socket
import statistics
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from rainpick.sasp.constants import MessageType, ReturnCode
from rainpick.sasp.encoding import encode_message
from rainpick.sasp.framing import FrameReader
from rainpick.sasp.messages import Group, Member, MemberGroup, Registration, SetLbState
from rainpick.simulated_peers.day import free_ports
from rainpick.simulated_peers.sasp_client import SaspClient

FLEET = Group("rainpick", "servers")


def start_director(folder: Path, **parts) -> tuple[subprocess.Popen, dict[str, tuple[str, int]], Path]:
    """A director in a process of its own: the process, where it listens, its settings file."""
    ports = dict(zip(("sasp", "otlp", "status"), free_ports(3), strict=True))
    plain = {
        "director": {"settle": "200ms"},
        "listen": {name: f"127.0.0.1:{port}" for name, port in ports.items()},
        "routes": [{"name": "lookup", "slo_time": "500ms", "time_limit": "2s"}],
        "log": {"level": "warning"},
        **parts,
    }
    config = folder / "director.json5"
    config.write_text(json.dumps(plain))
    return launch(config), {name: ("127.0.0.1", port) for name, port in ports.items()}, config


def launch(config: Path) -> subprocess.Popen:
    return subprocess.Popen(
        [sys.executable, "-m", "rainpick", "run", "--config", str(config)],
        env={**os.environ, "PYTHONPATH": os.getcwd()},
    )


def wait_for(place: tuple[str, int], limit_s: float = 20.0) -> None:
    end = time.monotonic() + limit_s
    while True:
        try:
            socket.create_connection(place, 0.5).close()
            return
        except OSError:
            if time.monotonic() > end:
                raise
            time.sleep(0.001)


class Proxies:
    """Proxies that only read: when each had its next whole message of a kind."""

    def __init__(self, place: tuple[str, int], many: int, standing: int = 0):
        self.place, self.selector = place, selectors.DefaultSelector()
        self.streams: dict[socket.socket, FrameReader] = {}
        self.uids = [f"edge-{number}" for number in range(many)]
        self.held = tuple(Member.at("127.0.0.1", 9000 + port) for port in range(standing))

    def dial(self) -> None:
        """All at once: connect, say who it is, register; replies are read later with the rest."""
        for uid in self.uids:
            sock = socket.create_connection(self.place, 10)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.sendall(
                encode_message(SetLbState(uid), 1)
                + encode_message(Registration((MemberGroup(Group(uid, "servers"), self.held),), True), 2)
            )
            self.streams[sock] = FrameReader(1 << 22)
            self.selector.register(sock, selectors.EVENT_READ)

    def pushed(self, limit_s: float = 30.0) -> list[int]:
        """The moments (ns) at which each stream had read its next Send Weights, in order."""
        waiting, found = set(self.streams), []
        end = time.monotonic() + limit_s
        while waiting:
            for key, _ in self.selector.select(1.0):
                sock = key.fileobj
                data = sock.recv(1 << 18)
                now = time.monotonic_ns()
                if not data:
                    raise ConnectionResetError("the director closed a stream")
                if sock in waiting and self.has_push(self.streams[sock], data):
                    waiting.discard(sock)
                    found.append(now)
            if time.monotonic() > end:
                raise TimeoutError(f"{len(waiting)} proxies wait still")
        return found

    @staticmethod
    def has_push(framer: FrameReader, data: bytes) -> bool:
        """Looks at types and lengths only: both sides are timed with the same cheap reader."""
        framer.buffer += data
        seen = False
        while len(framer.buffer) >= 15:
            (length,) = struct.unpack_from(">I", framer.buffer, 5)
            if len(framer.buffer) < length:
                break
            (kind,) = struct.unpack_from(">H", framer.buffer, 13)
            seen = seen or kind == MessageType.SEND_WEIGHTS
            del framer.buffer[:length]
        return seen

    def drain_quiet(self, quiet_s: float = 0.3) -> None:
        """Read and forget until nothing has come for a while."""
        while ready := self.selector.select(quiet_s):
            for key, _ in ready:
                self.has_push(self.streams[key.fileobj], key.fileobj.recv(1 << 18))

    def close(self) -> None:
        for sock in self.streams:
            sock.close()
        self.streams.clear()
        self.selector.close()


def floor_process(ports: multiprocessing.Queue, frames: list[bytes], hello: int, told: bool) -> None:
    """Accepts as many streams as frames and one to be told on; writes each frame each time it is told.

    ``hello`` bytes are read from each stream first, as a director reads two requests. Not ``told``: the
    frames are written as soon as these bytes have come, and the process ends.
    """
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    ports.put(listener.getsockname()[1])
    control = listener.accept()[0] if told else None
    streams = []
    for frame in frames:
        sock = listener.accept()[0]
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        left = hello
        while left > 0:
            left -= len(sock.recv(left))
        if not told:
            sock.sendall(frame)
        streams.append(sock)
    if not told:
        ports.get()
        return
    while control.recv(1):
        for sock, frame in zip(streams, frames, strict=True):
            sock.sendall(frame)


class Floor:
    def __init__(self, frames: list[bytes], hello: int = 0, told: bool = True):
        self.queue = multiprocessing.Queue()
        self.process = multiprocessing.Process(target=floor_process, args=(self.queue, frames, hello, told))
        self.process.start()
        self.place = ("127.0.0.1", self.queue.get())
        self.control = socket.create_connection(self.place) if told else None

    def tell(self) -> None:
        self.control.send(b"!")

    def close(self) -> None:
        if self.control is not None:
            self.control.close()
        else:
            self.queue.put(None)
        self.process.join(5)


def member_stream(place: tuple[str, int], ports: range, label: str = "age=1000;boot=1") -> SaspClient:
    client = SaspClient(place)
    for begin in range(ports.start, ports.stop, 500):
        members = tuple(Member.at("127.0.0.1", port, label) for port in ports[begin - ports.start :][:500])
        assert client.request(Registration((MemberGroup(FLEET, members),))).code == ReturnCode.SUCCESS
    return client


def folder() -> Path:
    return Path(tempfile.mkdtemp(prefix="rainpick-bench-"))


def row(name: str, values: list[float], unit: str) -> str:
    """Median, 99th percentile, least and most."""
    ordered = sorted(values)
    p99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    return (
        f"{name:<44} median {statistics.median(ordered):9.3f}  99% {p99:9.3f}  "
        f"min {ordered[0]:9.3f}  max {ordered[-1]:9.3f} {unit}"
    )
