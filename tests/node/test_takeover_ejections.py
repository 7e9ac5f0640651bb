"""Ejections and readmissions in a takeover, with real directors on loopback."""

import random

import pytest

from tests.node.load_reporter import LoadReporter
from tests.node.paced_director import PacedDirector, start_drains
from tests.node.paced_relay import Fleet
from tests.node.platform_stubs import SETTINGS, StubDiscovery, entry
from tests.waiting import wait_until

PROXIES, SERVERS = 600, 80
OWN_PROXIES = 120  # joined to the surviving director from the start
GRACE_S = 2.7
RULE_SLACK_S = 0.3  # the protocol page adds it to the limit on drains
FAILING_FRACTION = 0.3
DRAINING_SERVERS = 16
FIRST_BINDS = 12  # bindings that show that the takeover has begun
TAKEOVER_SETTINGS = SETTINGS | {
    "fleetSize": 5,
    "penalties": {"crossZone": 0.06},
    "domain": SETTINGS["domain"]
    | {"proxyCount": PROXIES, "pendingMax": 19_200.0, "linesPerS": 6_400.0, "lateUs": 60_000},
    "safety": SETTINGS["safety"] | {"drainGraceUs": int(GRACE_S * 1e6)},
}


@pytest.fixture
def pair(tmp_path):
    discovery, fleet = StubDiscovery(*map(entry, range(SERVERS))), Fleet(PROXIES, SERVERS)
    directors = [PacedDirector(tmp_path, name, fleet, discovery, TAKEOVER_SETTINGS) for name in ("n0", "n1")]
    yield directors, discovery, fleet
    for director in directors:
        director.stop()
    discovery.close()


def test_ejections_in_a_takeover_do_not_delay_its_binds(pair):
    """Guards against withdrawals of failing servers that fill the channel before the proxies are bound."""
    (killed, survivor), discovery, fleet = pair
    for director in (killed, survivor):
        wait_until(director.responds_to_heartbeat, "a heartbeat")
    for proxy in range(PROXIES):
        (survivor if proxy < OWN_PROXIES else killed).relay.join_proxy(proxy)
    wait_until(lambda: len(fleet.bound) == PROXIES, "the bindings of all proxies")
    reporter = LoadReporter(survivor, SERVERS)
    try:
        servers = random.Random(57).sample(range(SERVERS), SERVERS)
        failing = servers[: int(FAILING_FRACTION * SERVERS)]
        draining = servers[len(failing) : len(failing) + DRAINING_SERVERS]
        killed.process.kill()
        killed.process.wait()
        killed.relay.discard_queue()
        reporter.failing.update(failing)
        for proxy in range(OWN_PROXIES, PROXIES):
            survivor.relay.join_proxy(proxy)
        wait_until(
            lambda: len(survivor.relay.channel.bound) > OWN_PROXIES + FIRST_BINDS, "the start of the takeover"
        )
        start_drains(fleet, discovery, *draining)
        wait_until(fleet.uses_no_draining_server, "the removal of all draining servers", 4 * GRACE_S)
        trace = "\n".join(map(str, [fleet.longest_use_s(), *survivor.relay.trace]))
        assert fleet.longest_use_s() <= GRACE_S + RULE_SLACK_S, trace
    finally:
        reporter.close()
