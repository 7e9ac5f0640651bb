"""Days drawn by a seed for one director: settings, servers, proxies, faults and acknowledgements.

A day feeds events to the decision module and digests the commands that come back. The digest is taken over
neutral names and plain numbers, so that it does not depend on what types and fields are called.
"""

from __future__ import annotations

import random
from hashlib import sha256
from heapq import heappop, heappush
from itertools import count

from rainpick import model
from rainpick.decisions.director import Director

ROUND_US = 250_000
ROUNDS = 200

# Neutral names: the digests are taken over these, whatever the types are called.
NAMES = {
    model.SetWeight: "line",
    model.ClearTable: "clear",
    model.SetWithdrawn: "withdraw",
    model.RequestAcknowledgement: "mark",
    model.BindProxy: "bind",
    model.SetAdmission: "admit",
    model.ProbeServer: "probe",
    model.SendPeerMessage: "peer",
    model.SetTimer: "timer",
    model.Subscribe: "subscribe",
    model.FetchEndpoints: "fetch",
    model.LogMessage: "log",
}


def plain(value: object) -> object:
    """A field of a command as a plain value: an enumeration's member or a flag is its number."""
    return int(value) if isinstance(value, int) else value


def row(command: tuple) -> tuple:
    """A command as its neutral name and its plain fields, in their order."""
    return NAMES[type(command)], *map(plain, command)


class Digest:
    """The digest of all that a director ordered, and how many commands of each kind there were."""

    def __init__(self) -> None:
        self.hash = sha256()
        self.counts: dict[str, int] = {}

    def add(self, now: int, commands: list) -> None:
        """Take in what one step ordered."""
        for command in commands:
            fields = row(command)
            self.counts[fields[0]] = self.counts.get(fields[0], 0) + 1
            self.hash.update(f"{now} {fields!r}\n".encode())

    def result(self) -> dict:
        """The digest as the committed file holds it."""
        return {"sha256": self.hash.hexdigest(), "commands": dict(sorted(self.counts.items()))}


def draw_settings(draw: random.Random) -> dict:
    """Settings as the module reads them; each key is left out now and then."""
    settings = {
        "routes.count": draw.choice((1, 2, 3)),
        "directors": draw.choice((1, 2, 5)),
        "zone": draw.randrange(3),
        "discovery": draw.choice(("pushed", "pushed", "on_request")),
        "penalties.cross_zone": draw.choice((0.0, 0.02, 0.06)),
        "proxies.admit": draw.choice(("silent", "ratio", "rate")),
        "proxies.default_retry": draw.choice((0, 1)),
        "proxies.by_zone": draw.random() < 0.5,
        "proxies.proxy_count": draw.choice((6, 40, 200)),
        "proxies.default_size": draw.choice((2, 5, 12)),
        "proxies.ejects_after": draw.choice((0, 5)),
        "proxies.head": draw.choice((0, 6)),
        "proxies.hears_per_s": draw.choice((20.0, 200.0, 5000.0)),
        "proxies.late_us": draw.choice((0, 60_000, 180_000)),
        "proxies.lines_per_s": draw.choice((60.0, 400.0, 2100.0)),
        "proxies.pending_max": draw.choice((150, 1500, 36_900)),
        "proxies.pushes_allowed": draw.choice((0, 12, 30)),
        "proxies.counted_over_us": draw.choice((5_000_000, 10_000_000)),
        "proxies.report_every_us": draw.choice((500_000, 1_000_000)),
        "rules.drain_grace_us": draw.choice((2_000_000, 6_000_000, 18_000_000)),
        "rules.fall_multiple": draw.choice((2.0, 3.0)),
        "rules.gone_does_not_bind": draw.random() < 0.3,
        "rules.start_capacity": draw.choice((0.16, 0.3)),
        "rules.warm_after_us": draw.choice((4_000_000, 12_000_000)),
    }
    if draw.random() < 0.1:
        settings |= {"proxies.slices": 12, "proxies.one_owner": draw.random() < 0.5}
    for name in list(settings):
        if name != "routes.count" and draw.random() < 0.08:
            del settings[name]
    for route in range(settings["routes.count"]):
        settings[f"routes.{route}.slo_time_us"] = draw.choice((200_000, 500_000, 750_000))
        settings[f"routes.{route}.importance"] = draw.choice((1, 2.5, 5))
    return settings


class DrawnDay:
    """One director among drawn servers and proxies; ``play`` returns the digest of its commands."""

    def __init__(self, seed: int):
        self.draw = random.Random(seed)
        self.settings = draw_settings(self.draw)
        self.now = self.draw.choice((0, 0, 40_000_000))
        self.director, self.digest = Director(), Digest()
        self.servers: dict[str, model.Endpoint] = {}
        self.names = 0
        self.faults: dict[str, str] = {}
        self.proxies: dict[int, int] = {}  # the zone of each joined proxy
        self.deaf: set[int] = set()
        self.marks: list[int] = []
        self.due: list[tuple[int, int, list]] = []
        self.numbers = count()
        self.load = 1.0
        self.lost_zone: int | None = None

    def server(self, started_us: int) -> model.Endpoint:
        """A new entry of the list."""
        self.names += 1
        machine = self.draw.randrange(3)
        fields = float(1 + machine), self.draw.randrange(3), started_us, machine, 0, f"s{self.names}"
        return model.Endpoint(*fields, model.EndpointState.READY)

    def play(self) -> dict:
        """Play all rounds."""
        for _ in range(self.draw.choice((4, 15, 60))):
            entry = self.server(self.draw.choice((0, 0, 0, max(0, self.now - 1_000_000))))
            self.servers[entry.address] = entry
        start = [
            model.Started(self.draw.randrange(1 << 30), self.settings),
            model.EndpointUpdate(model.UpdateKind.CACHED, tuple(self.servers.values()), 1),
        ]
        self.step(start + self.joins(self.draw.choice((2, 10, 60))))
        for _ in range(ROUNDS):
            self.now += self.draw.choice((ROUND_US, ROUND_US, ROUND_US, 40_000, 1_100_000))
            events = self.changes() + self.slices() + self.reports() + self.due_events()
            self.draw.shuffle(events)
            self.step(events)
        return self.digest.result()

    def step(self, events: list) -> None:
        """Step the module, digest its commands, and plan the timers and acknowledgements they cause."""
        commands = self.director.step(self.now, events)
        self.digest.add(self.now, commands)
        for command in commands:
            if type(command) is model.SetTimer:
                self.plan(command.delay_us, [model.TimerFired(command.token)])
            elif type(command) is model.RequestAcknowledgement:
                self.marks = [*self.marks[-4:], command.nonce]
                late_us = self.draw.choice((30_000, 200_000, 900_000))
                answers = [
                    model.Acknowledged(proxy, command.nonce, late_us)
                    for proxy in self.proxies.keys() - self.deaf
                ]
                self.plan(late_us, sorted(answers))

    def plan(self, delay_us: int, events: list) -> None:
        """Events that come later."""
        heappush(self.due, (self.now + delay_us, next(self.numbers), events))

    def due_events(self) -> list:
        """What is due by now."""
        events = []
        while self.due and self.due[0][0] <= self.now:
            events += heappop(self.due)[2]
        return events

    def joins(self, count: int) -> list:
        """Proxies that join, some of them again and unseen."""
        events = []
        for _ in range(count):
            proxy = self.draw.randrange(200)
            self.proxies[proxy] = self.draw.randrange(3)
            rate = round(self.draw.lognormvariate(1, 0.8), 3)
            events.append(model.ProxyJoined(proxy, self.draw.random() < 0.6, rate, self.proxies[proxy]))
        return events

    def changes(self) -> list:
        """What happens to proxies, to the list and to servers in this round."""
        draw, events = self.draw, []
        if draw.random() < 0.08:
            events += self.joins(draw.choice((1, 3, 30)))
        if self.proxies and draw.random() < 0.08:
            proxy = draw.choice(sorted(self.proxies))
            del self.proxies[proxy]
            events.append(model.ProxyLeft(proxy))
        if self.proxies and draw.random() < 0.05:
            self.deaf = set(draw.sample(sorted(self.proxies), len(self.proxies) // 3))
        if self.marks and draw.random() < 0.05:
            events.append(model.Retransmitted(draw.choice(self.marks)))
        if draw.random() < 0.2:
            events.append(self.list_update())
        if draw.random() < 0.04:
            self.faults = {
                address: draw.choice(("errors", "errors", "silent", "slow", "dead"))
                for address in self.servers
                if draw.random() < 0.2
            }
            self.lost_zone = draw.choice((None, None, 0, 1))
        if draw.random() < 0.04:
            self.load = draw.choice((0.3, 1.0, 1.0, 3.0, 8.0))
        return events

    def list_update(self) -> model.EndpointUpdate:
        """News of the list: entries that drain, are gone, come back or are new; now and then it fails."""
        draw, changed = self.draw, []
        if draw.random() < 0.05:
            return model.EndpointUpdate(model.UpdateKind.FAILED, (), 0)
        for address in draw.sample(sorted(self.servers), min(len(self.servers), draw.choice((0, 1, 4)))):
            state = draw.choice(
                (
                    model.EndpointState.READY,
                    model.EndpointState.DRAINING,
                    model.EndpointState.DRAINING,
                    model.EndpointState.GONE,
                )
            )
            entry = self.servers[address]._replace(state=state)
            if draw.random() < 0.2:
                entry = entry._replace(started_us=self.now)
            changed.append(entry)
        changed += [self.server(self.now) for _ in range(draw.choice((0, 0, 1, 3)))]
        for entry in changed:
            self.servers[entry.address] = entry
            if entry.state == model.EndpointState.GONE and len(self.servers) > 3:
                del self.servers[entry.address]
        if draw.random() < 0.15:
            kept = [entry for entry in self.servers.values() if draw.random() < 0.9]
            return model.EndpointUpdate(model.UpdateKind.FULL, tuple(kept), 2)
        return model.EndpointUpdate(model.UpdateKind.DELTA, tuple(changed), 2)

    def slices(self) -> list:
        """Slices that come into the director's charge or leave it."""
        if not self.settings.get("proxies.slices") or self.draw.random() < 0.7:
            return []
        number = self.draw.randrange(12)
        if self.draw.random() < 0.2:
            return [model.KeyRangeAssigned(number, False)]
        address = self.draw.choice(sorted(self.servers))
        lines = [model.KeyRangeWeight(number, address, 1.0)]
        return [model.KeyRangeAssigned(number, True), *(lines if self.draw.random() < 0.8 else [])]

    def reports(self) -> list:
        """What proxies met at servers, and what came to proxies."""
        events = []
        for address, entry in self.servers.items():
            if entry.state == model.EndpointState.GONE or self.draw.random() < 0.4:
                continue
            if report := self.report(address, entry):
                events.append(report)
        for proxy in self.proxies:
            if self.draw.random() < 0.3:
                for route in range(self.settings["routes.count"]):
                    calls = int(self.load * self.draw.randrange(1, 30))
                    events.append(model.RouteLoadReport(proxy, route, calls, calls // 7, 500_000))
        return events

    def report(self, address: str, entry: model.Endpoint) -> model.ServerLoadReport | None:
        """A report on one server, by its fault, the load and its zone."""
        fault = self.faults.get(address)
        tries = self.draw.randrange(1, 25)
        share = 0.0 if self.load < 2 else min(0.9, 0.12 * self.load)
        mean_us = int(self.draw.randrange(40_000, 120_000) * max(1.0, self.load))
        if fault == "silent" or entry.zone == self.lost_zone and self.draw.random() < 0.4:
            return None
        if fault == "dead" or entry.zone == self.lost_zone:
            share = 1.0
        elif fault == "errors":
            share = max(share, 0.6)
        elif fault == "slow":
            mean_us *= 6
        dropped = sum(self.draw.random() < share for _ in range(tries))
        return model.ServerLoadReport(address, self.draw.randrange(3), tries, dropped, mean_us, 500_000, ())
