"""A day in virtual time: a release runs, all directors but one are killed, and that one takes over."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from itertools import count

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.director.stepper import Stepper
from tests.takeover.channel import Channel, Held


@dataclass(frozen=True)
class Wave:
    """Servers of a release that are replaced together."""

    at_us: int
    servers: int
    gone_after_us: int = 4_000_000


@dataclass(frozen=True)
class Shape:
    """The settings and faults of a day."""

    proxies: int = 1536
    servers: int = 200
    zones: int = 4
    directors: int = 5
    pace: float = 2100.0
    pending: float = 36_900.0
    grace_us: int = 18_300_000
    head: int = 6
    standing: int = 5
    cross_zone: float = 0.06
    warm_after_us: int = 12_000_000
    late_us: int = 180_000
    killed_us: int = 9_000_000
    redial_us: int = 1_500_000  # all proxies of the killed directors have joined the last one by then
    end_us: int = 30_000_000
    waves: tuple[Wave, ...] = (
        Wave(6_000_000, 30),
        Wave(8_000_000, 30),
        Wave(10_000_000, 30),
        Wave(12_500_000, 10),
    )
    list_every_us: int = 500_000
    seed: int = 1

    def replace(self, **changes) -> Shape:
        return replace(self, **changes)

    def settings(self, me: int) -> dict:
        return {
            "me": me,
            "zone": me % self.zones,
            "directors": self.directors,
            "discovery": "pushed",
            "routes.count": 2,
            "routes.0.slo_time_us": 750_000,
            "routes.1.slo_time_us": 400_000,
            "routes.0.importance": 1.0,
            "routes.1.importance": 5.0,
            "penalties.cross_zone": self.cross_zone,
            "proxies.by_zone": True,
            "proxies.proxy_count": self.proxies,
            "proxies.pending_max": self.pending,
            "proxies.lines_per_s": self.pace,
            "proxies.head": self.head,
            "proxies.hears_per_s": 75.0,
            "proxies.report_every_us": 500_000,
            "proxies.default_size": self.standing,
            "proxies.admit": "silent",
            "proxies.default_retry": 0,
            "proxies.pushes_allowed": 0,
            "proxies.ejects_after": 0,
            "proxies.late_us": self.late_us,
            "rules.drain_grace_us": self.grace_us,
            "rules.warm_after_us": self.warm_after_us,
            "rules.start_capacity": 0.16,
            "rules.fall_multiple": 3.0,
            "round_us": 1_000,
        }


@dataclass
class Outcome:
    """How near the day came to the limits."""

    drain_most: float  # the longest time a server was picked after its drain was told, in graces
    late: int  # how many of those were over a grace
    unsent: int  # that were never taken off, though their grace had passed
    queue_most: float  # the fullest queue over its limit
    bare_us: int  # the longest time a proxy had nothing to pick
    lines: int
    messages: int
    unbound: int  # proxies that had no table of the last director at the end


class Life:
    """One director: its module, its channel and what it was told."""

    def __init__(self, day: Day, me: int):
        shape = day.shape
        self.day, self.alive, self.told = day, True, {}
        self.channel = Channel(shape.pace, shape.head, shape.late_us)
        self.stepper = Stepper(shape.seed + me, shape.settings(me), Director)
        self.stepper.pending_events.append(
            model.EndpointUpdate(model.UpdateKind.CACHED, tuple(day.listed.values()), 0)
        )

    def step(self, now: int) -> None:
        if not self.alive:
            return
        self.stepper.fire_timers(now)
        if not self.stepper.pending_events:
            return
        for at, message in self.channel.write(now, self.stepper.step(now)):
            self.day.at(at, lambda message=message: self.applied(message))
        due = self.stepper.due_us()
        if due is not None:
            self.day.at(max(due, now + 1), lambda: self.step(self.day.now))

    def applied(self, message) -> None:
        held = self.channel.joined.get(message.proxy)
        if not self.alive or held is None:
            return
        self.day.apply(message.proxy, held, message.changes)
        if message.mark is not None:
            self.hear(model.Acknowledged(message.proxy, message.mark, 0))

    def hear(self, *events) -> None:
        self.stepper.pending_events += events
        self.day.at(self.day.now + 1_000, lambda: self.step(self.day.now))


class Day:
    """Plays a ``Shape`` on the real decision module."""

    def __init__(self, shape: Shape):
        self.shape, self.now, self.heap, self.numbers = shape, 0, [], count()
        self.random = random.Random(shape.seed)
        self.listed = {
            name: self.server(name, 0) for name in (f"s-{number:04x}" for number in range(shape.servers))
        }
        self.fresh = count(shape.servers)
        self.told: dict[str, int] = {}  # when a drain was told, by server
        self.proxies: dict[int, Held] = {}
        self.changes: dict[str, model.Endpoint] = {}  # that the next version of the list has
        self.drain_most = 0.0
        self.late = 0
        self.bare_since: dict[int, int] = {}
        self.bare_us = 0
        self.lives = [Life(self, me) for me in range(shape.directors)]

    def server(self, name: str, started_us: int, state: int = model.EndpointState.READY) -> model.Endpoint:
        zone = self.random.randrange(self.shape.zones)
        kind = self.random.random() < 0.45
        return model.Endpoint(3.0 if kind else 2.0, zone, started_us, int(kind), 0, name, state)

    def at(self, moment: float, work) -> None:
        heappush(self.heap, (int(moment), next(self.numbers), work))

    def apply(self, proxy: int, held: Held, changes: list) -> None:
        before = {server for server in held.usable() if server in self.told}
        for change in changes:
            change(held)
        for server in before - held.usable():
            self.judge(held, server, self.now)
        if held.usable():
            self.bare_us = max(self.bare_us, self.now - self.bare_since.pop(proxy, self.now))
        else:
            self.bare_since.setdefault(proxy, self.now)

    def judge(self, held: Held, server: str, until_us: int) -> bool:
        used = (until_us - max(self.told[server], held.joined_us)) / self.shape.grace_us
        self.drain_most = max(self.drain_most, used)
        self.late += used > 1
        return used > 1

    def change(self, entry: model.Endpoint) -> None:
        if not self.changes:
            pause = self.shape.list_every_us
            self.at((self.now // pause + 1) * pause, self.publish)
        self.changes[entry.address] = entry

    def publish(self) -> None:
        entries, self.changes = tuple(self.changes.values()), {}
        for entry in entries:
            if entry.state != model.EndpointState.READY:
                self.told.setdefault(entry.address, self.now)
            self.listed[entry.address] = entry
        for life in self.lives:
            if life.alive:
                life.hear(model.EndpointUpdate(model.UpdateKind.DELTA, entries, 1))

    def replace(self, wave: Wave) -> None:
        ready = [entry for entry in self.listed.values() if entry.state == model.EndpointState.READY]
        for entry in self.random.sample(ready, min(wave.servers, len(ready) // 2)):
            notice_us = self.random.randrange(1_500_000)
            self.at(
                self.now + notice_us,
                lambda entry=entry: self.change(entry._replace(state=model.EndpointState.DRAINING)),
            )
            self.at(
                self.now + notice_us + wave.gone_after_us,
                lambda entry=entry: self.change(entry._replace(state=model.EndpointState.GONE)),
            )
            new = self.server(f"s-{next(self.fresh):04x}", self.now)
            self.at(self.now + notice_us + 500_000, lambda new=new: self.change(new))

    def join(self, proxy: int, life: Life) -> None:
        held = self.proxies[proxy]
        held.joined_us = self.now
        life.channel.join(proxy, held)
        fresh = not held.lines
        life.hear(model.ProxyJoined(proxy, fresh, held.rate, held.zone))

    def kill(self) -> None:
        """All but the last director die; their proxies dial the last one."""
        last = self.lives[-1]
        for life in self.lives[:-1]:
            life.alive = False
            for proxy in life.channel.joined:
                self.at(
                    self.now + self.random.randrange(100_000, self.shape.redial_us),
                    lambda proxy=proxy: self.join(proxy, last),
                )

    def play(self) -> Outcome:
        shape = self.shape
        for proxy in range(shape.proxies):
            held = Held(self.random.randrange(shape.zones), self.random.lognormvariate(0, 0.8))
            local = [name for name, entry in self.listed.items() if entry.zone == held.zone]
            held.lines = dict.fromkeys(self.random.sample(local or list(self.listed), shape.standing), 1.0)
            self.proxies[proxy] = held
            life = self.lives[proxy % shape.directors]
            life.channel.join(proxy, held)
            life.stepper.pending_events.append(model.ProxyJoined(proxy, True, held.rate, held.zone))
        for life in self.lives:
            self.at(0, lambda life=life: life.step(self.now))
        for wave in shape.waves:
            self.at(wave.at_us, lambda wave=wave: self.replace(wave))
        self.at(shape.killed_us, self.kill)
        while self.heap and self.heap[0][0] <= shape.end_us:
            self.now, _, work = heappop(self.heap)
            work()
        return self.outcome()

    def outcome(self) -> Outcome:
        self.now = self.shape.end_us
        unsent = 0
        for held in self.proxies.values():
            for server in held.usable() & self.told.keys():
                unsent += self.judge(held, server, self.now)
        last = self.lives[-1].channel
        return Outcome(
            round(self.drain_most, 3),
            self.late,
            unsent,
            round(last.waiting_most / self.shape.pending, 3),
            self.bare_us,
            last.lines_sent,
            last.messages_sent,
            len(last.joined) - len(last.bound),
        )
