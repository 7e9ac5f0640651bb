"""A small stand-in of the simulator for ``sim``: slices, proxies and hosts on the real clock.

It writes batches and reads replies as the protocol note says. What an instance orders in one reply is one
message to each proxy; the channel sends the messages in order at its pace, and each takes a while to arrive.
"""

from __future__ import annotations

import heapq
import random
import struct
import subprocess
import time
from collections.abc import Callable
from itertools import count
from typing import Any, NamedTuple

from harness import Case, CaseNotRunError

GONE, READY, DRAINING = 0, 1, 2
CACHED, DELTA = 2, 0
LATE_US, LATE_MOST_US = 179_000, 447_500
LINES_PER_S, HEAD = 2_500.0, 6
WORK_US = (62_000, 84_000)
NETWORK_US = 2_000
ROUND_S = 0.004
# Fields of each action behind its code and its instance, by code; texts have a length of their own.
ACTIONS = {
    1000: "H",
    1020: "6sB",
    1030: "QB",
    1040: "HHH",
    1050: "H6sf",
    1060: "B",
    1070: "",
    1080: "6s",
    1110: "QI",
    1120: "HHfB",
}
LOG, FAULT, TELL = 1010, 1090, 1100


class Write(NamedTuple):
    """A write that a proxy forwards."""

    number: int
    slice: int
    proxy: int


class Slices:
    """Who holds and who has held each slice's writes, as the hosts see it; finds breaches of the rule."""

    def __init__(self, case: Case):
        self.case = case
        self.in_hand: dict[int, dict[bytes, set[int]]] = {}  # writes by slice and host
        self.owners: dict[int, list[bytes]] = {}  # hosts that took writes, by slice, in order
        self.breaches: list[str] = []
        self.taken = 0

    def arrive(self, host: bytes, write: Write) -> None:
        """Let a write reach a host."""
        self.taken += 1
        hands = self.in_hand.setdefault(write.slice, {})
        others = [other for other, writes in hands.items() if other != host and writes]
        owners = self.owners.setdefault(write.slice, [])
        if others:
            self.breach(host, write, f"{name(others[0])} has {len(hands[others[0]])} of its writes in hand")
        if host in owners[:-1]:
            self.breach(host, write, f"the later owner {name(owners[-1])} has taken a write before")
        elif host not in owners:
            owners.append(host)
            self.case.note("a host takes its first write", host=name(host), slice=write.slice)
        hands.setdefault(host, set()).add(write.number)

    def end(self, host: bytes, write: Write) -> None:
        """Let a host end a write."""
        self.in_hand[write.slice][host].discard(write.number)

    def breach(self, host: bytes, write: Write, why: str) -> None:
        """Record a breach."""
        text = f"slice {write.slice}: a write of proxy {write.proxy} reaches {name(host)}, but {why}"
        if len(self.breaches) < 40:
            self.case.note("BREACH", what=text)
        self.breaches.append(text)


class Proxy:
    """A proxy: the line of each slice and the withdrawn hosts that it knows."""

    def __init__(self, number: int):
        self.number = number
        self.lines: dict[int, bytes] = {}
        self.withdrawn: set[bytes] = set()


def host_address(number: int) -> bytes:
    """Return a host on the wire."""
    return bytes((127, 0, 0, 1)) + struct.pack(">H", 9000 + number)


def name(host: bytes) -> str:
    """Return a host as text."""
    return f"127.0.0.1:{struct.unpack('>H', host[4:])[0]}"


class Simulator:
    """One instance of the decisions with its proxies, hosts and clients."""

    def __init__(self, case: Case, sim: subprocess.Popen[bytes], settings: dict[str, Any]):
        self.case, self.sim, self.settings = case, sim, settings
        self.draw = random.Random(7)
        self.slices = Slices(case)
        self.proxies = [Proxy(number) for number in range(settings["domain.proxyCount"])]
        self.events: list[tuple[int, int, Callable[[], None]]] = []  # what is due, by time
        self.numbers = count()
        self.records: list[bytes] = []  # of the next batch
        self.busy_until_us = 0.0
        self.refused = 0
        self.arrives_us = dict.fromkeys(range(len(self.proxies)), 0)

    @staticmethod
    def now_us() -> int:
        """Return the real clock in microseconds."""
        return time.monotonic_ns() // 1000

    def at(self, due_us: float, act: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self.events, (int(due_us), next(self.numbers), act))

    # Events to the instance

    def start(self, hosts: list[int]) -> None:
        """Let the instance be born with a list, its slices and its proxies."""
        text = "\n".join(f"{path}={value}" for path, value in self.settings.items()).encode()
        self.records.append(struct.pack(">HIQI", 1000, 0, 77, len(text)) + text)
        self.tell_hosts([(number, READY) for number in hosts], CACHED)
        for number in range(self.settings["domain.ranges"]):
            self.records.append(struct.pack(">HIBH", 1120, 0, 1, number))
        for proxy in self.proxies:
            self.records.append(struct.pack(">HIBfHB", 1060, 0, 1, 10.0, proxy.number, 0))

    def tell_hosts(self, states: list[tuple[int, int]], kind: int, started_us: int = 0) -> None:
        """Tell the instance of hosts, which started at the same time (0: long ago)."""
        rows = [
            struct.pack(">fBQHH6sB", 1.0, 0, started_us, 0, number // 4, host_address(number), state)
            for number, state in states
        ]
        self.records.append(struct.pack(">HII", 1140, 0, len(rows)) + b"".join(rows))
        self.records.append(struct.pack(">HIBIQ", 1010, 0, kind, 0, 40 + kind))

    # The loop

    def run_until(self, end_s: float) -> None:
        """Run on the real clock until a time of the case."""
        while self.case.now_s() < end_s:
            now = self.now_us()
            while self.events and self.events[0][0] <= now:
                heapq.heappop(self.events)[2]()
            self.exchange(now)
            time.sleep(ROUND_S)

    def exchange(self, now: int) -> None:
        """Write a batch if there are events, and act on the reply."""
        if not self.records:
            return
        body, number = b"".join(self.records), len(self.records)
        self.records = []
        assert self.sim.stdin is not None
        assert self.sim.stdout is not None
        self.sim.stdin.write(struct.pack(">IIQ", 16 + len(body), number, now) + body)
        self.sim.stdin.flush()
        header = self.sim.stdout.read(8)
        if len(header) < 8:
            raise CaseNotRunError("sim has ended")
        size, actions = struct.unpack(">II", header)
        self.act(self.sim.stdout.read(size - 8), actions, now)

    def act(self, body: bytes, actions: int, now: int) -> None:
        """Carry out the actions of a reply: one message to each proxy concerned."""
        position, orders, seal = 0, [], None
        for _ in range(actions):
            code, _instance = struct.unpack_from(">HI", body, position)
            position += 6
            if code in (LOG, FAULT, TELL):
                length = struct.unpack_from(">H", body, position)[0]
                text = body[position + 2 : position + 2 + length]
                position += 2 + length
                if code == FAULT:
                    raise CaseNotRunError(f"sim reports a failure: {text!r}")
                continue
            layout = ">" + ACTIONS[code]
            fields = struct.unpack_from(layout, body, position)
            position += struct.calcsize(layout)
            if code == 1110:
                token, delay_us = fields
                self.at(now + delay_us, lambda token=token: self.bell(token))
            elif code == 1030:
                seal = fields[0]
            elif code in (1050, 1020):
                orders.append((code, fields))
        if orders:
            self.note_orders(orders)
            self.send(orders, seal, now)

    def note_orders(self, orders: list[tuple[int, Any]]) -> None:
        """Record what the instance orders."""
        for code, fields in orders:
            if code == 1050:
                slice_, host, share = fields
                self.case.note("orders a line", slice=slice_, host=name(host), share=share)
            else:
                host, withdrawn = fields
                self.case.note("orders a withdrawal", host=name(host), withdrawn=withdrawn)

    def send(self, orders: list[tuple[int, Any]], seal: int | None, now: int) -> None:
        """Write a message to each proxy; the messages leave one after another."""
        for proxy in self.proxies:
            self.busy_until_us = max(self.busy_until_us, now) + (HEAD + len(orders)) / LINES_PER_S * 1e6
            way_us = min(LATE_MOST_US, self.draw.uniform(0.4, 1.6) * LATE_US)
            due_us = max(int(self.busy_until_us + way_us), self.arrives_us[proxy.number])
            self.arrives_us[proxy.number] = due_us
            self.at(due_us, lambda proxy=proxy: self.apply(proxy, orders, seal, now))

    def apply(self, proxy: Proxy, orders: list[tuple[int, Any]], seal: int | None, sent_us: int) -> None:
        """Let a proxy apply a message."""
        for code, fields in orders:
            if code == 1050:
                slice_, host, share = fields
                if share > 0:
                    proxy.lines[slice_] = host  # with a single owner a table has one line
                elif proxy.lines.get(slice_) == host:
                    del proxy.lines[slice_]
            else:
                host, withdrawn = fields
                (proxy.withdrawn.add if withdrawn else proxy.withdrawn.discard)(host)
        if seal is not None:
            spent_us = self.now_us() - sent_us
            self.records.append(struct.pack(">HIHQI", 1080, 0, proxy.number, seal, spent_us))

    def bell(self, token: int) -> None:
        """Let a timer of the instance fall due."""
        self.records.append(struct.pack(">HIQ", 1020, 0, token))

    # Clients' writes

    def write_steadily(self, proxy: Proxy, slice_: int, every_us: int) -> None:
        """Let a proxy's clients write to a slice steadily."""
        host = proxy.lines.get(slice_)
        if host is None or host in proxy.withdrawn:
            self.refused += 1
        else:
            write = Write(next(self.numbers), slice_, proxy.number)
            reached_us = self.now_us() + NETWORK_US
            self.at(reached_us, lambda: self.slices.arrive(host, write))
            self.at(reached_us + self.draw.randint(*WORK_US), lambda: self.slices.end(host, write))
        due_us = self.now_us() + self.draw.uniform(0.5, 1.5) * every_us
        self.at(due_us, lambda: self.write_steadily(proxy, slice_, every_us))
