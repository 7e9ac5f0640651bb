"""A live director whose count of lines in the channel is not corrected by acknowledgements, on loopback."""

import random

import pytest

from tests.node.paced_director import paced_platform, start_drains
from tests.node.platform_stubs import SETTINGS
from tests.waiting import wait_until

PROXIES, SERVERS = 400, 60
LEAVING_PROXIES = 24
DRAINING_SERVERS = 5
BOUND_BEFORE_SILENCE = 60
GRACE_S = SETTINGS["safety"]["drainGraceUs"] / 1e6
RULE_SLACK_S = 0.3  # the protocol page adds it to the limit on drains
START_S = 1.0  # limits begin this long after the director has first answered
SUBSCRIPTION_LOSS_S = 4.0  # limits wait this long if the relay breaks off its only notification stream
RESTART_LIMIT_S = GRACE_S + RULE_SLACK_S + START_S
FLEET_SETTINGS = SETTINGS | {
    "penalties": {"crossZone": 0.06},
    "domain": SETTINGS["domain"]
    | {"proxyCount": PROXIES, "pendingMax": 12_000.0, "linesPerS": 6_000.0, "lateUs": 60_000},
}


@pytest.fixture
def platform(tmp_path):
    with paced_platform(tmp_path, FLEET_SETTINGS, PROXIES, SERVERS) as parts:
        yield parts


def join(director, proxies):
    """Join proxies once the director serves."""
    wait_until(director.responds_to_heartbeat, "a heartbeat")
    wait_until(lambda: director.relay.subscribers, "a subscription")
    for proxy in proxies:
        director.relay.join_proxy(proxy)


def expect_drains_within(limit_s, fleet):
    """Wait until no proxy can use a draining server; fail if one could for longer than ``limit_s``."""
    wait_until(fleet.uses_no_draining_server, "the removal of all draining servers", limit_s)
    assert fleet.longest_use_s() <= limit_s


def test_binds_rejected_after_a_restart_do_not_stop_the_channel(platform):
    """Guards against a second acknowledgement that is expected of proxies which get a single message.

    The first call of a restarted director sets up tables and binds proxies. A rejected bind splits it.
    """
    director, fleet, discovery = platform
    relay = director.relay
    join(director, range(PROXIES))
    wait_until(lambda: len(fleet.bound) == PROXIES, "the first bindings")
    director.kill()
    leaving = random.Random(47).sample(range(PROXIES), LEAVING_PROXIES)
    for proxy in range(PROXIES):
        relay.join_proxy(proxy)
    for proxy in leaving:
        relay.leave_proxy(proxy)
    start_drains(fleet, discovery, *range(DRAINING_SERVERS))
    director.process = director.start()
    wait_until(lambda: any(response != len(call) for response, call in relay.calls), "a rejected bind")
    for proxy in leaving:
        relay.announce_leave(proxy)
        relay.join_proxy(proxy)
    wait_until(fleet.uses_no_draining_server, "the removal of all draining servers", RESTART_LIMIT_S)
    assert fleet.longest_use_s() <= RESTART_LIMIT_S
    wait_until(lambda: len(relay.channel.bound) == PROXIES, "the bindings of all proxies")


def test_acknowledgements_lost_with_a_silent_stream_do_not_stop_the_channel(platform):
    """Guards against lines that are counted for good, since their acknowledgements were not received."""
    director, fleet, discovery = platform
    relay = director.relay
    join(director, range(PROXIES))
    wait_until(lambda: len(fleet.bound) >= BOUND_BEFORE_SILENCE, "the first bindings")
    relay.mute_subscribers()
    start_drains(fleet, discovery, *range(DRAINING_SERVERS))
    expect_drains_within(GRACE_S + RULE_SLACK_S + SUBSCRIPTION_LOSS_S, fleet)
    wait_until(lambda: len(relay.channel.bound) == PROXIES, "the bindings of all proxies")
