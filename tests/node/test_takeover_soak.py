"""A live director that takes proxies over under drawn disruptions, on loopback: drains in time, no crash.

Servers fail and recover, drains begin, the other director is killed, and the director itself is disturbed, in
a drawn order. Each seed is a short run. ``RAINPICK_SOAK_SEEDS`` sets how many there are; by default a few.
"""

import contextlib
import os
import random
import time

import pytest

from tests.node.disruptions import DISRUPTIONS, Disrupter
from tests.node.load_reporter import LoadReporter
from tests.node.paced_director import PacedDirector, start_drains
from tests.node.paced_relay import Fleet
from tests.node.platform_stubs import SETTINGS, StubDiscovery, entry
from tests.waiting import wait_until

SEEDS = int(os.environ.get("RAINPICK_SOAK_SEEDS", "4"))
PROXIES, OWN_PROXIES, SERVERS = 240, 60, 48
DISRUPTIONS_MAX = 3
DRAINS = 3  # servers that begin to drain together
PAUSE_MAX_S = 0.8
GRACE_S = SETTINGS["safety"]["drainGraceUs"] / 1e6
RULE_SLACK_S = 0.3  # the protocol page adds it to the limit on drains
SOAK_SETTINGS = SETTINGS | {
    "fleetSize": 4,
    "penalties": {"crossZone": 0.06},
    "domain": SETTINGS["domain"]
    | {"proxyCount": PROXIES, "lateUs": 60_000, "linesPerS": 2560.0, "pendingMax": 7680.0},
}


@pytest.fixture
def pair(tmp_path):
    discovery, fleet = StubDiscovery(*map(entry, range(SERVERS))), Fleet(PROXIES, SERVERS)
    directors = [PacedDirector(tmp_path, name, fleet, discovery, SOAK_SETTINGS) for name in ("n0", "n1")]
    yield directors, discovery, fleet
    for director in directors:
        director.stop()
    discovery.close()


class Day:
    """The events of a run, drawn from a seed."""

    def __init__(self, directors, discovery, fleet, reporter, draw):
        (self.killed, self.director), self.discovery, self.fleet = directors, discovery, fleet
        self.reporter, self.draw = reporter, draw
        self.draining = draw.sample(range(SERVERS), SERVERS // 2)
        self.disrupter = Disrupter(self.director, OWN_PROXIES, draw)

    def play(self) -> float:
        """Play the events; return the limit on the use of a draining server, in seconds."""
        disruptions = self.draw.choices(DISRUPTIONS, k=self.draw.randint(0, DISRUPTIONS_MAX))
        events = [self.take_over, self.fail_servers, self.recover, self.drain]
        events += [lambda each=each: self.disrupter.apply(each) for each in disruptions]
        self.draw.shuffle(events)
        for event in events:
            self.drain()
            event()
            time.sleep(self.draw.random() * PAUSE_MAX_S)
        return GRACE_S + RULE_SLACK_S + sum(each.allowance_s for each in disruptions)

    def drain(self):
        start_drains(self.fleet, self.discovery, *(self.draining.pop() for _ in range(DRAINS)))

    def fail_servers(self):
        self.reporter.failing.update(self.draw.sample(range(SERVERS), self.draw.choice((6, 12, 16))))

    def recover(self):
        self.reporter.failing.clear()

    def take_over(self):
        """Kill the other director; its proxies join this one."""
        self.killed.process.kill()
        self.killed.process.wait()
        self.killed.relay.discard_queue()
        for proxy in range(OWN_PROXIES, PROXIES):
            self.director.relay.join_proxy(proxy)
        self.disrupter.proxies = range(PROXIES)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_a_takeover_under_disruptions_keeps_the_grace_and_the_queue_limit(seed, pair):
    directors, discovery, fleet = pair
    for director in directors:
        wait_until(director.responds_to_heartbeat, "a heartbeat")
    for proxy in range(PROXIES):
        directors[proxy < OWN_PROXIES].relay.join_proxy(proxy)
    wait_until(lambda: len(fleet.bound) == PROXIES, "the bindings of all proxies")
    director = directors[1]
    with contextlib.closing(LoadReporter(director, SERVERS)) as reporter:
        day = Day(directors, discovery, fleet, reporter, random.Random(seed))
        with contextlib.closing(day.disrupter):
            limit_s = day.play()
            wait_until(fleet.uses_no_draining_server, "the removal of all draining servers", limit_s)
            assert fleet.longest_use_s() <= limit_s
            wait_until(lambda: len(director.relay.channel.bound) == PROXIES, "the bindings of all proxies")
            assert director.process.poll() is None
            assert director.relay.peak_queue_fraction <= 1.0
