"""Messages that unbound proxies get only if they use a server: no bind waits for them, the limit holds."""

from collections import deque

import pytest

from rainpick import model
from rainpick.decisions.channel_progress import (
    AcknowledgementsMayBeLost,
    TransmissionResumed,
    TransmissionSuspended,
)
from rainpick.decisions.retransmission import RetransmissionRequested
from rainpick.decisions.settings import UPDATE_INTERVAL_US
from tests.decisions.test_retransmission import LATENCY_US, LINES_PER_S, NAMES, Fleet
from tests.takeover.channel import ProxyTables

OWN_PROXIES, PROXIES = 20, 200
HEARD_PROXIES = 5  # of those that join while withdrawals are deferred
QUEUE_LIMIT = 8_000.0
BIND_LINES = 24  # at most, with tables of 12 servers and their heads
WITHDRAWN = NAMES[:12]  # in one message; with its head it takes 19 lines


class TakeoverFleet(Fleet):
    """Proxies of another director join at once, and are sent withdrawals before most of them are bound."""

    def __init__(self, servers_in_use):
        super().__init__(OWN_PROXIES, 0, [])
        self.run(2_000_000)
        for proxy in range(OWN_PROXIES, PROXIES):
            tables = ProxyTables(proxy % 2, 10.0)
            tables.weights = dict.fromkeys(servers_in_use, 1.0)
            self.channel.join(proxy, tables)
            self.messages[proxy] = deque()
            self.receive(model.ProxyJoined(proxy, False, 10.0, proxy % 2))
        self.run(2_010_000)

    def settings(self, proxies):
        self.queue_limit = QUEUE_LIMIT
        return super().settings(proxies) | {"proxies.pending_max": self.queue_limit}

    def withdraw(self, servers):
        """Write withdrawals to all proxies and pass them to the relay; return whether the limits allow it."""
        publisher, state = self.stepper.director.publisher, self.stepper.director.fleet
        publisher.commands = commands = []
        publisher.begin()
        withdrawals = [model.SetWithdrawn(server, True) for server in servers]
        groups = [*state.tables, *state.unbound_groups()]
        is_written = publisher.write(withdrawals, groups, len(withdrawals), publisher.quotas.rule)
        publisher.finish()
        if commands:
            self.calls.append((publisher.nonce, commands))
            self.send_calls()
        return is_written


@pytest.mark.parametrize("losses_assumed", [False, True])
def test_messages_that_unbound_proxies_never_get_do_not_hold_binds_back(losses_assumed):
    """Guards against lines that count until proxies acknowledge messages which they are not sent."""
    fleet = TakeoverFleet(servers_in_use=())
    if losses_assumed:
        fleet.receive(AcknowledgementsMayBeLost())
    assert fleet.stepper.director.channel().unbound > PROXIES / 2
    assert fleet.withdraw(WITHDRAWN)
    needed_us = PROXIES * BIND_LINES / LINES_PER_S * 1_000_000
    fleet.run(fleet.now + int(needed_us) + 2 * LATENCY_US + UPDATE_INTERVAL_US)
    assert fleet.stepper.director.channel().unbound == 0
    fleet.run(fleet.now + 4_000_000)
    state = fleet.stepper.director.channel()
    assert state.waiting == state.uncertain == 0


def test_the_limit_holds_if_all_unbound_proxies_get_the_messages():
    """Guards against uncertain lines that are left out of the limit, and a queue that overflows."""
    fleet = TakeoverFleet(servers_in_use=WITHDRAWN)
    written = 0
    for _ in range(20):
        written += fleet.withdraw(WITHDRAWN)
        fleet.run(fleet.now + 100_000)
    assert written > 1
    fleet.run(fleet.now + 8_000_000)
    assert fleet.queue_limit / 2 < fleet.channel.peak_waiting <= fleet.queue_limit
    assert fleet.stepper.director.channel().unbound == 0


def test_uncertain_lines_count_while_calls_do_not_reach_the_channel():
    """Guards against lines that stop counting before they are sent."""
    fleet = TakeoverFleet(servers_in_use=())
    assert fleet.withdraw(WITHDRAWN)
    uncertain = fleet.stepper.director.channel().uncertain
    assert uncertain > 0
    fleet.receive(TransmissionSuspended())
    fleet.unconfirmed = True
    fleet.run(fleet.now + 10_000_000)
    assert fleet.stepper.director.channel().uncertain >= uncertain
    fleet.receive(TransmissionResumed())
    fleet.run(fleet.now + 2_000)
    assert fleet.stepper.director.channel().uncertain >= uncertain
    fleet.unconfirmed = False
    fleet.run(fleet.now + 10_000_000)
    assert fleet.stepper.director.channel().uncertain == 0


def test_a_call_with_uncertain_lines_that_is_sent_again_awaits_no_acknowledgement_of_them():
    """Guards against lines that a retransmission counts as certain, though they were not before."""
    fleet = TakeoverFleet(servers_in_use=())
    assert fleet.withdraw(WITHDRAWN[:2])
    nonce, before = fleet.stepper.director.publisher.nonce, fleet.stepper.director.channel()
    bound_lines = sum(fleet.stepper.director.publisher.retransmission_costs((nonce,)).values())
    fleet.unconfirmed = True
    fleet.receive(RetransmissionRequested(nonce, (nonce,)))
    fleet.stepper.director.step(fleet.now + 1_000, fleet.stepper.pending_events)
    after = fleet.stepper.director.channel()
    assert after.uncertain == 2 * before.uncertain > 0
    assert after.waiting == before.waiting + bound_lines


def test_a_deferred_withdrawal_reaches_no_proxy_whose_join_is_not_heard_yet():
    """Guards against late withdrawals that are a message to each of these, of lines that nobody counts."""
    fleet = Fleet(PROXIES, 0, [])
    fleet.run(4_000_000)
    for name in NAMES[:6]:
        fleet.drain(name)
    fleet.run(fleet.now + 1_000)
    assert fleet.stepper.director.channel().drains > 0, "the window has no capacity for all withdrawals"
    while fleet.stepper.director.channel().drains:
        fleet.run(fleet.now + 1_000)
    joining = range(PROXIES, 2 * PROXIES)
    for proxy in joining:
        tables = ProxyTables(proxy % 2, 10.0)
        tables.weights = dict.fromkeys(NAMES, 1.0)
        fleet.channel.join(proxy, tables)
        fleet.messages[proxy] = deque()
    for proxy in joining[:HEARD_PROXIES]:
        fleet.receive(model.ProxyJoined(proxy, False, 10.0, proxy % 2))
    fleet.run(fleet.now + 2_000_000)
    assert all(proxy in fleet.channel.bound for proxy in joining[:HEARD_PROXIES])
    assert not any(fleet.messages[proxy] for proxy in joining[HEARD_PROXIES:])
