"""The cost of two source trees side by side: ``python -m benchmarks.compare BEFORE AFTER``.

Each side is a checkout or a git revision, which is unpacked into a temporary folder. Nothing is imported from
either of them: they are driven through their processes' wires, so that a change that renames and moves code
can be measured. Three things are compared, with the two sides in turn and by their medians:

* the CPU time of a step: a recorded day is fed to ``python -m rainpick.simhost``, and the time of a process
  that is fed nothing is subtracted. The day is recorded once, with the replies of BEFORE; the replies of both
  sides must be the same to the byte;
* the time from starting ``python -m rainpick.node`` to its answer to a heartbeat;
* the memory of that process, once it has settled. Its relay and its discovery accept and never answer.

Exits with 1 if a figure of AFTER is more than a tenth above that of BEFORE, or if the replies differ.
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

RATIO_MOST = 1.10
STEP_ROUNDS, START_ROUNDS, MEMORY_ROUNDS = 9, 61, 7
SETTLE_S, START_MOST_S, POLL_S = 2.0, 30.0, 0.001
LOOPBACK = "127.0.0.1"

# The day that is recorded.
SEED = 20240229
SERVERS, ZONES, MACHINE_TYPES, PROXIES, ROUTES = 200, 4, 2, 300, 2
STEPS, STEP_US, STEPS_PER_REPORT = 640, 250_000, 2
REPORT_US = STEPS_PER_REPORT * STEP_US
RELEASE_BEGIN, RELEASE_EVERY, RELEASE_BATCH = 40, 4, 2  # steps, steps, servers
GONE_AFTER = 12  # steps from a server's drain to its end
REJOIN_EVERY = 8  # steps between proxies that leave and come back
FAILING, FAILING_STEPS = 6, range(300, 360)  # servers that drop most calls, and when
USUAL_MEAN_US, SLOW_MEAN_US, READ_US = 60_000, 90_000, 40_000
TRIES, FAILING_DROPS = 12, 0.8

# The simulator's wire: what is written to a director.
BATCH_HEAD = struct.Struct(">IIQ")
LIST_ENTRY = struct.Struct(">fBQHH6sB")
INSTANCE = 1
LOADS = (0.5, 1.0)  # of each server, in the order of the settings' "stats"
GONE, READY, DRAINING = 0, 1, 2
DELTA, CACHED = 0, 2

# What a director writes: a reply's head, a record's head, and the fixed fields by the record's code.
REPLY_HEAD, RECORD_HEAD = struct.Struct(">II"), struct.Struct(">HI")
CLEAR, NOTE, WITHDRAW, MARK, BIND, SET_LINE, SUBSCRIBE = 1000, 1010, 1020, 1030, 1040, 1050, 1060
FETCH_LIST, PROBE, FAILURE, TELL, SET_TIMER, ADMIT = 1070, 1080, 1090, 1100, 1110, 1120
FIELDS = {
    code: struct.Struct(">" + form)
    for code, form in {
        CLEAR: "H", NOTE: "H", WITHDRAW: "6sB", MARK: "QB", BIND: "HHH", SET_LINE: "H6sf", SUBSCRIBE: "B",
        FETCH_LIST: "", PROBE: "6s", FAILURE: "H", TELL: "HH", SET_TIMER: "QI", ADMIT: "HHfB",
    }.items()
}  # fmt: skip
WITH_TEXT = (NOTE, FAILURE, TELL)  # their last field is the length of what follows
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

FRAME_HEAD = struct.Struct("<I")  # of a message to the live director


class ComparisonError(Exception):
    """The two trees cannot be compared; it says why."""


class Server(NamedTuple):
    """One entry of the recorded day's server list."""

    number: int
    started_us: int = 0
    state: int = READY

    @property
    def address(self) -> bytes:
        return bytes((10, 0, self.number >> 8, self.number & 255, 35, 40))

    def packed(self) -> bytes:
        zone, machine = self.number % ZONES, self.number // ZONES % MACHINE_TYPES
        return LIST_ENTRY.pack(1.0, zone, self.started_us, machine, 0, self.address, self.state)


class Record(NamedTuple):
    """A kind of record that is written to a director, by its code."""

    code: int
    form: struct.Struct

    def pack(self, *fields: object) -> bytes:
        return RECORD_CODE.pack(self.code) + self.form.pack(*fields)


RECORD_CODE = struct.Struct(">H")
STARTED = Record(1000, struct.Struct(">IQI"))
LISTED = Record(1010, struct.Struct(">IBIQ"))
TIMER_DUE = Record(1020, struct.Struct(">IQ"))
PROXY_JOINED = Record(1060, struct.Struct(">IBfHB"))
PROXY_LEFT = Record(1070, struct.Struct(">IH"))
APPLIED = Record(1080, struct.Struct(">IHQI"))
SERVER_MET = Record(1090, struct.Struct(">IB6sIIIIBff"))
PROXY_MET = Record(1100, struct.Struct(">IHBIII"))
SERVER_LIST = Record(1140, struct.Struct(">II"))


class Order(NamedTuple):
    """One record of a director's reply."""

    code: int
    fields: tuple
    text: bytes


class Conversation(NamedTuple):
    """All that is written to a director in a recorded day."""

    data: bytes
    steps: int


class StepRun(NamedTuple):
    """One process that was fed a conversation."""

    cpu_s: float
    replies: bytes


class Rounds(NamedTuple):
    """How often each thing is measured on either side."""

    step: int
    start: int
    memory: int


class Memory(NamedTuple):
    """What a settled live director holds."""

    resident_mib: float
    peak_mib: float


class Figure(NamedTuple):
    """One row of the table: what was measured on either side, round by round."""

    name: str
    before: list[float]
    after: list[float]

    @property
    def ratio(self) -> float:
        return statistics.median(self.after) / statistics.median(self.before)

    def row(self) -> str:
        before, after = statistics.median(self.before), statistics.median(self.after)
        spreads = f"{spread(self.before):6.1%} {spread(self.after):6.1%}"
        return (
            f"{self.name:28} {before:10.2f} {after:10.2f} {self.ratio:7.3f}   {spreads}  {len(self.after):3}"
        )


def spread(values: list[float]) -> float:
    """The middle half of the values, as a part of their median."""
    low, middle, high = statistics.quantiles(values, n=4)
    return (high - low) / middle


# The recorded day


def settings_lines(tree: object, path: str = "") -> Iterator[str]:
    """Write nested settings as the wire's lines, each a dotted path and a value."""
    if isinstance(tree, list) and isinstance(tree[0], dict):
        tree = {"count": len(tree)} | {str(number): item for number, item in enumerate(tree)}
    if isinstance(tree, dict):
        for name, item in tree.items():
            yield from settings_lines(item, f"{path}.{name}" if path else name)
    else:
        yield f"{path}={','.join(map(str, tree)) if isinstance(tree, list) else tree}"


def read_orders(body: bytes) -> Iterator[Order]:
    """Take a reply's records apart."""
    at = 0
    while at < len(body):
        code, _ = RECORD_HEAD.unpack_from(body, at)
        at += RECORD_HEAD.size
        fields = FIELDS[code].unpack_from(body, at)
        at += FIELDS[code].size
        length = fields[-1] if code in WITH_TEXT else 0
        yield Order(code, fields, body[at : at + length])
        at += length


class Day:
    """A simulated day: it makes the batches, and hears the replies that later batches depend on."""

    def __init__(self) -> None:
        self.random = random.Random(SEED)
        self.servers = {number: Server(number) for number in range(SERVERS)}
        self.newest, self.version, self.lists = SERVERS, 0, 0
        self.leaving: dict[int, list[int]] = {}  # by step, the servers that end then
        self.bound: dict[int, int | None] = dict.fromkeys(range(PROXIES))  # the table of each joined proxy
        self.timers: list[tuple[int, int]] = []  # when it is due, its token
        self.marked: list[tuple[int, int]] = []  # the proxies that have a mark to answer, the mark

    def batch(self, step: int) -> bytes:
        """What a director is told in one step."""
        now = (step + 1) * STEP_US
        records = self.begin() if step == 0 else [*self.due(now), *self.answers()]
        if step:
            records += self.release(step, now)
            records += self.rejoin(step)
        if step and step % STEPS_PER_REPORT == 0:
            records += self.reports(step)
        body = b"".join(records)
        return BATCH_HEAD.pack(BATCH_HEAD.size + len(body), len(records), now) + body

    def begin(self) -> list[bytes]:
        text = "\n".join(settings_lines(SETTINGS)).encode()
        started = STARTED.pack(INSTANCE, SEED, len(text)) + text
        joins = [self.join(proxy, fresh=True) for proxy in self.bound]
        return [started, *self.news(CACHED, list(self.servers.values())), *joins]

    def news(self, kind: int, entries: list[Server]) -> list[bytes]:
        """A list and the update that names it."""
        self.version, self.lists = self.version + 1, self.lists + 1
        packed = b"".join(entry.packed() for entry in entries)
        head = SERVER_LIST.pack(self.lists, len(entries))
        return [head + packed, LISTED.pack(INSTANCE, kind, self.lists, self.version)]

    def join(self, proxy: int, fresh: bool) -> bytes:
        self.bound[proxy] = None
        return PROXY_JOINED.pack(INSTANCE, fresh, 4.0 + proxy % 5, proxy, proxy % ZONES)

    def due(self, now: int) -> list[bytes]:
        rung = [timer for timer in self.timers if timer[0] <= now]
        self.timers = [timer for timer in self.timers if timer[0] > now]
        return [TIMER_DUE.pack(INSTANCE, token) for _, token in sorted(rung)]

    def answers(self) -> list[bytes]:
        marked, self.marked = self.marked, []
        return [APPLIED.pack(INSTANCE, proxy, mark, READ_US) for proxy, mark in marked]

    def release(self, step: int, now: int) -> list[bytes]:
        """Servers drain, each beside a new one that takes its place, and end a while later."""
        changed = []
        for number in self.leaving.pop(step, []):
            changed.append(self.servers.pop(number)._replace(state=GONE))
        if step >= RELEASE_BEGIN and step % RELEASE_EVERY == 0:
            oldest = [number for number, server in self.servers.items() if server.state == READY]
            for number in [number for number in oldest if number < SERVERS][:RELEASE_BATCH]:
                self.servers[number] = self.servers[number]._replace(state=DRAINING)
                self.leaving.setdefault(step + GONE_AFTER, []).append(number)
                self.servers[self.newest] = Server(self.newest, now)
                changed += [self.servers[number], self.servers[self.newest]]
                self.newest += 1
        return self.news(DELTA, changed) if changed else []

    def rejoin(self, step: int) -> list[bytes]:
        if step % REJOIN_EVERY:
            return []
        proxy = self.random.randrange(PROXIES)
        return [PROXY_LEFT.pack(INSTANCE, proxy), self.join(proxy, fresh=True)]

    def reports(self, step: int) -> list[bytes]:
        """What the proxies of each zone met at each server, and the calls that came to each proxy."""
        return [*self.servers_met(step), *self.proxies_met()]

    def servers_met(self, step: int) -> Iterator[bytes]:
        failing = set(list(self.servers)[-FAILING:]) if step in FAILING_STEPS else set()
        for number, server in self.servers.items():
            usual_us = SLOW_MEAN_US if number // ZONES % MACHINE_TYPES else USUAL_MEAN_US
            for zone in range(ZONES):
                tries = self.random.randint(TRIES // 2, TRIES)
                dropped = round(tries * FAILING_DROPS) if number in failing else 0
                mean_us = int(usual_us * self.random.uniform(0.7, 1.4))
                yield SERVER_MET.pack(
                    INSTANCE, zone, server.address, dropped, mean_us, REPORT_US, tries, len(LOADS), *LOADS
                )

    def proxies_met(self) -> Iterator[bytes]:
        for proxy in range(PROXIES):
            for route in range(ROUTES):
                calls = self.random.randint(1, 4)
                yield PROXY_MET.pack(INSTANCE, proxy, route, calls, 0, REPORT_US)

    def hear(self, now: int, body: bytes) -> None:
        """Set the timers that a reply asks for, and note which proxies are to answer its mark."""
        reached: set[int] = set()
        for order in read_orders(body):
            match order:
                case Order(code=code, text=text) if code == FAILURE:
                    raise ComparisonError(f"a director failed in the recorded day: {text.decode()}")
                case Order(code=code, fields=(token, delay_us)) if code == SET_TIMER:
                    self.timers.append((now + delay_us, token))
                case Order(code=code, fields=(table, _, proxy)) if code == BIND:
                    self.bound[proxy] = table
                    reached.add(proxy)
                case Order(code=code, fields=(table, *_)) if code in (SET_LINE, ADMIT, CLEAR):
                    reached.update(p for p, own in self.bound.items() if table in (own, ALL_TABLES))
                case Order(code=code) if code == WITHDRAW:
                    reached.update(self.bound)
                case Order(code=code, fields=(mark, everyone)) if code == MARK:
                    answering = self.bound if everyone else reached
                    self.marked += [(proxy, mark) for proxy in sorted(answering)]


# Trees and processes


@contextmanager
def source_tree(named: str) -> Iterator[Path]:
    """The folder of a side: a checkout as it is, or a git revision unpacked for as long as it is needed."""
    if Path(named).is_dir():
        yield Path(named).resolve()
        return
    archive = subprocess.run(["git", "archive", "--format=tar", named], capture_output=True)
    if archive.returncode:
        raise ComparisonError(f"{named}: neither a folder nor a revision: {archive.stderr.decode().strip()}")
    with tempfile.TemporaryDirectory() as folder:
        with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as members:
            members.extractall(folder, filter="data")
        yield Path(folder).resolve()


def environment(tree: Path) -> dict[str, str]:
    """Modules come from the tree, compiled ones are kept, and hashes are the same in each run."""
    kept = {name: value for name, value in os.environ.items() if name != "PYTHONDONTWRITEBYTECODE"}
    return kept | {"PYTHONPATH": str(tree), "PYTHONHASHSEED": "0"}


def start(tree: Path, module: str, **more: object) -> subprocess.Popen:
    """Start one of a tree's modules as a process."""
    more = {"env": environment(tree)} | more
    return subprocess.Popen([sys.executable, "-m", module], cwd=tree, **more)


def check_tree(tree: Path) -> None:
    """An installed package must not stand in for the tree's own."""
    command = [sys.executable, "-c", "import rainpick; print(rainpick.__file__)"]
    found = subprocess.run(command, cwd=tree, env=environment(tree), capture_output=True, text=True)
    if not found.stdout.startswith(str(tree) + os.sep):
        raise ComparisonError(f"{tree}: its package is not found there: {found.stdout}{found.stderr}")


def record(tree: Path) -> Conversation:
    """Play the day with a tree's director; keep what was written to it."""
    day, written = Day(), []
    with start(tree, "rainpick.simhost", stdin=subprocess.PIPE, stdout=subprocess.PIPE) as process:
        for step in range(STEPS):
            written.append(day.batch(step))
            process.stdin.write(written[-1])
            process.stdin.flush()
            day.hear((step + 1) * STEP_US, read_reply(process.stdout))
        process.stdin.close()
    return Conversation(b"".join(written), STEPS)


def read_reply(pipe: BinaryIO) -> bytes:
    """The records of the next reply."""
    head = pipe.read(REPLY_HEAD.size)
    if len(head) < REPLY_HEAD.size:
        raise ComparisonError("a director ended in the recorded day")
    size, _ = REPLY_HEAD.unpack(head)
    return pipe.read(size - REPLY_HEAD.size)


def feed(tree: Path, data: bytes) -> StepRun:
    """Feed a conversation to a new process; take its CPU time and its replies."""
    with tempfile.TemporaryFile() as source, tempfile.TemporaryFile() as sink:
        source.write(data)
        source.seek(0)
        process = start(tree, "rainpick.simhost", stdin=source, stdout=sink)
        _, status, usage = os.wait4(process.pid, 0)
        process.returncode = os.waitstatus_to_exitcode(status)
        if process.returncode:
            raise ComparisonError(f"{tree}: rainpick.simhost ended with {process.returncode}")
        sink.seek(0)
        return StepRun(usage.ru_utime + usage.ru_stime, sink.read())


def configuration(port: int, platform_port: int) -> dict:
    """What ``PROXY_CONFIG`` names: a director that knows the recorded day's servers."""
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


def await_heartbeat(process: subprocess.Popen, port: int) -> None:
    """Wait until the director accepts a connection and answers a heartbeat on it."""
    message = json.dumps({"t": "hb"}).encode()
    give_up = time.monotonic() + START_MOST_S
    while time.monotonic() < give_up and process.poll() is None:
        try:
            with socket.create_connection((LOOPBACK, port), START_MOST_S) as peer:
                peer.sendall(FRAME_HEAD.pack(len(message)) + message)
                if peer.recv(1):
                    return
        except OSError:
            time.sleep(POLL_S)
    raise ComparisonError(f"rainpick.node does not answer; exit status {process.poll()}")


def memory_mib(pid: int, field: str) -> float:
    """A field of a process's status in /proc that is given in kB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == field:
            return int(value.split()[0]) / 1024
    raise ComparisonError(f"no {field} in the status of process {pid}")


@contextmanager
def live_director(tree: Path) -> Iterator[tuple[int, float]]:
    """A live director's process id and the milliseconds until it answered; it is ended afterwards."""
    with tempfile.TemporaryDirectory() as folder, socket.create_server((LOOPBACK, 0), backlog=64) as platform:
        path, port = Path(folder, "config.json"), free_port()
        path.write_text(json.dumps(configuration(port, platform.getsockname()[1])))
        told = environment(tree) | {"PROXY_CONFIG": str(path)}
        begin = time.perf_counter()
        process = start(tree, "rainpick.node", env=told, stderr=subprocess.DEVNULL, stdout=subprocess.DEVNULL)
        try:
            await_heartbeat(process, port)
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


def step_figure(before: Path, after: Path, rounds: int) -> tuple[Figure, bool]:
    """The CPU time of a step on both sides, and whether they replied the same in each round."""
    day = record(before)
    for tree in (before, after):
        feed(tree, b"")  # compiles the modules
    print(f"recorded: {day.steps} steps, {len(day.data)} bytes, sha256 {digest(day.data)}")
    times: dict[str, list[float]] = {"before": [], "after": []}
    digests: dict[str, set[str]] = {"before": set(), "after": set()}
    for turn in range(rounds):
        for side, tree in in_turn(before, after, turn):
            empty, full = feed(tree, b""), feed(tree, day.data)
            times[side].append((full.cpu_s - empty.cpu_s) / day.steps * 1e6)
            digests[side].add(digest(full.replies))
    for side, found in digests.items():
        print(f"replies of {side}: sha256 {', '.join(sorted(found))}")
    same = len(digests["before"] | digests["after"]) == 1
    return Figure("CPU of a step, us", times["before"], times["after"]), same


def digest(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()


def in_turn(before: Path, after: Path, turn: int) -> list[tuple[str, Path]]:
    """Both sides; every other round begins with the other one."""
    sides = [("before", before), ("after", after)]
    return sides[::-1] if turn % 2 else sides


def start_figure(before: Path, after: Path, rounds: int) -> Figure:
    """The start of the live director on both sides."""
    for tree in (before, after):
        start_time_ms(tree)  # compiles the modules
    times: dict[str, list[float]] = {"before": [], "after": []}
    for turn in range(rounds):
        for side, tree in in_turn(before, after, turn):
            times[side].append(start_time_ms(tree))
    return Figure("start to heartbeat, ms", times["before"], times["after"])


def memory_figures(before: Path, after: Path, rounds: int) -> list[Figure]:
    """The memory of the live director on both sides."""
    runs: dict[str, list[Memory]] = {"before": [], "after": []}
    for turn in range(rounds):
        for side, tree in in_turn(before, after, turn):
            runs[side].append(settled_memory(tree))
    names = ("VmRSS, MiB", "VmHWM, MiB")
    columns = zip(names, zip(*runs["before"], strict=True), zip(*runs["after"], strict=True), strict=True)
    return [Figure(name, list(ours), list(theirs)) for name, ours, theirs in columns]


def compare(before: Path, after: Path, rounds: Rounds) -> bool:
    """Print the table; whether AFTER costs no more and replies the same."""
    for tree in (before, after):
        check_tree(tree)
    steps, same = step_figure(before, after, rounds.step)
    starts = start_figure(before, after, rounds.start)
    figures = [steps, starts, *memory_figures(before, after, rounds.memory)]
    print(f"{'medians':28} {'before':>10} {'after':>10} {'ratio':>7}   middle halves  rounds")
    for figure in figures:
        print(figure.row())
    over = [figure.name for figure in figures if figure.ratio > RATIO_MOST]
    if over:
        print(f"over {RATIO_MOST:.2f}: {'; '.join(over)}")
    if not same:
        print("the replies differ")
    return same and not over


def at_least_two(text: str) -> int:
    """A number of rounds that has a spread."""
    if (number := int(text)) < 2:
        raise argparse.ArgumentTypeError("two rounds at least")
    return number


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.compare", description="Compare two trees' costs.")
    parser.add_argument("before", help="a checkout or a git revision")
    parser.add_argument("after", help="a checkout or a git revision")
    parser.add_argument("--step-rounds", type=at_least_two, default=STEP_ROUNDS)
    parser.add_argument("--start-rounds", type=at_least_two, default=START_ROUNDS)
    parser.add_argument("--memory-rounds", type=at_least_two, default=MEMORY_ROUNDS)
    told = parser.parse_args()
    rounds = Rounds(told.step_rounds, told.start_rounds, told.memory_rounds)
    try:
        with ExitStack() as trees:
            before, after = (trees.enter_context(source_tree(named)) for named in (told.before, told.after))
            return 0 if compare(before, after, rounds) else 1
    except ComparisonError as error:
        print(f"benchmarks.compare: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
