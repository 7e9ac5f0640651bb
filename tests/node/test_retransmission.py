"""A live director whose calls are executed, or not, without an answer: what it sends again, and when."""

import time

import pytest

from rainpick.node import retry_backoff
from tests.node.paced_director import paced_platform, start_drains
from tests.node.platform_stubs import SETTINGS
from tests.waiting import wait_until

PROXIES, SERVERS = 16, 18
CALLS_IN_SPELL = 50  # each of them fills a fortieth of the channel if it is the whole call again
GRACE_S = SETTINGS["safety"]["drainGraceUs"] / 1e6
SPELL_SETTINGS = SETTINGS | {"domain": SETTINGS["domain"] | {"proxyCount": PROXIES}}


@pytest.fixture
def platform(tmp_path):
    with paced_platform(tmp_path, SPELL_SETTINGS, PROXIES, SERVERS) as parts:
        yield parts


def bind_all_proxies(director, fleet):
    """Join all proxies, and wait until all of them are bound."""
    wait_until(director.responds_to_heartbeat, "a heartbeat")
    for proxy in range(PROXIES):
        director.relay.join_proxy(proxy)
    wait_until(lambda: len(fleet.bound) == PROXIES, "the bindings of all proxies")


class Spell:
    """A time during which the relay handles each call with the same behaviour, and its calls."""

    def __init__(self, relay, response):
        self.relay, self.response, self.calls = relay, response, []
        self.begin_s, self.duration_s = time.monotonic(), 0.0
        relay.default_response = self.respond

    def respond(self, commands):
        self.calls.append(commands)
        return self.response

    def end(self):
        self.duration_s = time.monotonic() - self.begin_s
        self.relay.default_response = lambda commands: "accept"

    def calls_with_commands(self):
        return [commands for commands in self.calls if commands]


@pytest.mark.parametrize("response", ["no answer, closed", "invalid answer"])
def test_calls_executed_without_an_answer_do_not_fill_the_channel(platform, response):
    """Guards against repeating such a call without a pause: its lines filled the channel many times over.

    The withdrawal of a server that drains afterwards then waited behind them for longer than the grace.
    """
    director, fleet, discovery = platform
    relay = director.relay
    bind_all_proxies(director, fleet)
    spell = Spell(relay, response)
    start_drains(fleet, discovery, 0, 1)
    wait_until(lambda: len(spell.calls) >= CALLS_IN_SPELL, "the calls of the spell")
    spell.end()
    assert relay.peak_queue_fraction <= 1.0
    repetitions = len(spell.calls_with_commands()) - 1
    assert repetitions <= 1 + spell.duration_s / retry_backoff.UNRESPONSIVE_PAUSE_S
    wait_until(fleet.uses_no_draining_server, "the withdrawals of the spell")
    fleet.longest_use_us = 0
    start_drains(fleet, discovery, 5)
    wait_until(lambda: "s-0005" in relay.removed and fleet.uses_no_draining_server(), "the later withdrawal")
    assert fleet.longest_use_s() <= GRACE_S
    assert relay.peak_queue_fraction <= 1.0


def test_a_lost_call_is_sent_again_once_the_relay_responds(platform):
    """Guards against a withdrawal that is never sent again, as its first transmission was not executed."""
    director, fleet, discovery = platform
    relay = director.relay
    bind_all_proxies(director, fleet)
    spell = Spell(relay, "not read, closed")
    start_drains(fleet, discovery, 3)
    wait_until(lambda: len(spell.calls) >= 5, "the calls of the spell")
    spell.end()
    wait_until(lambda: relay.commands("withdraw"), "the withdrawal, sent again")
    wait_until(fleet.uses_no_draining_server, "its execution")
    assert len(spell.calls_with_commands()) <= 2 + spell.duration_s / retry_backoff.UNRESPONSIVE_PAUSE_S
