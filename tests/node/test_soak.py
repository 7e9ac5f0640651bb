"""A live director under drawn disruptions, on loopback: drains in time, the queue within its limit, no crash.

Each seed is a short run. ``RAINPICK_SOAK_SEEDS`` sets how many there are; by default a few, as for CI.
"""

import contextlib
import os
import random
import time

import pytest

from tests.node.disruptions import DISRUPTIONS, START_ALLOWANCE_S, Disrupter
from tests.node.paced_director import paced_platform, start_drains
from tests.node.platform_stubs import SETTINGS
from tests.waiting import wait_until

SEEDS = int(os.environ.get("RAINPICK_SOAK_SEEDS", "6"))
PROXIES, SERVERS = 160, 40
DISRUPTIONS_MAX = 4
PAUSE_MAX_S = 0.8
GRACE_S = SETTINGS["safety"]["drainGraceUs"] / 1e6
RULE_SLACK_S = 0.3  # the protocol page adds it to the limit on drains
SOAK_SETTINGS = SETTINGS | {
    "penalties": {"crossZone": 0.06},
    "domain": SETTINGS["domain"] | {"proxyCount": PROXIES, "lateUs": 60_000},
}


@pytest.mark.parametrize("seed", range(SEEDS))
def test_a_director_under_disruptions_keeps_the_grace_and_the_queue_limit(seed, tmp_path):
    draw = random.Random(seed)
    with (
        paced_platform(tmp_path, SOAK_SETTINGS, PROXIES, SERVERS) as (director, fleet, discovery),
        contextlib.closing(Disrupter(director, PROXIES, draw)) as disrupter,
    ):
        draining = draw.sample(range(SERVERS), 2 * DISRUPTIONS_MAX)
        wait_until(director.responds_to_heartbeat, "a heartbeat")
        for proxy in range(PROXIES):
            director.relay.join_proxy(proxy)
        limit_s = GRACE_S + RULE_SLACK_S + START_ALLOWANCE_S
        for _ in range(draw.randint(2, DISRUPTIONS_MAX)):
            disruption = draw.choice(DISRUPTIONS)
            limit_s += disruption.allowance_s
            start_drains(fleet, discovery, draining.pop(), draining.pop())
            time.sleep(draw.random() * PAUSE_MAX_S)
            disrupter.apply(disruption)
        wait_until(fleet.uses_no_draining_server, "the removal of all draining servers", limit_s)
        assert fleet.longest_use_s() <= limit_s
        wait_until(lambda: len(director.relay.channel.bound) == PROXIES, "the bindings of all proxies")
        assert director.process.poll() is None
        assert director.relay.peak_queue_fraction <= 1.0
