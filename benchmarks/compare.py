"""Comparison of the cost of two source trees: ``python -m benchmarks.compare BEFORE AFTER``.

Each tree is a checkout, or a git revision that is unpacked into a temporary folder. No module is imported
from either tree: the benchmark uses only the network and pipe protocols of their processes, so it also works
across changes that rename or move code. It measures three quantities, alternating between the trees, and
compares the medians:

* the CPU time of a step: a recorded day is written to ``python -m rainpick.simhost``, and the CPU time of a
  process with empty input is subtracted. The day is recorded once, from the replies of BEFORE; the replies of
  both trees must be identical byte for byte;
* the time from starting ``python -m rainpick.node`` to its reply to a heartbeat;
* the memory of that process after a settling time. Its relay and its discovery accept connections and never
  reply.

Exits with 1 if a median of AFTER is more than a tenth above that of BEFORE, or if the replies differ.
"""

from __future__ import annotations

import argparse
import hashlib
import io
import json
import os
import random
import socket
import statistics
import struct
import subprocess
import sys
import tarfile
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import BinaryIO, NamedTuple

MAX_RATIO = 1.10
STEP_ROUNDS, START_ROUNDS, MEMORY_ROUNDS = 9, 61, 7
SETTLE_S, START_TIMEOUT_S, POLL_INTERVAL_S = 2.0, 30.0, 0.001
LOOPBACK = "127.0.0.1"

# The recorded day
SEED = 20240229
SERVERS, ZONES, MACHINE_TYPES, PROXIES, ROUTES = 200, 4, 2, 300, 2
STEPS, STEP_US, STEPS_PER_REPORT = 640, 250_000, 2
REPORT_US = STEPS_PER_REPORT * STEP_US
DEPLOY_START_STEP, DEPLOY_INTERVAL_STEPS, DEPLOY_BATCH_SERVERS = 40, 4, 2
DRAIN_STEPS = 12  # from the start of a server's drain to its removal
REJOIN_INTERVAL_STEPS = 8  # a proxy leaves and joins again once in each interval
# These servers fail most attempts during these steps.
FAILING_SERVERS, FAILING_STEPS = 6, range(300, 360)
FAST_LATENCY_US, SLOW_LATENCY_US, ACKNOWLEDGEMENT_DELAY_US = 60_000, 90_000, 40_000
MAX_ATTEMPTS, FAILURE_RATIO = 12, 0.8

# Input of the simulator protocol
BATCH_HEADER = struct.Struct(">IIQ")
ENDPOINT = struct.Struct(">fBQHH6sB")
INSTANCE = 1
LOAD_VALUES = (0.5, 1.0)  # of each server, in the order of "stats" in the settings
GONE, READY, DRAINING = 0, 1, 2
DELTA, CACHED = 0, 2

# Output of the simulator protocol: headers of a reply and of a record, and the record layouts by code
REPLY_HEADER, RECORD_HEADER = struct.Struct(">II"), struct.Struct(">HI")
CLEAR_TABLE, LOG_MESSAGE, SET_WITHDRAWN, REQUEST_ACKNOWLEDGEMENT, BIND_PROXY, SET_WEIGHT, SUBSCRIBE = (
    1000, 1010, 1020, 1030, 1040, 1050, 1060,
)  # fmt: skip
FETCH_ENDPOINTS, PROBE_SERVER, FAILURE, SEND_PEER_MESSAGE, SET_TIMER, SET_ADMISSION = (
    1070, 1080, 1090, 1100, 1110, 1120,
)  # fmt: skip
COMMAND_LAYOUTS = {
    code: struct.Struct(">" + layout)
    for code, layout in {
        CLEAR_TABLE: "H", LOG_MESSAGE: "H", SET_WITHDRAWN: "6sB", REQUEST_ACKNOWLEDGEMENT: "QB",
        BIND_PROXY: "HHH", SET_WEIGHT: "H6sf", SUBSCRIBE: "B", FETCH_ENDPOINTS: "", PROBE_SERVER: "6s",
        FAILURE: "H", SEND_PEER_MESSAGE: "HH", SET_TIMER: "QI", SET_ADMISSION: "HHfB",
    }.items()
}  # fmt: skip
# Their last field is the length of the text or data that follows.
COMMANDS_WITH_TEXT = (LOG_MESSAGE, FAILURE, SEND_PEER_MESSAGE)
ALL_TABLES = 65535

ZONE_NAMES = [f"zone-{number}" for number in range(ZONES)]
MACHINE_NAMES = [f"machine-{number}" for number in range(MACHINE_TYPES)]
SETTINGS = {
    "grades": [
        {"name": "lookup", "sloUs": 500_000, "hardLimitUs": 2_000_000, "repeat": "safe", "worth": 1.0},
        {"name": "commit", "sloUs": 400_000, "hardLimitUs": 1_000_000, "repeat": "keyed", "worth": 5.0},
    ],
    "failureDomains": ZONE_NAMES,
    "machineTypes": MACHINE_NAMES,
    "az": 0,
    "me": 0,
    "fleetSize": 1,
    "roundUs": 1_000,
    "discovery": "pushed",
    "penalties": {"crossZone": 0.05},
    "stats": {"names": ["busy", "q"], "source": "piggyback"},
    "domain": {
        "proxyCount": PROXIES, "pendingMax": 5400.0, "linesPerS": 2700.0, "head": 6.0, "hearsPerS": 2800.0,
        "reportEveryUs": REPORT_US, "defaultSize": 5, "admit": "ratio", "pushesAllowed": 0,
    },
    "safety": {
        "drainGraceUs": 2_900_000, "warmAfterUs": 12_000_000, "startCapacity": 0.16, "fallMultiple": 3.0,
    },
}  # fmt: skip

FRAME_HEADER = struct.Struct("<I")  # length of a message to the live director


class ComparisonError(Exception):
    """The two trees cannot be compared; the message is the reason."""


class Server(NamedTuple):
    """An endpoint list entry of the recorded day."""

    number: int
    started_us: int = 0
    state: int = READY

    @property
    def address(self) -> bytes:
        return bytes((10, 0, self.number >> 8, self.number & 255, 35, 40))

    def encode(self) -> bytes:
        zone, machine = self.number % ZONES, self.number // ZONES % MACHINE_TYPES
        return ENDPOINT.pack(1.0, zone, self.started_us, machine, 0, self.address, self.state)


class RecordType(NamedTuple):
    """A type of input record: its code and the layout of its fixed fields."""

    code: int
    layout: struct.Struct

    def pack(self, *fields: object) -> bytes:
        return RECORD_CODE.pack(self.code) + self.layout.pack(*fields)


RECORD_CODE = struct.Struct(">H")
STARTED = RecordType(1000, struct.Struct(">IQI"))
ENDPOINT_UPDATE = RecordType(1010, struct.Struct(">IBIQ"))
TIMER_FIRED = RecordType(1020, struct.Struct(">IQ"))
PROXY_JOINED = RecordType(1060, struct.Struct(">IBfHB"))
PROXY_LEFT = RecordType(1070, struct.Struct(">IH"))
ACKNOWLEDGED = RecordType(1080, struct.Struct(">IHQI"))
SERVER_LOAD_REPORT = RecordType(1090, struct.Struct(">IB6sIIIIBff"))
ROUTE_LOAD_REPORT = RecordType(1100, struct.Struct(">IHBIII"))
ENDPOINT_LIST = RecordType(1140, struct.Struct(">II"))


class Command(NamedTuple):
    """A record of a director's reply."""

    code: int
    fields: tuple
    text: bytes


class RecordedDay(NamedTuple):
    """The input of a director over a whole day."""

    data: bytes
    steps: int


class SimhostRun(NamedTuple):
    """Result of a ``rainpick.simhost`` process that read a recorded day."""

    cpu_s: float
    replies: bytes


class Rounds(NamedTuple):
    """Number of measurements of each quantity per tree."""

    step: int
    start: int
    memory: int


class Memory(NamedTuple):
    """Memory of a live director after the settling time."""

    resident_mib: float
    peak_mib: float


class Measurement(NamedTuple):
    """A row of the table: the values of both trees by round."""

    name: str
    before: list[float]
    after: list[float]

    @property
    def ratio(self) -> float:
        return statistics.median(self.after) / statistics.median(self.before)

    def row(self) -> str:
        before, after = statistics.median(self.before), statistics.median(self.after)
        spreads = f"{relative_spread(self.before):6.1%} {relative_spread(self.after):6.1%}"
        return (
            f"{self.name:28} {before:10.2f} {after:10.2f} {self.ratio:7.3f}   {spreads}  {len(self.after):3}"
        )


def relative_spread(values: list[float]) -> float:
    """Return the interquartile range divided by the median."""
    low, middle, high = statistics.quantiles(values, n=4)
    return (high - low) / middle


# The recorded day


def settings_lines(settings: object, path: str = "") -> Iterator[str]:
    """Flatten nested settings into the lines of the protocol, each a dotted path and a value."""
    if isinstance(settings, list) and isinstance(settings[0], dict):
        settings = {"count": len(settings)} | {str(number): item for number, item in enumerate(settings)}
    if isinstance(settings, dict):
        for name, item in settings.items():
            yield from settings_lines(item, f"{path}.{name}" if path else name)
    else:
        yield f"{path}={','.join(map(str, settings)) if isinstance(settings, list) else settings}"


def decode_commands(body: bytes) -> Iterator[Command]:
    """Decode the records of a reply."""
    offset = 0
    while offset < len(body):
        code, _ = RECORD_HEADER.unpack_from(body, offset)
        offset += RECORD_HEADER.size
        fields = COMMAND_LAYOUTS[code].unpack_from(body, offset)
        offset += COMMAND_LAYOUTS[code].size
        length = fields[-1] if code in COMMANDS_WITH_TEXT else 0
        yield Command(code, fields, body[offset : offset + length])
        offset += length


class SimulatedDay:
    """A simulated day: builds the input batches, which depend on the replies to earlier batches."""

    def __init__(self) -> None:
        self.random = random.Random(SEED)
        self.servers = {number: Server(number) for number in range(SERVERS)}
        self.next_number, self.version, self.list_count = SERVERS, 0, 0
        self.ends_by_step: dict[int, list[int]] = {}  # servers that are removed, by step
        self.table_by_proxy: dict[int, int | None] = dict.fromkeys(range(PROXIES))  # of joined proxies
        self.timers: list[tuple[int, int]] = []  # due time, token
        self.unacknowledged: list[tuple[int, int]] = []  # proxy, nonce

    def batch(self, step: int) -> bytes:
        """Encode the input of one step."""
        now = (step + 1) * STEP_US
        records = self.start_records() if step == 0 else [*self.fired_timers(now), *self.acknowledgements()]
        if step:
            records += self.deploy(step, now)
            records += self.rejoin(step)
        if step and step % STEPS_PER_REPORT == 0:
            records += self.load_reports(step)
        body = b"".join(records)
        return BATCH_HEADER.pack(BATCH_HEADER.size + len(body), len(records), now) + body

    def start_records(self) -> list[bytes]:
        text = "\n".join(settings_lines(SETTINGS)).encode()
        started = STARTED.pack(INSTANCE, SEED, len(text)) + text
        joins = [self.join(proxy, fresh=True) for proxy in self.table_by_proxy]
        return [started, *self.endpoint_update(CACHED, list(self.servers.values())), *joins]

    def endpoint_update(self, kind: int, entries: list[Server]) -> list[bytes]:
        """Encode an endpoint list and the update that refers to it."""
        self.version, self.list_count = self.version + 1, self.list_count + 1
        encoded = b"".join(entry.encode() for entry in entries)
        header = ENDPOINT_LIST.pack(self.list_count, len(entries))
        return [header + encoded, ENDPOINT_UPDATE.pack(INSTANCE, kind, self.list_count, self.version)]

    def join(self, proxy: int, fresh: bool) -> bytes:
        self.table_by_proxy[proxy] = None
        return PROXY_JOINED.pack(INSTANCE, fresh, 4.0 + proxy % 5, proxy, proxy % ZONES)

    def fired_timers(self, now: int) -> list[bytes]:
        due_timers = [timer for timer in self.timers if timer[0] <= now]
        self.timers = [timer for timer in self.timers if timer[0] > now]
        return [TIMER_FIRED.pack(INSTANCE, token) for _, token in sorted(due_timers)]

    def acknowledgements(self) -> list[bytes]:
        unacknowledged, self.unacknowledged = self.unacknowledged, []
        return [
            ACKNOWLEDGED.pack(INSTANCE, proxy, nonce, ACKNOWLEDGEMENT_DELAY_US)
            for proxy, nonce in unacknowledged
        ]

    def deploy(self, step: int, now: int) -> list[bytes]:
        """Start the drain of a batch of servers and list their replacements; remove drained servers later."""
        changed = []
        for number in self.ends_by_step.pop(step, []):
            changed.append(self.servers.pop(number)._replace(state=GONE))
        if step >= DEPLOY_START_STEP and step % DEPLOY_INTERVAL_STEPS == 0:
            ready = [number for number, server in self.servers.items() if server.state == READY]
            for number in [number for number in ready if number < SERVERS][:DEPLOY_BATCH_SERVERS]:
                self.servers[number] = self.servers[number]._replace(state=DRAINING)
                self.ends_by_step.setdefault(step + DRAIN_STEPS, []).append(number)
                self.servers[self.next_number] = Server(self.next_number, now)
                changed += [self.servers[number], self.servers[self.next_number]]
                self.next_number += 1
        return self.endpoint_update(DELTA, changed) if changed else []

    def rejoin(self, step: int) -> list[bytes]:
        if step % REJOIN_INTERVAL_STEPS:
            return []
        proxy = self.random.randrange(PROXIES)
        return [PROXY_LEFT.pack(INSTANCE, proxy), self.join(proxy, fresh=True)]

    def load_reports(self, step: int) -> list[bytes]:
        """Report each server's load by zone, and each proxy's requests by route."""
        return [*self.server_reports(step), *self.route_reports()]

    def server_reports(self, step: int) -> Iterator[bytes]:
        failing = set(list(self.servers)[-FAILING_SERVERS:]) if step in FAILING_STEPS else set()
        for number, server in self.servers.items():
            base_latency_us = SLOW_LATENCY_US if number // ZONES % MACHINE_TYPES else FAST_LATENCY_US
            for zone in range(ZONES):
                attempts = self.random.randint(MAX_ATTEMPTS // 2, MAX_ATTEMPTS)
                failures = round(attempts * FAILURE_RATIO) if number in failing else 0
                latency_us = int(base_latency_us * self.random.uniform(0.7, 1.4))
                yield SERVER_LOAD_REPORT.pack(
                    INSTANCE,
                    zone,
                    server.address,
                    failures,
                    latency_us,
                    REPORT_US,
                    attempts,
                    len(LOAD_VALUES),
                    *LOAD_VALUES,
                )

    def route_reports(self) -> Iterator[bytes]:
        for proxy in range(PROXIES):
            for route in range(ROUTES):
                requests = self.random.randint(1, 4)
                yield ROUTE_LOAD_REPORT.pack(INSTANCE, proxy, route, requests, 0, REPORT_US)

    def apply_reply(self, now: int, body: bytes) -> None:
        """Set the timers of a reply, and store the nonces that proxies must acknowledge."""
        affected: set[int] = set()
        for command in decode_commands(body):
            match command:
                case Command(code=code, text=text) if code == FAILURE:
                    raise ComparisonError(f"the director failed during the recorded day: {text.decode()}")
                case Command(code=code, fields=(token, delay_us)) if code == SET_TIMER:
                    self.timers.append((now + delay_us, token))
                case Command(code=code, fields=(table, _, proxy)) if code == BIND_PROXY:
                    self.table_by_proxy[proxy] = table
                    affected.add(proxy)
                case Command(code=code, fields=(table, *_)) if code in (
                    SET_WEIGHT,
                    SET_ADMISSION,
                    CLEAR_TABLE,
                ):
                    affected.update(
                        proxy
                        for proxy, bound_table in self.table_by_proxy.items()
                        if table in (bound_table, ALL_TABLES)
                    )
                case Command(code=code) if code == SET_WITHDRAWN:
                    affected.update(self.table_by_proxy)
                case Command(code=code, fields=(nonce, all_proxies)) if code == REQUEST_ACKNOWLEDGEMENT:
                    acknowledging = self.table_by_proxy if all_proxies else affected
                    self.unacknowledged += [(proxy, nonce) for proxy in sorted(acknowledging)]


# Trees and processes


@contextmanager
def source_tree(name: str) -> Iterator[Path]:
    """Yield the folder of a checkout, or of a git revision, which is unpacked and deleted afterwards."""
    if Path(name).is_dir():
        yield Path(name).resolve()
        return
    archive = subprocess.run(["git", "archive", "--format=tar", name], capture_output=True)
    if archive.returncode:
        raise ComparisonError(
            f"{name}: neither a folder nor a git revision: {archive.stderr.decode().strip()}"
        )
    with tempfile.TemporaryDirectory() as folder:
        with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as members:
            members.extractall(folder, filter="data")
        yield Path(folder).resolve()


def environment(tree: Path) -> dict[str, str]:
    """Return an environment that imports from the tree, caches bytecode and fixes the hash seed."""
    kept = {name: value for name, value in os.environ.items() if name != "PYTHONDONTWRITEBYTECODE"}
    return kept | {"PYTHONPATH": str(tree), "PYTHONHASHSEED": "0"}


def start_module(tree: Path, module: str, **options: object) -> subprocess.Popen:
    """Start a module of a tree as a process."""
    options = {"env": environment(tree)} | options
    return subprocess.Popen([sys.executable, "-m", module], cwd=tree, **options)


def check_tree(tree: Path) -> None:
    """Check that ``rainpick`` is imported from the tree and not from an installed package."""
    command = [sys.executable, "-c", "import rainpick; print(rainpick.__file__)"]
    found = subprocess.run(command, cwd=tree, env=environment(tree), capture_output=True, text=True)
    if not found.stdout.startswith(str(tree) + os.sep):
        raise ComparisonError(
            f"{tree}: rainpick is not imported from this folder: {found.stdout}{found.stderr}"
        )


def record_day(tree: Path) -> RecordedDay:
    """Run the day with a tree's director; return its input."""
    day, written = SimulatedDay(), []
    with start_module(tree, "rainpick.simhost", stdin=subprocess.PIPE, stdout=subprocess.PIPE) as process:
        for step in range(STEPS):
            written.append(day.batch(step))
            process.stdin.write(written[-1])
            process.stdin.flush()
            day.apply_reply((step + 1) * STEP_US, read_reply(process.stdout))
        process.stdin.close()
    return RecordedDay(b"".join(written), STEPS)


def read_reply(pipe: BinaryIO) -> bytes:
    """Read the records of the next reply."""
    header = pipe.read(REPLY_HEADER.size)
    if len(header) < REPLY_HEADER.size:
        raise ComparisonError("rainpick.simhost ended before the end of the recorded day")
    size, _ = REPLY_HEADER.unpack(header)
    return pipe.read(size - REPLY_HEADER.size)


def run_simhost(tree: Path, data: bytes) -> SimhostRun:
    """Run ``rainpick.simhost`` on recorded input; return its CPU time and its replies."""
    with tempfile.TemporaryFile() as source, tempfile.TemporaryFile() as sink:
        source.write(data)
        source.seek(0)
        process = start_module(tree, "rainpick.simhost", stdin=source, stdout=sink)
        _, status, usage = os.wait4(process.pid, 0)
        process.returncode = os.waitstatus_to_exitcode(status)
        if process.returncode:
            raise ComparisonError(f"{tree}: rainpick.simhost ended with {process.returncode}")
        sink.seek(0)
        return SimhostRun(usage.ru_utime + usage.ru_stime, sink.read())


def live_configuration(port: int, platform_port: int) -> dict:
    """Build the file that ``PROXY_CONFIG`` names, with the servers of the recorded day as known endpoints."""
    instances = [
        {
            "instanceId": f"s-{number:04x}", "hostPort": f"{LOOPBACK}:{9000 + number}",
            "zone": ZONE_NAMES[number % ZONES], "machineType": MACHINE_NAMES[0], "cell": 0,
            "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0,
        }
        for number in range(SERVERS)
    ]  # fmt: skip
    return {
        "name": "compared", "listen": f"{LOOPBACK}:{port}", "discovery": f"{LOOPBACK}:{platform_port}",
        "registry": {"address": f"{LOOPBACK}:{platform_port}"}, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"generation": 0, "reset": True, "instances": instances}, "settings": SETTINGS,
    }  # fmt: skip


def free_port() -> int:
    with socket.create_server((LOOPBACK, 0)) as listener:
        return listener.getsockname()[1]


def wait_for_heartbeat(process: subprocess.Popen, port: int) -> None:
    """Wait until the director accepts a connection and replies to a heartbeat."""
    message = json.dumps({"t": "hb"}).encode()
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline and process.poll() is None:
        try:
            with socket.create_connection((LOOPBACK, port), START_TIMEOUT_S) as peer:
                peer.sendall(FRAME_HEADER.pack(len(message)) + message)
                if peer.recv(1):
                    return
        except OSError:
            time.sleep(POLL_INTERVAL_S)
    raise ComparisonError(f"rainpick.node did not reply to a heartbeat; exit status {process.poll()}")


def memory_mib(pid: int, field: str) -> float:
    """Return a field of ``/proc/PID/status`` that is given in kB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == field:
            return int(value.split()[0]) / 1024
    raise ComparisonError(f"no field {field} in the status file of process {pid}")


@contextmanager
def live_director(tree: Path) -> Iterator[tuple[int, float]]:
    """Run a live director; yield its process ID and its start time in milliseconds."""
    with tempfile.TemporaryDirectory() as folder, socket.create_server((LOOPBACK, 0), backlog=64) as platform:
        path, port = Path(folder, "config.json"), free_port()
        path.write_text(json.dumps(live_configuration(port, platform.getsockname()[1])))
        env = environment(tree) | {"PROXY_CONFIG": str(path)}
        begin = time.perf_counter()
        process = start_module(
            tree, "rainpick.node", env=env, stderr=subprocess.DEVNULL, stdout=subprocess.DEVNULL
        )
        try:
            wait_for_heartbeat(process, port)
            yield process.pid, (time.perf_counter() - begin) * 1e3
        finally:
            process.kill()
            process.wait()


def start_time_ms(tree: Path) -> float:
    with live_director(tree) as (_, start_ms):
        return start_ms


def settled_memory(tree: Path) -> Memory:
    with live_director(tree) as (pid, _):
        time.sleep(SETTLE_S)
        return Memory(memory_mib(pid, "VmRSS"), memory_mib(pid, "VmHWM"))


# The comparison


def measure_steps(before: Path, after: Path, rounds: int) -> tuple[Measurement, bool]:
    """Measure the CPU time of a step; also return whether all replies of both trees are identical."""
    day = record_day(before)
    for tree in (before, after):
        run_simhost(tree, b"")  # fills the bytecode cache
    print(f"recorded: {day.steps} steps, {len(day.data)} bytes, sha256 {digest(day.data)}")
    times: dict[str, list[float]] = {"before": [], "after": []}
    digests: dict[str, set[str]] = {"before": set(), "after": set()}
    for round_number in range(rounds):
        for side, tree in sides_in_order(before, after, round_number):
            empty_run, day_run = run_simhost(tree, b""), run_simhost(tree, day.data)
            times[side].append((day_run.cpu_s - empty_run.cpu_s) / day.steps * 1e6)
            digests[side].add(digest(day_run.replies))
    for side, found in digests.items():
        print(f"replies of {side}: sha256 {', '.join(sorted(found))}")
    same_replies = len(digests["before"] | digests["after"]) == 1
    return Measurement("CPU of a step, us", times["before"], times["after"]), same_replies


def digest(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()


def sides_in_order(before: Path, after: Path, round_number: int) -> list[tuple[str, Path]]:
    """Return both trees; odd rounds start with AFTER."""
    sides = [("before", before), ("after", after)]
    return sides[::-1] if round_number % 2 else sides


def measure_starts(before: Path, after: Path, rounds: int) -> Measurement:
    """Measure the start time of the live director."""
    for tree in (before, after):
        start_time_ms(tree)  # fills the bytecode cache
    times: dict[str, list[float]] = {"before": [], "after": []}
    for round_number in range(rounds):
        for side, tree in sides_in_order(before, after, round_number):
            times[side].append(start_time_ms(tree))
    return Measurement("start to heartbeat, ms", times["before"], times["after"])


def measure_memory(before: Path, after: Path, rounds: int) -> list[Measurement]:
    """Measure the memory of the live director."""
    runs: dict[str, list[Memory]] = {"before": [], "after": []}
    for round_number in range(rounds):
        for side, tree in sides_in_order(before, after, round_number):
            runs[side].append(settled_memory(tree))
    names = ("VmRSS, MiB", "VmHWM, MiB")
    columns = zip(names, zip(*runs["before"], strict=True), zip(*runs["after"], strict=True), strict=True)
    return [Measurement(name, list(before_mib), list(after_mib)) for name, before_mib, after_mib in columns]


def compare(before: Path, after: Path, rounds: Rounds) -> bool:
    """Print the table; return whether AFTER is within the limit and its replies are identical."""
    for tree in (before, after):
        check_tree(tree)
    steps, same_replies = measure_steps(before, after, rounds.step)
    starts = measure_starts(before, after, rounds.start)
    measurements = [steps, starts, *measure_memory(before, after, rounds.memory)]
    print(f"{'medians':28} {'before':>10} {'after':>10} {'ratio':>7}   middle halves  rounds")
    for measurement in measurements:
        print(measurement.row())
    exceeded = [measurement.name for measurement in measurements if measurement.ratio > MAX_RATIO]
    if exceeded:
        print(f"over {MAX_RATIO:.2f}: {'; '.join(exceeded)}")
    if not same_replies:
        print("the replies differ")
    return same_replies and not exceeded


def round_count(text: str) -> int:
    """Parse a number of rounds; a spread needs at least two."""
    if (number := int(text)) < 2:
        raise argparse.ArgumentTypeError(f"expected at least 2 rounds, got {number}")
    return number


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.compare", description="Compare two trees' costs.")
    parser.add_argument("before", help="a checkout or a git revision")
    parser.add_argument("after", help="a checkout or a git revision")
    parser.add_argument("--step-rounds", type=round_count, default=STEP_ROUNDS)
    parser.add_argument("--start-rounds", type=round_count, default=START_ROUNDS)
    parser.add_argument("--memory-rounds", type=round_count, default=MEMORY_ROUNDS)
    arguments = parser.parse_args()
    rounds = Rounds(arguments.step_rounds, arguments.start_rounds, arguments.memory_rounds)
    try:
        with ExitStack() as trees:
            before, after = (
                trees.enter_context(source_tree(name)) for name in (arguments.before, arguments.after)
            )
            return 0 if compare(before, after, rounds) else 1
    except ComparisonError as error:
        print(f"benchmarks.compare: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
