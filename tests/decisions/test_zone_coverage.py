"""Routes that keep to the zone of the proxy: a line in the zone while it has a warm server that is ready.

Commands take effect at once; times without a line are counted in simulated seconds.
"""

import random

import pytest

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.model import Endpoint, EndpointState, UpdateKind

STEP_US = 250_000
REPORT_US = 1_000_000
BARE_LIMIT_S = 2.8
ANSWER_US, HANG_US = 105_000, 1_000_000
SETTINGS = {
    "routes.count": 2,
    "routes.0.slo_time_us": 750_000,
    "routes.1.slo_time_us": 400_000,
    "proxies.own_zone_routes": (False, True),
    "proxies.head": 6,
    "proxies.lines_per_s": 2_500.0,
    "proxies.pending_max": 5_000,
    "proxies.late_us": 179_000,
    "proxies.report_every_us": 500_000,
    "proxies.hears_per_s": 75.0,
    "proxies.default_size": 5,
    "rules.drain_grace_us": 2_700_000,
    "rules.warm_after_us": 12_000_000,
    "rules.start_capacity": 0.16,
}


class ZonedFleet:
    """A director with servers and proxies by zone, and what the proxies may use."""

    def __init__(self, servers_by_zone, proxies_by_zone, seed=1, **settings):
        self.draw = random.Random(seed)
        self.now = 100_000_000
        self.servers = {}
        for zone, number in enumerate(servers_by_zone):
            for _ in range(number):
                name = f"s{len(self.servers)}"
                self.servers[name] = Endpoint(1.0, zone, 0, 0, 0, name, EndpointState.READY)
        self.zones = [zone for zone, number in enumerate(proxies_by_zone) for _ in range(number)]
        self.failing = {}  # by server, the fraction of attempts that fail
        self.silent = set()  # servers that answer nothing, so that no attempt is reported
        self.tables, self.withdrawn, self.bound = {}, set(), {}
        self.bare_us = dict.fromkeys(range(len(self.zones)), 0)
        self.longest_bare_us = 0
        self.director = Director()
        settings = SETTINGS | {"proxies.proxy_count": len(self.zones)} | settings
        self.step(
            model.Started(1, settings),
            model.EndpointUpdate(UpdateKind.CACHED, tuple(self.servers.values()), 1),
            *(model.ProxyJoined(proxy, True, 11.0, zone) for proxy, zone in enumerate(self.zones)),
        )

    def step(self, *events):
        """Pass events to the director and apply its commands; acknowledge them in the next step."""
        self.acknowledged = []
        for command in self.director.step(self.now, events):
            match command:
                case model.SetWeight(table, server, weight):
                    lines = self.tables.setdefault(table, {})
                    lines[server] = weight
                    if not weight:
                        del lines[server]
                case model.SetWithdrawn(server, withdrawn):
                    (self.withdrawn.add if withdrawn else self.withdrawn.discard)(server)
                case model.BindProxy(table, _, proxy):
                    self.bound[proxy] = table
                case model.RequestAcknowledgement(nonce, _):
                    self.acknowledged = [model.Acknowledged(p, nonce, 0) for p in range(len(self.zones))]

    def usable(self, proxy, own_zone):
        """Return the servers that a proxy may send to, for routes that keep to the zone or for others."""
        lines = self.tables.get(self.bound.get(proxy), {})
        servers = [server for server in lines if server not in self.withdrawn and server in self.servers]
        return [
            server for server in servers if not own_zone or self.servers[server].zone == self.zones[proxy]
        ]

    def reports(self):
        """Return the load reports of a second: attempts of the proxies of each zone at each server."""
        attempts = {}
        for proxy, zone in enumerate(self.zones):
            for number in range(11):
                servers = self.usable(proxy, own_zone=number % 3 == 0)
                if servers:
                    key = zone, self.draw.choice(servers)
                    attempts[key] = attempts.get(key, 0) + 1
        for (zone, server), number in attempts.items():
            if server not in self.silent:
                failures = sum(self.draw.random() < self.failing.get(server, 0) for _ in range(number))
                yield model.ServerLoadReport(server, zone, number, failures, ANSWER_US, REPORT_US, ())

    def tell(self, name, state):
        """Tell the director of a server's state."""
        self.servers[name] = entry = self.servers[name]._replace(state=state)
        self.step(model.EndpointUpdate(UpdateKind.DELTA, (entry,), 2))

    def zone_servers(self, zone):
        return [name for name, entry in self.servers.items() if entry.zone == zone]

    def run(self, seconds):
        """Run, and count how long each proxy has no line in its zone although a warm server is ready."""
        for _ in range(int(seconds * 1_000_000 / STEP_US)):
            self.now += STEP_US
            reports = self.reports() if self.now % REPORT_US == 0 else ()
            self.step(model.TimerFired(0), *self.acknowledged, *reports)
            for proxy, zone in enumerate(self.zones):
                states = [self.servers[name].state for name in self.zone_servers(zone)]
                is_bare = EndpointState.READY in states and not self.usable(proxy, own_zone=True)
                self.bare_us[proxy] = self.bare_us[proxy] + STEP_US if is_bare else 0
            self.longest_bare_us = max(self.longest_bare_us, *self.bare_us.values())

    def assert_covered(self):
        assert self.longest_bare_us <= BARE_LIMIT_S * 1e6, self.longest_bare_us


@pytest.mark.parametrize("failing", [0.5, 0.75, 0.97, 1.0])
@pytest.mark.parametrize("servers", [(5, 5, 5, 3), (12, 2), (9, 1), (6, 6)])
def test_the_last_servers_of_a_zone_are_not_ejected_together(servers, failing):
    """Guards against a limit on ejections that is kept by the fleet as a whole, but not by each zone."""
    fleet = ZonedFleet(servers, [4] * len(servers))
    fleet.run(8)
    for name in fleet.zone_servers(len(servers) - 1):
        fleet.failing[name] = failing
    fleet.run(30)
    fleet.assert_covered()


@pytest.mark.parametrize("settings", [{}, {"penalties.cross_zone": 0.06}])
def test_a_zone_that_falls_silent_keeps_a_server(settings):
    """Guards against ejecting the whole zone as partitioned or unresponsive."""
    fleet = ZonedFleet((8, 8, 4), (6, 6, 6), **settings)
    fleet.run(8)
    fleet.silent.update(fleet.zone_servers(2))
    fleet.run(20)
    fleet.assert_covered()


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_an_ejected_server_returns_when_the_last_one_in_use_leaves(state):
    """Guards against a zone whose only ready servers stay ejected for up to 16 s."""
    fleet = ZonedFleet((5, 5, 3), (4, 4, 4))
    fleet.run(8)
    names = fleet.zone_servers(2)
    for name in names:
        fleet.failing[name] = 0.9
    fleet.run(10)
    in_use = [name for name in names if name not in fleet.withdrawn]
    assert len(in_use) < len(names), "no server is ejected"
    for name in in_use:
        fleet.tell(name, state)
    fleet.run(20)
    fleet.assert_covered()


@pytest.mark.parametrize("seed", range(4))
def test_every_table_has_a_server_of_the_zone_of_each_of_its_proxies(seed):
    """Guards against tables for all zones without a server of a small zone, at the start or after drains."""
    fleet = ZonedFleet((20, 20, 2), (25, 25, 20), seed, **{"proxies.default_size": 2})
    assert len(fleet.tables) > 2
    fleet.run(10)
    fleet.assert_covered()
    drained = fleet.zone_servers(2)[seed % 2]
    fleet.tell(drained, EndpointState.DRAINING)
    fleet.run(4)
    fleet.tell(drained, EndpointState.GONE)
    fleet.run(10)
    fleet.assert_covered()


def test_proxies_of_a_zone_without_tables_get_its_later_servers():
    """Guards against a weight of 0 for servers of another zone than that of the table."""
    settings = {"penalties.cross_zone": 0.06, "proxies.default_size": 2}
    fleet = ZonedFleet((12, 12), (20, 20, 4), **settings)
    fleet.run(8)
    fleet.servers["late"] = Endpoint(1.0, 2, 0, 0, 0, "late", EndpointState.READY)
    fleet.tell("late", EndpointState.READY)
    fleet.run(10)
    fleet.assert_covered()


def test_without_routes_that_keep_to_the_zone_its_servers_are_ejected_together():
    """The limit acts on deployments with such routes only: elsewhere a failing zone is left at once."""
    fleet = ZonedFleet((5, 5, 5, 3), (4, 4, 4, 4), **{"proxies.own_zone_routes": (False, False)})
    fleet.run(8)
    names = set(fleet.zone_servers(3))
    fleet.failing.update(dict.fromkeys(names, 0.97))
    ejected = set()
    for _ in range(20):
        fleet.run(1)
        ejected |= {frozenset(fleet.withdrawn & names)}
    assert frozenset(names) in ejected
