"""Helpers of the benchmarks: SASP proxies in one thread, director processes, and the baseline process.

The baseline only writes frames that were encoded beforehand. Printed output calls it "floor".
"""

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
from rainpick.simulated_peers.ports import free_ports
from rainpick.simulated_peers.sasp_client import SaspClient

FLEET = Group("rainpick", "servers")


def start_director(folder: Path, **parts) -> tuple[subprocess.Popen, dict[str, tuple[str, int]], Path]:
    """Start a director in its own process; return the process, its listen addresses, its settings file.

    ``parts`` are top-level parts of the settings, which replace the defaults given here.
    """
    ports = dict(zip(("sasp", "otlp", "status"), free_ports(3), strict=True))
    settings = {
        "director": {"settle": "200ms"},
        "listen": {name: f"127.0.0.1:{port}" for name, port in ports.items()},
        "routes": [{"name": "lookup", "slo_time": "500ms", "time_limit": "2s"}],
        "log": {"level": "warning"},
        **parts,
    }
    settings_file = folder / "director.json5"
    settings_file.write_text(json.dumps(settings))
    return (
        launch_director(settings_file),
        {name: ("127.0.0.1", port) for name, port in ports.items()},
        settings_file,
    )


def launch_director(settings_file: Path) -> subprocess.Popen:
    return subprocess.Popen(
        [sys.executable, "-m", "rainpick", "run", "--config", str(settings_file)],
        env={**os.environ, "PYTHONPATH": os.getcwd()},
    )


def wait_for_listener(address: tuple[str, int], timeout_s: float = 20.0) -> None:
    end = time.monotonic() + timeout_s
    while True:
        try:
            socket.create_connection(address, 0.5).close()
            return
        except OSError:
            if time.monotonic() > end:
                raise
            time.sleep(0.001)


class Proxies:
    """SASP proxies that register and then only read, to measure when each has received its next table.

    ``initial_servers`` is the number of servers that each proxy registers as its initial table.
    """

    def __init__(self, address: tuple[str, int], count: int, initial_servers: int = 0):
        self.address, self.selector = address, selectors.DefaultSelector()
        self.streams: dict[socket.socket, FrameReader] = {}
        self.uids = [f"edge-{number}" for number in range(count)]
        self.initial_members = tuple(Member.at("127.0.0.1", 9000 + port) for port in range(initial_servers))

    def connect(self) -> None:
        """Connect all proxies and send their LB state and registration; the replies are read later."""
        for uid in self.uids:
            sock = socket.create_connection(self.address, 10)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.sendall(
                encode_message(SetLbState(uid), 1)
                + encode_message(
                    Registration((MemberGroup(Group(uid, "servers"), self.initial_members),), True), 2
                )
            )
            self.streams[sock] = FrameReader(1 << 22)
            self.selector.register(sock, selectors.EVENT_READ)

    def wait_for_weights(self, timeout_s: float = 30.0) -> list[int]:
        """Read until each proxy has received Send Weights; return the times (ns), earliest first."""
        waiting, received_ns = set(self.streams), []
        end = time.monotonic() + timeout_s
        while waiting:
            for key, _ in self.selector.select(1.0):
                sock = key.fileobj
                data = sock.recv(1 << 18)
                now = time.monotonic_ns()
                if not data:
                    raise ConnectionResetError("a stream was closed while proxies waited for Send Weights")
                if sock in waiting and self.consume_messages(self.streams[sock], data):
                    waiting.discard(sock)
                    received_ns.append(now)
            if time.monotonic() > end:
                raise TimeoutError(
                    f"{len(waiting)} proxies have not received Send Weights within {timeout_s:.0f} s"
                )
        return received_ns

    @staticmethod
    def consume_messages(reader: FrameReader, data: bytes) -> bool:
        """Discard whole messages; return whether one of them was Send Weights.

        Reads only types and lengths, so that the reader adds the same low cost to director and baseline.
        """
        reader.buffer += data
        received = False
        while len(reader.buffer) >= 15:
            (length,) = struct.unpack_from(">I", reader.buffer, 5)
            if len(reader.buffer) < length:
                break
            (message_type,) = struct.unpack_from(">H", reader.buffer, 13)
            received = received or message_type == MessageType.SEND_WEIGHTS
            del reader.buffer[:length]
        return received

    def discard_until_idle(self, idle_s: float = 0.3) -> None:
        """Discard all data until none has arrived for ``idle_s``."""
        while ready := self.selector.select(idle_s):
            for key, _ in ready:
                self.consume_messages(self.streams[key.fileobj], key.fileobj.recv(1 << 18))

    def close(self) -> None:
        for sock in self.streams:
            sock.close()
        self.streams.clear()
        self.selector.close()


def run_baseline(
    queue: multiprocessing.Queue, frames: list[bytes], request_bytes: int, triggered: bool
) -> None:
    """Accept one stream for each frame, and write the frames to the streams.

    ``request_bytes`` are first read from each stream, as a director reads two requests. If ``triggered``,
    a control connection is accepted before the streams, and all frames are written for each byte received
    on it. Otherwise a frame is written once its stream's requests are read, and the process ends when the
    queue gets an item. The queue also returns the listener's port.
    """
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    queue.put(listener.getsockname()[1])
    control = listener.accept()[0] if triggered else None
    streams = []
    for frame in frames:
        sock = listener.accept()[0]
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        remaining = request_bytes
        while remaining > 0:
            remaining -= len(sock.recv(remaining))
        if not triggered:
            sock.sendall(frame)
        streams.append(sock)
    if not triggered:
        queue.get()
        return
    while control.recv(1):
        for sock, frame in zip(streams, frames, strict=True):
            sock.sendall(frame)


class Baseline:
    """A process that runs ``run_baseline``."""

    def __init__(self, frames: list[bytes], request_bytes: int = 0, triggered: bool = True):
        self.queue = multiprocessing.Queue()
        self.process = multiprocessing.Process(
            target=run_baseline, args=(self.queue, frames, request_bytes, triggered)
        )
        self.process.start()
        self.address = ("127.0.0.1", self.queue.get())
        self.control = socket.create_connection(self.address) if triggered else None

    def trigger(self) -> None:
        self.control.send(b"!")

    def close(self) -> None:
        if self.control is not None:
            self.control.close()
        else:
            self.queue.put(None)
        self.process.join(5)


def register_servers(address: tuple[str, int], ports: range, label: str = "age=1000;boot=1") -> SaspClient:
    """Register servers at these ports with a director; return the client that keeps its stream open."""
    client = SaspClient(address)
    for begin in range(ports.start, ports.stop, 500):
        members = tuple(Member.at("127.0.0.1", port, label) for port in ports[begin - ports.start :][:500])
        assert client.request(Registration((MemberGroup(FLEET, members),))).code == ReturnCode.SUCCESS
    return client


def temporary_folder() -> Path:
    return Path(tempfile.mkdtemp(prefix="rainpick-bench-"))


def format_row(name: str, values: list[float], unit: str) -> str:
    """Format the median, the 99th percentile, the minimum and the maximum."""
    ordered = sorted(values)
    p99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    return (
        f"{name:<44} median {statistics.median(ordered):9.3f}  99% {p99:9.3f}  "
        f"min {ordered[0]:9.3f}  max {ordered[-1]:9.3f} {unit}"
    )
