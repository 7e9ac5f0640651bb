"""A stub relay with the platform's paced channel in real time, and a simulated fleet of proxies behind it."""

from __future__ import annotations

import contextlib
import heapq
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from itertools import count
from typing import Any, NamedTuple

from rainpick import model
from tests.node.stub_relay import StubRelay
from tests.takeover.channel import Channel, ProxyTables

ROUTES = {"lookup": 0, "commit": 1}
LATENCY_US = 60_000
SERVERS_PER_PROXY = 5


class TracedCall(NamedTuple):
    """A call that was executed: when, its verbs, what it wrote to the channel, and what waits there now."""

    at_s: float
    verbs: dict[str, int]
    messages: int
    lines: int
    waiting: int


def now_us() -> int:
    return time.monotonic_ns() // 1000


def parse_command(fields: dict[str, Any]) -> object:
    """Parse one JSON object of a commit call into a command."""
    match fields["verb"]:
        case "share":
            return model.SetWeight(fields["cluster"], fields["endpoint"], fields["w"])
        case "bind":
            return model.BindProxy(fields["cluster"], model.ALL_ROUTES, fields["node"])
        case "withdraw" | "restore":
            return model.SetWithdrawn(fields["endpoint"], fields["verb"] == "withdraw")
        case "admit":
            return model.SetAdmission(
                fields["cluster"], sum(1 << ROUTES[name] for name in fields["for"]), 1.0, 0
            )
        case "mark":
            return model.RequestAcknowledgement(fields["stamp"], bool(fields["set"]))
    raise ValueError(f"unknown command: {fields}")


class Fleet:
    """The proxies of all directors. Measures the longest time that a proxy could use a draining server."""

    def __init__(self, proxies: int, servers: int):
        self.lock = threading.RLock()
        names = [f"s-{number:04x}" for number in range(servers)]
        self.proxies = {}
        for proxy in range(proxies):
            state = ProxyTables("ab"[proxy % 2], 10.0)
            own_zone = names[proxy % 2 :: 2]
            state.weights = dict.fromkeys(
                (own_zone[(proxy + 7 * step) % len(own_zone)] for step in range(SERVERS_PER_PROXY)), 1.0
            )
            self.proxies[proxy] = state
        self.drained_us: dict[str, int] = {}
        self.bound: set[int] = set()
        self.longest_use_us = 0

    def start_drain(self, servers: Iterable[str]) -> None:
        with self.lock:
            for server in servers:
                self.drained_us[server] = now_us()

    def apply(self, proxy: int, changes: list[Callable[[ProxyTables], None]]) -> None:
        with self.lock:
            state = self.proxies[proxy]
            before = state.usable() & self.drained_us.keys()
            for change in changes:
                change(state)
            for server in before - state.usable():
                self.longest_use_us = max(self.longest_use_us, self.age_us(state, server))

    def age_us(self, state: ProxyTables, server: str) -> int:
        return now_us() - max(self.drained_us[server], state.joined_us)

    def uses_no_draining_server(self) -> bool:
        with self.lock:
            return not any(state.usable() & self.drained_us.keys() for state in self.proxies.values())

    def longest_use_s(self) -> float:
        return self.longest_use_us / 1e6


class PacedRelay(StubRelay):
    """Delivers commands at the rate of the settings; proxies acknowledge commands after applying them."""

    def __init__(self, fleet: Fleet, domain: dict[str, float]):
        self.fleet, self.line_limit = fleet, domain["pendingMax"]
        self.channel = Channel(domain["linesPerS"], int(domain["head"]), LATENCY_US)
        self.lock, self.deliveries, self.delivery_numbers = threading.Condition(), [], count()
        self.trace: list[TracedCall] = []
        self.removed: set[str] = set()  # servers withdrawn or removed from a table
        self.closed = False
        threading.Thread(target=self.deliver, daemon=True).start()
        super().__init__()
        self.default_response = self.first_rejected_command

    @property
    def peak_queue_fraction(self) -> float:
        return self.channel.peak_waiting / self.line_limit

    def join_proxy(self, proxy: int) -> None:
        """Join a proxy to this director."""
        with self.lock, self.fleet.lock:
            state = self.fleet.proxies[proxy]
            state.joined_us = now_us()
            self.channel.join(proxy, state)
        self.attach(proxy, state.zone, proxy not in self.fleet.bound)

    def leave_proxy(self, proxy: int) -> None:
        """End the stream of a proxy; its notice is sent by ``announce_leave``."""
        with self.lock, self.fleet.lock:
            self.channel.leave(proxy)
            self.deliveries = [entry for entry in self.deliveries if entry[2].proxy != proxy]
            heapq.heapify(self.deliveries)

    def announce_leave(self, proxy: int) -> None:
        """Send the notice that a proxy has left."""
        self.notify("detach", node=proxy)

    def first_rejected_command(self, commands: list[dict[str, Any]]) -> int:
        """Return the number of commands before the first bind of a proxy that is not joined."""
        joined = self.channel.joined
        positions = (
            position
            for position, command in enumerate(commands)
            if command["verb"] == "bind" and command["node"] not in joined
        )
        return next(positions, len(commands))

    def restart(self) -> None:
        """Forget what the director ordered, as when its process has ended; no proxy is joined any more."""
        with self.lock, self.fleet.lock:
            previous = self.channel
            self.channel = Channel(previous.lines_per_s, previous.head_lines, previous.delivery_delay_us)
            self.deliveries.clear()
            self.joined.clear()

    def execute(self, accepted: list[dict[str, Any]]) -> None:
        commands = [parse_command(fields) for fields in accepted]
        with self.lock, self.fleet.lock:
            before = self.channel.lines_sent, self.channel.messages_sent
            for due_us, delivery in self.channel.write(now_us(), commands):
                heapq.heappush(self.deliveries, (due_us, next(self.delivery_numbers), delivery))
            for command in commands:
                if (
                    type(command) is model.SetWithdrawn
                    or type(command) is model.SetWeight
                    and not command.weight
                ):
                    self.removed.add(command.server)
            self.record(accepted, *before)
            self.lock.notify()
        super().execute(accepted)

    def record(self, accepted: list[dict[str, Any]], lines_before: int, messages_before: int) -> None:
        """Add an executed call to the trace."""
        if accepted:
            call = TracedCall(
                round(time.monotonic(), 3),
                dict(Counter(fields["verb"] for fields in accepted)),
                self.channel.messages_sent - messages_before,
                self.channel.lines_sent - lines_before,
                round(self.channel.waiting(now_us())),
            )
            self.trace.append(call)

    def discard_queue(self) -> None:
        """Discard all pending deliveries, as when the director has died."""
        with self.lock:
            self.closed = True
            self.deliveries.clear()

    def deliver(self) -> None:
        while not self.closed:
            with self.lock:
                if not self.deliveries or self.deliveries[0][0] > now_us():
                    self.lock.wait(
                        max(0.001, (self.deliveries[0][0] - now_us()) / 1e6) if self.deliveries else 0.1
                    )
                    continue
                _, _, message = heapq.heappop(self.deliveries)
            self.fleet.apply(message.proxy, message.changes)
            self.fleet.bound.add(message.proxy)
            if message.nonce is not None:
                with contextlib.suppress(OSError):
                    self.notify("done", node=message.proxy, nonce=message.nonce, latency=1.0)

    def close(self):
        self.closed = True
        super().close()
