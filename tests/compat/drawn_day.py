"""Random days for one director: settings, servers, proxies, faults and acknowledgements, drawn from a seed.

A day passes events to the decisions and computes a digest of the resulting commands. The digest covers
neutral names and plain numbers, so that it does not depend on the names of types and fields.
"""

from __future__ import annotations

import random
from hashlib import sha256
from heapq import heappop, heappush
from itertools import count

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.decisions.retransmission import Retransmit

ROUND_US = 250_000
ROUNDS = 200

# Neutral names: the digests cover these instead of the names of the types.
NAMES = {
    model.SetWeight: "line",
    model.ClearTable: "clear",
    model.SetWithdrawn: "withdraw",
    model.RequestAcknowledgement: "mark",
    Retransmit: "repeat",
    model.BindProxy: "bind",
    model.SetAdmission: "admit",
    model.ProbeServer: "probe",
    model.SendPeerMessage: "peer",
    model.SetTimer: "timer",
    model.Subscribe: "subscribe",
    model.FetchEndpoints: "fetch",
    model.LogMessage: "log",
}


def plain_value(value: object) -> object:
    """Return a field of a command as a plain value: an enumeration's member or a flag becomes its number."""
    return int(value) if isinstance(value, int) else value


def command_row(command: tuple) -> tuple:
    """Return a command as its neutral name and its plain fields in order."""
    return NAMES[type(command)], *map(plain_value, command)


class Digest:
    """The SHA-256 digest of all commands of a director, and the number of commands of each kind."""

    def __init__(self) -> None:
        self.hash = sha256()
        self.counts: dict[str, int] = {}

    def add(self, now: int, commands: list) -> None:
        """Add the commands of one step."""
        for command in commands:
            fields = command_row(command)
            self.counts[fields[0]] = self.counts.get(fields[0], 0) + 1
            self.hash.update(f"{now} {fields!r}\n".encode())

    def result(self) -> dict:
        """Return the digest in the form of ``decisions/digests.json``."""
        return {"sha256": self.hash.hexdigest(), "commands": dict(sorted(self.counts.items()))}


def draw_settings(draw: random.Random) -> dict:
    """Draw settings for the decisions; each key is left out occasionally."""
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
    """One director with drawn servers and proxies; ``play`` returns the digest of its commands."""

    def __init__(self, seed: int):
        self.draw = random.Random(seed)
        self.settings = draw_settings(self.draw)
        self.now = self.draw.choice((0, 0, 40_000_000))
        self.director, self.digest = Director(), Digest()
        self.servers: dict[str, model.Endpoint] = {}
        self.servers_created = 0
        self.faults: dict[str, str] = {}  # by address of the server
        self.proxies: dict[int, int] = {}  # zone of each joined proxy
        self.unresponsive: set[int] = set()  # proxies that do not acknowledge
        self.nonces: list[int] = []  # the last five requested
        self.scheduled: list[tuple[int, int, list]] = []  # heap of due time, number and events
        self.numbers = count()
        self.load_factor = 1.0
        self.partitioned_zone: int | None = None

    def server(self, started_us: int) -> model.Endpoint:
        """Create a new entry of the endpoint list."""
        self.servers_created += 1
        machine = self.draw.randrange(3)
        fields = (
            float(1 + machine),
            self.draw.randrange(3),
            started_us,
            machine,
            0,
            f"s{self.servers_created}",
        )
        return model.Endpoint(*fields, model.EndpointState.READY)

    def play(self) -> dict:
        """Start the director, play all rounds, and return the digest."""
        for _ in range(self.draw.choice((4, 15, 60))):
            endpoint = self.server(self.draw.choice((0, 0, 0, max(0, self.now - 1_000_000))))
            self.servers[endpoint.address] = endpoint
        start = [
            model.Started(self.draw.randrange(1 << 30), self.settings),
            model.EndpointUpdate(model.UpdateKind.CACHED, tuple(self.servers.values()), 1),
        ]
        self.step(start + self.proxies_joining(self.draw.choice((2, 10, 60))))
        for _ in range(ROUNDS):
            self.now += self.draw.choice((ROUND_US, ROUND_US, ROUND_US, 40_000, 1_100_000))
            events = self.random_changes() + self.key_range_events() + self.load_reports() + self.due_events()
            self.draw.shuffle(events)
            self.step(events)
        return self.digest.result()

    def step(self, events: list) -> None:
        """Step the director, digest its commands, and schedule the timers and acknowledgements they cause."""
        commands = self.director.step(self.now, events)
        self.digest.add(self.now, commands)
        for command in commands:
            if type(command) is model.SetTimer:
                self.schedule(command.delay_us, [model.TimerFired(command.token)])
            elif type(command) is model.RequestAcknowledgement:
                self.nonces = [*self.nonces[-4:], command.nonce]
                delay_us = self.draw.choice((30_000, 200_000, 900_000))
                acknowledgements = [
                    model.Acknowledged(proxy, command.nonce, delay_us)
                    for proxy in self.proxies.keys() - self.unresponsive
                ]
                self.schedule(delay_us, sorted(acknowledgements))

    def schedule(self, delay_us: int, events: list) -> None:
        """Schedule events after a delay."""
        heappush(self.scheduled, (self.now + delay_us, next(self.numbers), events))

    def due_events(self) -> list:
        """Return the events that are due."""
        events = []
        while self.scheduled and self.scheduled[0][0] <= self.now:
            events += heappop(self.scheduled)[2]
        return events

    def proxies_joining(self, count: int) -> list:
        """Return joins of random proxies; some of them are already joined and have not left."""
        events = []
        for _ in range(count):
            proxy = self.draw.randrange(200)
            self.proxies[proxy] = self.draw.randrange(3)
            rate = round(self.draw.lognormvariate(1, 0.8), 3)
            events.append(model.ProxyJoined(proxy, self.draw.random() < 0.6, rate, self.proxies[proxy]))
        return events

    def random_changes(self) -> list:
        """Return changes of proxies and of the endpoint list, and change the faults of servers."""
        draw, events = self.draw, []
        if draw.random() < 0.08:
            events += self.proxies_joining(draw.choice((1, 3, 30)))
        if self.proxies and draw.random() < 0.08:
            proxy = draw.choice(sorted(self.proxies))
            del self.proxies[proxy]
            events.append(model.ProxyLeft(proxy))
        if self.proxies and draw.random() < 0.05:
            self.unresponsive = set(draw.sample(sorted(self.proxies), len(self.proxies) // 3))
        if self.nonces and draw.random() < 0.05:
            events.append(model.Retransmitted(draw.choice(self.nonces)))
        if draw.random() < 0.2:
            events.append(self.list_update())
        if draw.random() < 0.04:
            self.faults = {
                address: draw.choice(("errors", "errors", "silent", "slow", "dead"))
                for address in self.servers
                if draw.random() < 0.2
            }
            self.partitioned_zone = draw.choice((None, None, 0, 1))
        if draw.random() < 0.04:
            self.load_factor = draw.choice((0.3, 1.0, 1.0, 3.0, 8.0))
        return events

    def list_update(self) -> model.EndpointUpdate:
        """Return a list update of draining, gone, returning or new servers; occasionally a failed one."""
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
            endpoint = self.servers[address]._replace(state=state)
            if draw.random() < 0.2:
                endpoint = endpoint._replace(started_us=self.now)
            changed.append(endpoint)
        changed += [self.server(self.now) for _ in range(draw.choice((0, 0, 1, 3)))]
        for endpoint in changed:
            self.servers[endpoint.address] = endpoint
            if endpoint.state == model.EndpointState.GONE and len(self.servers) > 3:
                del self.servers[endpoint.address]
        if draw.random() < 0.15:
            kept = [endpoint for endpoint in self.servers.values() if draw.random() < 0.9]
            return model.EndpointUpdate(model.UpdateKind.FULL, tuple(kept), 2)
        return model.EndpointUpdate(model.UpdateKind.DELTA, tuple(changed), 2)

    def key_range_events(self) -> list:
        """Return events that assign a key range to the director or take one from it."""
        if not self.settings.get("proxies.slices") or self.draw.random() < 0.7:
            return []
        key_range = self.draw.randrange(12)
        if self.draw.random() < 0.2:
            return [model.KeyRangeAssigned(key_range, False)]
        address = self.draw.choice(sorted(self.servers))
        weights = [model.KeyRangeWeight(key_range, address, 1.0)]
        return [model.KeyRangeAssigned(key_range, True), *(weights if self.draw.random() < 0.8 else [])]

    def load_reports(self) -> list:
        """Return load reports on servers and on the requests that reach proxies."""
        events = []
        for address, endpoint in self.servers.items():
            if endpoint.state == model.EndpointState.GONE or self.draw.random() < 0.4:
                continue
            if server_report := self.server_report(address, endpoint):
                events.append(server_report)
        for proxy in self.proxies:
            if self.draw.random() < 0.3:
                for route in range(self.settings["routes.count"]):
                    requests = int(self.load_factor * self.draw.randrange(1, 30))
                    events.append(model.RouteLoadReport(proxy, route, requests, requests // 7, 500_000))
        return events

    def server_report(self, address: str, endpoint: model.Endpoint) -> model.ServerLoadReport | None:
        """Return a load report on a server by its fault, its zone and the load; None if nobody reports."""
        fault = self.faults.get(address)
        attempts = self.draw.randrange(1, 25)
        failure_ratio = 0.0 if self.load_factor < 2 else min(0.9, 0.12 * self.load_factor)
        mean_us = int(self.draw.randrange(40_000, 120_000) * max(1.0, self.load_factor))
        if fault == "silent" or endpoint.zone == self.partitioned_zone and self.draw.random() < 0.4:
            return None
        if fault == "dead" or endpoint.zone == self.partitioned_zone:
            failure_ratio = 1.0
        elif fault == "errors":
            failure_ratio = max(failure_ratio, 0.6)
        elif fault == "slow":
            mean_us *= 6
        failures = sum(self.draw.random() < failure_ratio for _ in range(attempts))
        return model.ServerLoadReport(
            address, self.draw.randrange(3), attempts, failures, mean_us, 500_000, ()
        )
