"""Proxies, servers, store and channel around a director with key ranges of a single owner, in virtual time.

It follows the operators' page on the wire protocol. Writes are checked where they reach a server; times
without a line and writes to draining servers are checked at the proxies. Times are in microseconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.model import EndpointState, UpdateKind

ROUND_US = 4_000
NETWORK_US = 2_000
STORE_READ_US = 1_000_000  # a proxy has read the store after this time at the latest
CHECK_US = 20_000
TOLERANCE_US = 2 * CHECK_US
SETTINGS = {
    "routes.count": 1,
    "routes.0.slo_time_us": 500_000,
    "proxies.one_owner": True,
    "proxies.slices": 6,
    "proxies.proxy_count": 8,
    "proxies.head": 6,
    "proxies.lines_per_s": 2_500.0,
    "proxies.pending_max": 5_000,
    "proxies.late_us": 179_000,
    "proxies.transit_max_us": 447_500,
    "proxies.tenure_us": 2_500_000,
    "proxies.write_life_us": 1_020_000,
    "proxies.bare_us": 2_800_000,
    "rules.drain_grace_us": 2_700_000,
    "rules.warm_after_us": 12_000_000,
    "rules.start_capacity": 0.16,
}


class Proxy:
    """What one proxy holds, and whether it may send writes."""

    def __init__(self, number: int):
        self.number = number
        self.joined = False
        self.joined_us = 0
        self.stream = 0  # number of the stream, raised at each join
        self.has_read_store = False
        self.lease_ends_us = 0  # of the last stream, if the store has not been read since
        self.lines: dict[int, str] = {}
        self.withdrawn: set[str] = set()
        self.arrives_us = 0  # when its newest message arrives; messages stay in order
        self.awaited: list[int] = []  # nonces to acknowledge once the store is read
        self.bare_since_us: dict[int, int] = {}

    def server(self, key_range: int) -> str | None:
        """Return the server that it may send writes of a key range to."""
        server = self.lines.get(key_range)
        return None if server in self.withdrawn else server


class KeyRangeWorld:
    """One director and all around it. ``breaches`` has a line for each broken rule."""

    def __init__(self, seed: int, servers: int = 6, **settings):
        self.draw = random.Random(seed)
        self.settings = SETTINGS | settings
        self.now = 50_000_000
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.numbers = count()
        self.batch: list = []
        self.director = Director()
        self.channel_free_us = 0.0
        self.servers = {
            f"s{number}": model.Endpoint(1.0, 0, 0, 0, 0, f"s{number}", EndpointState.READY)
            for number in range(servers)
        }
        self.told_us: dict[str, int] = {}  # when the director was told that a server is draining or gone
        self.store: dict[int, str] = {}
        self.proxies = [Proxy(number) for number in range(self.settings["proxies.proxy_count"])]
        self.in_hand: dict[int, dict[str, int]] = {}  # by key range and server, the number of writes
        self.owners: dict[int, list[str]] = {}  # servers that took writes, in order
        self.breaches: list[str] = []
        self.taken = 0
        self.longest_bare_us = 0

    # Events

    def at(self, time_us: float, act: Callable[[], None]) -> None:
        """Do something at a time."""
        heappush(self.events, (int(time_us), next(self.numbers), act))

    def start(self) -> None:
        """Start a director without state, with the list, its key ranges and the stored owners."""
        self.director = Director()
        self.told_us = dict.fromkeys(self.told_us, self.now)
        self.batch = [
            model.Started(1, dict(self.settings)),
            model.EndpointUpdate(UpdateKind.CACHED, tuple(self.servers.values()), 1),
        ]
        for key_range in range(self.settings["proxies.slices"]):
            self.batch.append(model.KeyRangeAssigned(key_range, True))
            if key_range in self.store:
                self.batch.append(model.KeyRangeWeight(key_range, self.store[key_range], 1.0))

    def kill(self) -> None:
        """End the director; the streams of all proxies break."""
        self.batch, self.director = [], None
        for proxy in self.proxies:
            self.leave(proxy)

    def join(self, proxy: Proxy, restarted: bool = False) -> None:
        """Let a proxy join; it reads the store a little later."""
        if proxy.joined or self.director is None:
            return
        proxy.joined, proxy.has_read_store, proxy.bare_since_us = True, False, {}
        proxy.stream += 1
        proxy.joined_us = self.now
        if restarted:
            proxy.lines, proxy.withdrawn, proxy.lease_ends_us = {}, set(), 0
        self.batch.append(model.ProxyJoined(proxy.number, restarted, 10.0, 0))
        self.at(
            self.now + self.draw.uniform(0.1, 1) * STORE_READ_US, lambda s=proxy.stream: self.read(proxy, s)
        )

    def read(self, proxy: Proxy, stream: int) -> None:
        """Let a proxy read the tables from the store."""
        if proxy.stream == stream and proxy.joined:
            proxy.lines, proxy.has_read_store = dict(self.store), True
            for nonce in proxy.awaited:
                self.batch.append(model.Acknowledged(proxy.number, nonce, 0))
            proxy.awaited = []

    def leave(self, proxy: Proxy) -> None:
        """Break the stream of a proxy, which goes on with what it holds until its lease ends."""
        if not proxy.joined:
            return
        if proxy.has_read_store:
            proxy.lease_ends_us = self.now + self.settings["proxies.tenure_us"]
        proxy.joined, proxy.has_read_store, proxy.awaited = False, False, []
        proxy.stream += 1
        if self.director is not None:
            self.batch.append(model.ProxyLeft(proxy.number))

    def tell(self, *entries: tuple[str, EndpointState]) -> None:
        """Tell the director of the states of servers; a new one has just started."""
        rows = []
        for name, state in entries:
            entry = self.servers.get(name) or model.Endpoint(1.0, 0, self.now, 0, 0, name, state)
            entry = entry._replace(state=state)
            if state == EndpointState.READY:
                self.told_us.pop(name, None)
            else:
                self.told_us.setdefault(name, self.now)
            self.servers[name] = entry
            rows.append(entry)
            if state == EndpointState.GONE:
                del self.servers[name]
        if self.director is not None:
            self.batch.append(model.EndpointUpdate(UpdateKind.DELTA, tuple(rows), 2))

    def owner_of_most(self) -> str:
        """Return the ready server that owns the most key ranges."""
        owned = list(self.store.values())
        ready = [name for name, entry in self.servers.items() if entry.state == EndpointState.READY]
        return max(ready, key=owned.count)

    # The loop

    def run(self, until_s: float) -> None:
        """Run for a number of seconds from now on."""
        end_us = self.now + int(until_s * 1e6)
        while self.now < end_us:
            while self.events and self.events[0][0] <= self.now:
                heappop(self.events)[2]()
            if self.batch and self.director is not None:
                batch, self.batch = self.batch, []
                self.act(self.director.step(self.now, batch))
            self.now += ROUND_US

    def act(self, commands: list) -> None:
        """Carry out the commands of a reply: one message to each proxy that it reaches.

        A withdrawal or readmission reaches the proxies that hold a table with the server.
        """
        changes, nonce, all_proxies = [], None, False
        director = self.director
        for command in commands:
            if isinstance(command, model.SetTimer):
                fire = model.TimerFired(command.token)
                self.at(self.now + command.delay_us, lambda fire=fire: self.fire(director, fire))
            elif isinstance(command, model.RequestAcknowledgement):
                nonce, all_proxies = command.nonce, command.all_proxies
            elif isinstance(command, model.SetWeight | model.SetWithdrawn):
                changes.append(command)
        for command in changes:
            if isinstance(command, model.SetWeight):
                self.store[command.table] = command.server
        for proxy in self.proxies:
            held = set(proxy.lines.values())
            held |= {change.server for change in changes if isinstance(change, model.SetWeight)}
            reached = [
                change for change in changes if isinstance(change, model.SetWeight) or change.server in held
            ]
            if proxy.joined and (reached or all_proxies):
                self.send(proxy, reached, nonce)

    def fire(self, director: Director, event: model.TimerFired) -> None:
        """Let a timer of the running director fire."""
        if director is self.director:
            self.batch.append(event)

    def send(self, proxy: Proxy, changes: list, nonce: int | None) -> None:
        """Write a message; it is lost if the stream breaks before it arrives."""
        lines = self.settings["proxies.head"] + len(changes) + 1
        pace = self.settings["proxies.lines_per_s"]
        self.channel_free_us = max(self.channel_free_us, self.now) + lines / pace * 1e6
        transit_us = self.draw.uniform(0.4, 1.6) * self.settings["proxies.late_us"]
        transit_us = min(transit_us, self.settings["proxies.transit_max_us"])
        proxy.arrives_us = max(proxy.arrives_us, int(self.channel_free_us + transit_us))
        stream = proxy.stream
        self.at(proxy.arrives_us, lambda: self.apply(proxy, stream, changes, nonce))

    def apply(self, proxy: Proxy, stream: int, changes: list, nonce: int | None) -> None:
        """Let a proxy apply a message, and acknowledge it once it has read the store."""
        if proxy.stream != stream or not proxy.joined:
            return
        for change in changes:
            if isinstance(change, model.SetWeight):
                proxy.lines[change.table] = change.server
            elif change.withdrawn:
                proxy.withdrawn.add(change.server)
            else:
                proxy.withdrawn.discard(change.server)
        if nonce is not None and proxy.has_read_store:
            self.batch.append(model.Acknowledged(proxy.number, nonce, 0))
        elif nonce is not None:
            proxy.awaited.append(nonce)

    # Writes

    def write_steadily(self, period_us: int = 60_000) -> None:
        """Let clients of each proxy write to each key range, and check the proxies steadily."""
        for proxy in self.proxies:
            for key_range in range(self.settings["proxies.slices"]):
                self.write(proxy, key_range, period_us)
        self.check()

    def write(self, proxy: Proxy, key_range: int, period_us: int) -> None:
        """Send a write if the proxy may send one, and the next one a little later."""
        self.at(
            self.now + self.draw.uniform(0.5, 1.5) * period_us,
            lambda: self.write(proxy, key_range, period_us),
        )
        server = proxy.server(key_range)
        has_lease = self.now < proxy.lease_ends_us
        if server is None or not (proxy.has_read_store or has_lease):
            return
        if proxy.joined and server in self.told_us:
            since_us = max(self.told_us[server], proxy.joined_us)
            if self.now - since_us > self.settings["rules.drain_grace_us"]:
                self.breach(f"drain: proxy {proxy.number} sends to {server} after the grace")
        sent_us = self.now + NETWORK_US
        ends_us = self.now + self.draw.uniform(0.05, 0.98) * self.settings["proxies.write_life_us"]
        self.at(sent_us, lambda: self.arrive(proxy, key_range, server))
        self.at(max(sent_us, ends_us), lambda: self.end(key_range, server))

    def arrive(self, proxy: Proxy, key_range: int, server: str) -> None:
        """Let a write reach a server, and check that no other server has or had the key range."""
        self.taken += 1
        writes, owners = self.in_hand.setdefault(key_range, {}), self.owners.setdefault(key_range, [])
        others = [other for other, number in writes.items() if other != server and number]
        if others:
            self.breach(
                f"owner: a write of range {key_range} reaches {server}, {others[0]} has writes in hand"
            )
        if server in owners[:-1]:
            self.breach(f"owner: proxy {proxy.number} writes range {key_range} to the former owner {server}")
        elif server not in owners:
            owners.append(server)
        writes[server] = writes.get(server, 0) + 1

    def end(self, key_range: int, server: str) -> None:
        """Let a write end."""
        self.in_hand[key_range][server] -= 1

    def check(self) -> None:
        """Check how long joined proxies have no line although a warm server is ready; repeats itself."""
        self.at(self.now + CHECK_US, self.check)
        warm = self.settings["rules.warm_after_us"]
        has_warm = any(
            entry.state == EndpointState.READY
            and (not entry.started_us or self.now - entry.started_us >= warm)
            for entry in self.servers.values()
        )
        for proxy in self.proxies:
            for key_range in range(self.settings["proxies.slices"]):
                if not (proxy.joined and has_warm) or proxy.server(key_range) is not None:
                    proxy.bare_since_us.pop(key_range, None)
                    continue
                bare_us = self.now - proxy.bare_since_us.setdefault(key_range, self.now)
                self.longest_bare_us = max(self.longest_bare_us, bare_us)
                if bare_us > self.settings["proxies.bare_us"] + TOLERANCE_US:
                    self.breach(f"bare: proxy {proxy.number} has no line for range {key_range}")

    def breach(self, text: str) -> None:
        """Record a broken rule."""
        self.breaches.append(f"{(self.now - 50_000_000) / 1e6:.3f}: {text}")
