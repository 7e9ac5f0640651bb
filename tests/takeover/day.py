"""A day in virtual time: during a release all directors but one are killed.

The proxies of the killed directors then join the last director, which has to bind them all.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from itertools import count
from zlib import crc32

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.director.stepper import Stepper
from tests.takeover.channel import Channel, ProxyTables

ATTEMPTS_PER_REPORT = 2  # attempts of a proxy at each server that it uses, in each report
SERVER_LATENCY_US = 150_000


@dataclass(frozen=True)
class Wave:
    """Servers of a release that are replaced together."""

    at_us: int
    servers: int
    gone_after_us: int = 4_000_000  # time from the start of a server's drain until it is gone


@dataclass(frozen=True)
class Failure:
    """A time during which some servers fail all requests: a fraction of all, or those of a zone."""

    at_us: int
    until_us: int
    fraction: float = 1.0
    zone: int | None = None

    def includes(self, endpoint: model.Endpoint, now: int) -> bool:
        is_drawn = crc32(endpoint.address.encode()) % 1000 < 1000 * self.fraction
        return self.at_us <= now < self.until_us and is_drawn and self.zone in (None, endpoint.zone)


@dataclass(frozen=True)
class DayConfig:
    """The settings and faults of a day."""

    proxies: int = 1536
    servers: int = 200
    zones: int = 4
    directors: int = 5
    lines_per_s: float = 2100.0
    pending_lines_max: float = 36_900.0
    drain_grace_us: int = 18_300_000
    head_lines: int = 6
    default_table_size: int = 5
    cross_zone_penalty: float = 0.06
    warm_after_us: int = 12_000_000
    delivery_delay_us: int = 180_000
    killed_us: int = 9_000_000
    reconnect_us: int = 1_500_000  # maximum time from the kill until a proxy has joined the last director
    keeps_tables: bool = True  # whether the proxies still use the tables of their former directors
    end_us: int = 30_000_000
    waves: tuple[Wave, ...] = (
        Wave(6_000_000, 30),
        Wave(8_000_000, 30),
        Wave(10_000_000, 30),
        Wave(12_500_000, 10),
    )
    list_interval_us: int = 500_000
    failures: tuple[Failure, ...] = ()  # without any, no load is reported
    report_interval_us: int = 400_000
    seed: int = 1

    def replace(self, **changes) -> DayConfig:
        return replace(self, **changes)

    def settings(self, number: int) -> dict:
        return {
            "me": number,
            "zone": number % self.zones,
            "directors": self.directors,
            "discovery": "pushed",
            "routes.count": 2,
            "routes.0.slo_time_us": 750_000,
            "routes.1.slo_time_us": 400_000,
            "routes.0.importance": 1.0,
            "routes.1.importance": 5.0,
            "penalties.cross_zone": self.cross_zone_penalty,
            "proxies.by_zone": True,
            "proxies.proxy_count": self.proxies,
            "proxies.pending_max": self.pending_lines_max,
            "proxies.lines_per_s": self.lines_per_s,
            "proxies.head": self.head_lines,
            "proxies.hears_per_s": 75.0,
            "proxies.report_every_us": 500_000,
            "proxies.default_size": self.default_table_size,
            "proxies.admit": "silent",
            "proxies.default_retry": 0,
            "proxies.pushes_allowed": 0,
            "proxies.ejects_after": 0,
            "proxies.late_us": self.delivery_delay_us,
            "rules.drain_grace_us": self.drain_grace_us,
            "rules.warm_after_us": self.warm_after_us,
            "rules.start_capacity": 0.16,
            "rules.fall_multiple": 3.0,
            "round_us": 1_000,
        }


@dataclass
class Outcome:
    """The measurements of a day that are compared with the limits."""

    longest_drain: float  # longest use of a server after its drain was announced, in drain graces
    late_drains: int  # number of uses after an announced drain that exceeded the drain grace
    unapplied_drains: int  # number of the late drains that had not ended by the end of the day
    peak_queue: float  # maximum queue length of the last director as a fraction of its limit
    longest_empty_us: int  # longest time for which a proxy had no usable server
    lines: int  # number of lines that the last director sent
    messages: int  # number of messages that the last director sent
    unbound: int  # number of proxies that the last director had not bound to a table by the end


class DirectorInstance:
    """One director with its decisions and its paced channel."""

    def __init__(self, day: Day, number: int):
        config = day.config
        self.day, self.alive, self.told = day, True, {}
        self.channel = Channel(config.lines_per_s, config.head_lines, config.delivery_delay_us)
        self.stepper = Stepper(config.seed + number, config.settings(number), Director)
        self.stepper.pending_events.append(
            model.EndpointUpdate(model.UpdateKind.CACHED, tuple(day.endpoints.values()), 0)
        )

    def step(self, now: int) -> None:
        if not self.alive:
            return
        self.stepper.fire_timers(now)
        if not self.stepper.pending_events:
            return
        for applied_us, message in self.channel.write(now, self.stepper.step(now)):
            self.day.schedule(applied_us, lambda message=message: self.message_applied(message))
        due = self.stepper.due_us()
        if due is not None:
            self.day.schedule(max(due, now + 1), lambda: self.step(self.day.now))

    def message_applied(self, message) -> None:
        proxy_tables = self.channel.joined.get(message.proxy)
        if not self.alive or proxy_tables is None:
            return
        self.day.apply(message.proxy, proxy_tables, message.changes)
        if message.nonce is not None:
            self.receive(model.Acknowledged(message.proxy, message.nonce, 0))

    def receive(self, *events) -> None:
        self.stepper.pending_events += events
        self.day.schedule(self.day.now + 1_000, lambda: self.step(self.day.now))


class Day:
    """Plays the day that a ``DayConfig`` describes, with the decisions of ``Director``."""

    def __init__(self, config: DayConfig):
        self.config, self.now, self.heap, self.sequence_numbers = config, 0, [], count()
        self.random = random.Random(config.seed)
        self.endpoints = {
            name: self.server(name, 0) for name in (f"s-{number:04x}" for number in range(config.servers))
        }
        self.server_numbers = count(config.servers)
        self.drained_us: dict[str, int] = {}  # time at which a server's drain was announced
        self.proxies: dict[int, ProxyTables] = {}
        self.changes: dict[str, model.Endpoint] = {}  # entries of the next list update
        self.longest_drain = 0.0
        self.late_drains = 0
        self.empty_since: dict[int, int] = {}  # by proxy without a usable server, the time when that began
        self.longest_empty_us = 0
        if config.failures:
            self.schedule(config.report_interval_us, self.report_load)
        self.directors = [DirectorInstance(self, number) for number in range(config.directors)]

    def server(self, name: str, started_us: int, state: int = model.EndpointState.READY) -> model.Endpoint:
        zone = self.random.randrange(self.config.zones)
        large = self.random.random() < 0.45
        return model.Endpoint(3.0 if large else 2.0, zone, started_us, int(large), 0, name, state)

    def schedule(self, time_us: float, callback) -> None:
        heappush(self.heap, (int(time_us), next(self.sequence_numbers), callback))

    def apply(self, proxy: int, proxy_tables: ProxyTables, changes: list) -> None:
        """Apply a message at a proxy, and record the drains that it ends and times without usable servers."""
        used = {server for server in proxy_tables.usable() if server in self.drained_us}
        for change in changes:
            change(proxy_tables)
        for server in used - proxy_tables.usable():
            self.record_drain(proxy_tables, server, self.now)
        if proxy_tables.usable():
            self.longest_empty_us = max(
                self.longest_empty_us, self.now - self.empty_since.pop(proxy, self.now)
            )
        else:
            self.empty_since.setdefault(proxy, self.now)

    def record_drain(self, proxy_tables: ProxyTables, server: str, until_us: int) -> bool:
        """Record the use of a server after its drain was announced; returns whether it exceeded the grace."""
        duration = (
            until_us - max(self.drained_us[server], proxy_tables.joined_us)
        ) / self.config.drain_grace_us
        self.longest_drain = max(self.longest_drain, duration)
        self.late_drains += duration > 1
        return duration > 1

    def change(self, endpoint: model.Endpoint) -> None:
        """Add an entry to the next list update, which is published at the end of the list interval."""
        if not self.changes:
            interval_us = self.config.list_interval_us
            self.schedule((self.now // interval_us + 1) * interval_us, self.publish)
        self.changes[endpoint.address] = endpoint

    def publish(self) -> None:
        endpoints, self.changes = tuple(self.changes.values()), {}
        for endpoint in endpoints:
            if endpoint.state != model.EndpointState.READY:
                self.drained_us.setdefault(endpoint.address, self.now)
            self.endpoints[endpoint.address] = endpoint
        for director in self.directors:
            if director.alive:
                director.receive(model.EndpointUpdate(model.UpdateKind.DELTA, endpoints, 1))

    def replace(self, wave: Wave) -> None:
        """Schedule the drain, the removal and the replacement of the servers of a wave."""
        ready = [
            endpoint for endpoint in self.endpoints.values() if endpoint.state == model.EndpointState.READY
        ]
        for endpoint in self.random.sample(ready, min(wave.servers, len(ready) // 2)):
            notice_us = self.random.randrange(1_500_000)
            self.schedule(
                self.now + notice_us,
                lambda endpoint=endpoint: self.change(endpoint._replace(state=model.EndpointState.DRAINING)),
            )
            self.schedule(
                self.now + notice_us + wave.gone_after_us,
                lambda endpoint=endpoint: self.change(endpoint._replace(state=model.EndpointState.GONE)),
            )
            new = self.server(f"s-{next(self.server_numbers):04x}", self.now)
            self.schedule(self.now + notice_us + 500_000, lambda new=new: self.change(new))

    def report_load(self) -> None:
        """Report to each director what its proxies met at each server that they use."""
        self.schedule(self.now + self.config.report_interval_us, self.report_load)
        for director in self.directors:
            if director.alive:
                users = Counter(
                    (server, tables.zone)
                    for tables in director.channel.joined.values()
                    for server in tables.usable()
                )
                director.receive(*(self.load_report(*key, number) for key, number in users.items()))

    def load_report(self, server: str, zone: int, users: int) -> model.ServerLoadReport:
        attempts = ATTEMPTS_PER_REPORT * users
        endpoint = self.endpoints[server]
        failed = any(failure.includes(endpoint, self.now) for failure in self.config.failures)
        latency_us = 0 if failed else SERVER_LATENCY_US
        return model.ServerLoadReport(
            server, zone, attempts, attempts * failed, latency_us, self.config.report_interval_us, ()
        )

    def join(self, proxy: int, director: DirectorInstance) -> None:
        proxy_tables = self.proxies[proxy]
        if not self.config.keeps_tables:
            proxy_tables.weights = self.default_weights(proxy_tables.zone)
            proxy_tables.withdrawn.clear()
        proxy_tables.joined_us = self.now
        director.channel.join(proxy, proxy_tables)
        newly_started = not proxy_tables.weights
        director.receive(model.ProxyJoined(proxy, newly_started, proxy_tables.rate, proxy_tables.zone))

    def kill(self) -> None:
        """Kill all directors but the last one; their proxies reconnect to that one."""
        last = self.directors[-1]
        for director in self.directors[:-1]:
            director.alive = False
            for proxy in director.channel.joined:
                self.schedule(
                    self.now + self.random.randrange(100_000, self.config.reconnect_us),
                    lambda proxy=proxy: self.join(proxy, last),
                )

    def play(self) -> Outcome:
        config = self.config
        for proxy in range(config.proxies):
            proxy_tables = ProxyTables(
                self.random.randrange(config.zones), self.random.lognormvariate(0, 0.8)
            )
            proxy_tables.weights = self.default_weights(proxy_tables.zone)
            self.proxies[proxy] = proxy_tables
            director = self.directors[proxy % config.directors]
            director.channel.join(proxy, proxy_tables)
            director.stepper.pending_events.append(
                model.ProxyJoined(proxy, True, proxy_tables.rate, proxy_tables.zone)
            )
        for director in self.directors:
            self.schedule(0, lambda director=director: director.step(self.now))
        for wave in config.waves:
            self.schedule(wave.at_us, lambda wave=wave: self.replace(wave))
        self.schedule(config.killed_us, self.kill)
        while self.heap and self.heap[0][0] <= config.end_us:
            self.now, _, callback = heappop(self.heap)
            callback()
        return self.outcome()

    def default_weights(self, zone: int) -> dict[str, float]:
        """Draw the servers of a default table, of the zone of its proxy if there are any."""
        local = [name for name, endpoint in self.endpoints.items() if endpoint.zone == zone]
        usable = local or list(self.endpoints)
        size = min(self.config.default_table_size, len(usable))
        return dict.fromkeys(self.random.sample(usable, size), 1.0)

    def outcome(self) -> Outcome:
        self.now = self.config.end_us
        unapplied = 0
        for proxy_tables in self.proxies.values():
            for server in proxy_tables.usable() & self.drained_us.keys():
                unapplied += self.record_drain(proxy_tables, server, self.now)
        last = self.directors[-1].channel
        return Outcome(
            round(self.longest_drain, 3),
            self.late_drains,
            unapplied,
            round(last.peak_waiting / self.config.pending_lines_max, 3),
            self.longest_empty_us,
            last.lines_sent,
            last.messages_sent,
            len(last.joined) - len(last.bound),
        )
