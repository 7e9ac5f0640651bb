"""Calls without an answer, in virtual time: the queue and the cap on messages hold as the relay sees them."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.decisions.proxies import ProxyGroup, ProxyState, SentMessage
from rainpick.decisions.retransmission import RetransmissionRequested, Retransmit
from rainpick.decisions.split_calls import NO_RECIPIENTS, CallSplit
from rainpick.director.stepper import Stepper
from tests.takeover.channel import Channel, ProxyTables

SERVERS, ZONES = 18, 2
LATENCY_US = 179_000
LINES_PER_S, QUEUE_S = 2_500, 2
WINDOW_US = 10_000_000
PAUSE_US, PAUSE_LIMIT_US = 160_000, 640_000  # the client's pauses while the relay answers no call
NAMES = [f"s-{number}" for number in range(SERVERS)]


@dataclass(frozen=True)
class Spell:
    """A time during which calls get no answer, and whether they are executed."""

    begin_us: int
    end_us: int
    executed: bool
    empty_calls_answered: bool  # the client then asks again and again


class Fleet:
    """A director, its relay and its proxies; the client sends one call at a time, in order."""

    def __init__(self, proxies: int, cap: int, spells: list[Spell]):
        self.spells, self.cap, self.now = spells, cap, 0
        self.queue_limit = float(LINES_PER_S * QUEUE_S)
        self.channel = Channel(LINES_PER_S, 6, LATENCY_US)
        self.stepper = Stepper(7, self.settings(proxies), Director)
        self.endpoints = {
            name: model.Endpoint(1.0, number % ZONES, 0, 0, 0, name, model.EndpointState.READY)
            for number, name in enumerate(NAMES)
        }
        self.scheduled, self.numbers = [], count()
        self.calls = deque()  # nonce, the nonces it covers, and commands of each call not confirmed
        self.unconfirmed = False  # whether the first call waits to be sent again
        self.messages = {}  # by proxy, the times at which messages to it were written
        self.covered = {}  # by nonce, the nonces that its acknowledgement covers as well
        self.transmissions = 0
        self.pause_us = PAUSE_US  # until the next transmission if the relay answers no call
        self.unconfirmed_us = 0
        self.receive(model.EndpointUpdate(model.UpdateKind.CACHED, tuple(self.endpoints.values()), 0))
        for proxy in range(proxies):
            self.schedule(50_000, lambda proxy=proxy: self.join(proxy))

    def settings(self, proxies: int) -> dict:
        return {
            "zone": 0,
            "routes.count": 1,
            "routes.0.slo_time_us": 500_000,
            "proxies.proxy_count": proxies,
            "proxies.pending_max": self.queue_limit,
            "proxies.lines_per_s": float(LINES_PER_S),
            "proxies.head": 6,
            "proxies.default_size": 5,
            "proxies.late_us": LATENCY_US,
            "proxies.pushes_allowed": self.cap,
            "proxies.counted_over_us": WINDOW_US,
            "rules.drain_grace_us": 2_700_000,
            "rules.warm_after_us": 12_000_000,
        }

    # Events

    def schedule(self, delay_us: int, action) -> None:
        heappush(self.scheduled, (self.now + delay_us, next(self.numbers), action))

    def receive(self, *events) -> None:
        self.stepper.pending_events += events
        self.schedule(1_000, self.step)

    def join(self, proxy: int) -> None:
        tables = ProxyTables(proxy % ZONES, 10.0)
        tables.weights = dict.fromkeys(NAMES[proxy % ZONES :: ZONES][:5], 1.0)
        self.channel.join(proxy, tables)
        self.messages[proxy] = deque()
        self.receive(model.ProxyJoined(proxy, True, 10.0, proxy % ZONES))

    def drain(self, name: str) -> None:
        self.endpoints[name] = self.endpoints[name]._replace(state=model.EndpointState.DRAINING)
        self.receive(model.EndpointUpdate(model.UpdateKind.DELTA, (self.endpoints[name],), 1))

    def run(self, end_us: int) -> None:
        while self.scheduled and self.scheduled[0][0] <= end_us:
            self.now, _, action = heappop(self.scheduled)
            action()
        self.now = end_us

    def step(self) -> None:
        self.stepper.fire_timers(self.now)
        if not self.stepper.pending_events:
            return
        commands = self.stepper.step(self.now)
        for command in commands:
            if type(command) is Retransmit:
                self.retransmit(command)
        commands = [command for command in commands if type(command) is not Retransmit]
        nonces = [command.nonce for command in commands if type(command) is model.RequestAcknowledgement]
        if commands:
            self.calls.append((nonces[0] if nonces else None, commands))
        self.send_calls()
        if (due := self.stepper.due_us()) is not None:
            self.schedule(max(1, due - self.now), self.step)

    # The client and the relay

    def spell(self) -> Spell | None:
        return next((spell for spell in self.spells if spell.begin_us <= self.now < spell.end_us), None)

    def send_calls(self) -> None:
        while self.calls and not self.unconfirmed:
            nonce, commands = self.calls[0]
            spell = self.spell()
            if spell is None or spell.executed:
                self.execute(nonce, commands)
            if spell is None:
                self.calls.popleft()
                self.pause_us = PAUSE_US
            else:
                self.unconfirmed, self.unconfirmed_us = True, self.now
                self.schedule(20_000, self.request_retransmission)

    def request_retransmission(self) -> None:
        spell = self.spell()
        nonce, _ = self.calls[0]
        is_early = self.now < self.unconfirmed_us + self.pause_us
        if spell is not None and not spell.empty_calls_answered and is_early:
            self.schedule(20_000, self.request_retransmission)
        elif nonce is None:
            self.unconfirmed = False
            self.send_calls()
        else:
            self.receive(RetransmissionRequested(nonce, (*self.covered.get(nonce, ()), nonce)))

    def retransmit(self, command: Retransmit) -> None:
        nonce, commands = self.calls[0]
        assert nonce == command.previous_nonce and self.unconfirmed
        self.covered[command.nonce] = (*self.covered.get(nonce, ()), nonce)
        self.calls[0] = command.nonce, commands
        self.unconfirmed = False
        self.transmissions += 1
        self.pause_us = min(PAUSE_LIMIT_US, 2 * self.pause_us)

    def execute(self, nonce: int | None, commands: list) -> None:
        sent = [command for command in commands if type(command) is not model.RequestAcknowledgement]
        requests = [model.RequestAcknowledgement(nonce, False)] if nonce is not None else []
        for applied_us, message in self.channel.write(self.now, [*requests, *sent]):
            self.schedule(int(applied_us) - self.now, lambda message=message: self.apply(message))
            self.count_message(message.proxy)
        assert self.channel.waiting(self.now) <= self.queue_limit

    def count_message(self, proxy: int) -> None:
        times_us = self.messages[proxy]
        times_us.append(self.now)
        while times_us[0] <= self.now - WINDOW_US:
            times_us.popleft()
        assert not self.cap or len(times_us) <= self.cap

    def apply(self, message) -> None:
        for change in message.changes:
            change(self.channel.joined[message.proxy])
        if message.nonce is not None:
            nonces = (*self.covered.get(message.nonce, ()), message.nonce)
            self.receive(*(model.Acknowledged(message.proxy, nonce, LATENCY_US) for nonce in nonces))

    # Checks

    def users(self, name: str) -> int:
        """Return the number of proxies that may use a server."""
        return sum(tables.can_use(name) for tables in self.channel.joined.values())

    def unacknowledged_lines(self) -> int:
        return self.stepper.director.channel().waiting


def drawn_spells(draw: random.Random) -> list[Spell]:
    """Return one to three spells of up to 6 s, one after another."""
    spells, begin_us = [], 2_000_000
    for _ in range(draw.randrange(1, 4)):
        begin_us += draw.randrange(3_000_000)
        end_us = begin_us + draw.choice((1_000, 100_000, 1_000_000, 6_000_000))
        spells.append(Spell(begin_us, end_us, draw.random() < 0.6, draw.random() < 0.4))
        begin_us = end_us
    return spells


@given(st.integers(0, 2**32), st.sampled_from((8, 16, 60)), st.sampled_from((0, 4, 12)))
@hypothesis_settings(max_examples=40, deadline=None, derandomize=True)
def test_unanswered_calls_keep_the_queue_and_the_cap_on_messages(seed, proxies, cap):
    """Guards against repetitions that no limit was asked for; each write to the channel is checked.

    In the end every drain has reached all proxies, and no line is still counted.
    """
    draw = random.Random(seed)
    spells = drawn_spells(draw)
    fleet = Fleet(proxies, cap, spells)
    drained = draw.sample(NAMES, 4)
    for name in drained:
        fleet.schedule(2_000_000 + draw.randrange(8_000_000), lambda name=name: fleet.drain(name))
    fleet.run(spells[-1].end_us + 40_000_000)
    assert [fleet.users(name) for name in drained] == [0] * len(drained)
    assert not fleet.calls and fleet.unacknowledged_lines() == 0


def test_calls_executed_while_only_empty_calls_are_answered_keep_the_queue_limit():
    """Guards against repetitions that fill the channel although each was asked for and allowed."""
    spell = Spell(4_900_000, 9_000_000, executed=True, empty_calls_answered=True)
    fleet = Fleet(60, 0, [spell])
    fleet.schedule(5_000_000, lambda: fleet.drain(NAMES[0]))
    fleet.run(5_500_000)
    assert fleet.channel.peak_waiting > 0.8 * fleet.queue_limit, (
        "the limit is what holds the repetitions back"
    )
    fleet.run(20_000_000)
    assert fleet.transmissions < 4_100 / 20
    assert fleet.users(NAMES[0]) == 0 and fleet.unacknowledged_lines() == 0


def test_a_lost_call_that_exceeds_the_free_part_of_the_queue_is_sent_again_in_the_end():
    """Guards against a call that is held back forever by the lines of its own lost transmissions."""
    fleet = Fleet(8, 0, [])
    fleet.run(3_000_000)
    nonce = next(reversed(fleet.stepper.director.publisher.reply_costs.by_nonce))
    fleet.calls.append((nonce, []))
    fleet.unconfirmed = True
    fleet.receive(RetransmissionRequested(nonce, (nonce,) * 200))
    fleet.run(4_500_000)
    assert not fleet.transmissions, "the queue has no room for it"
    fleet.run(3_000_000 + QUEUE_S * 1_000_000 + 2 * LATENCY_US + 300_000)
    assert fleet.transmissions == 1


def test_a_call_that_was_merged_from_many_replies_counts_all_of_them():
    """Guards against counting only the newest replies: in a long outage each join is a reply of its own."""
    fleet = Fleet(0, 0, [Spell(0, 60_000_000, executed=False, empty_calls_answered=False)])
    fleet.pause_us = 60_000_000  # the first call is not repeated
    for proxy in range(100):
        fleet.schedule(100_000 * (proxy + 1), lambda proxy=proxy: fleet.join(proxy))
    fleet.run(12_000_000)
    publisher = fleet.stepper.director.publisher
    replies = tuple(publisher.reply_costs.by_nonce)
    assert len(replies) > 64
    assert sum(publisher.retransmission_costs(replies).values()) == fleet.unacknowledged_lines()


def test_a_call_that_sets_up_tables_and_binds_proxies_takes_more_lines_when_it_is_executed_again():
    """Guards against a queue that overflows: the proxies are in their tables by the second execution."""
    fleet = Fleet(60, 0, [Spell(0, 1_500_000, executed=True, empty_calls_answered=True)])
    fleet.run(1_400_000)
    assert fleet.transmissions >= 1
    waiting = fleet.stepper.director.channel().waiting
    assert waiting >= fleet.channel.waiting(fleet.now) > 0


@pytest.mark.parametrize("cap", [1, 2, 3])
def test_a_small_cap_on_messages_holds_and_lets_each_drain_through(cap):
    """Guards against a cap of two that never refills, so that no proxy got a second message."""
    fleet = Fleet(8, cap, [])
    for number, name in enumerate(NAMES[:3]):
        fleet.schedule(2_000_000 + number * 9_000_000, lambda name=name: fleet.drain(name))
    fleet.run(60_000_000)
    assert [fleet.users(name) for name in NAMES[:3]] == [0, 0, 0]


class SplittingRelay(Fleet):
    """Executes each call in two parts, which are a message each to every proxy that the call concerns."""

    def execute(self, nonce: int | None, commands: list) -> None:
        super().execute(nonce, commands)
        reached = [
            proxy for proxy, times_us in self.messages.items() if times_us and times_us[-1] == self.now
        ]
        for proxy in reached:
            self.count_message(proxy)
        if reached:
            any_proxy = NO_RECIPIENTS._replace(any_proxy=True)
            self.receive(CallSplit(nonce, (nonce,), any_proxy, any_proxy))


def test_calls_that_are_executed_in_two_parts_keep_the_cap_on_messages():
    """Guards against a second message for one call that the cap does not count."""
    fleet = SplittingRelay(8, 12, [])
    for number, name in enumerate(NAMES[:9]):
        fleet.schedule(2_000_000 + number * 400_000, lambda name=name: fleet.drain(name))
    fleet.run(40_000_000)
    assert [fleet.users(name) for name in NAMES[:9]] == [0] * 9
    assert fleet.unacknowledged_lines() == 0


def test_the_first_of_two_parts_acknowledges_no_lines_of_the_second():
    """Guards against taking the lines of the second part for transmitted while they wait in the channel."""
    fleet = Fleet(8, 0, [])
    fleet.run(52_000)
    nonce = next(reversed(fleet.stepper.director.publisher.reply_costs.by_nonce))
    both = NO_RECIPIENTS._replace(bound=frozenset({3}))
    fleet.receive(CallSplit(nonce, (nonce,), both, both))
    fleet.run(1_000_000)
    bound = fleet.stepper.director.publisher.reply_costs.by_nonce[nonce][3]
    assert fleet.unacknowledged_lines() >= bound, "proxy 3 has acknowledged the first part only"
    fleet.receive(model.Acknowledged(3, nonce, LATENCY_US))
    fleet.run(1_100_000)
    assert fleet.unacknowledged_lines() == 0


def test_a_retransmission_is_acknowledged_before_newer_messages():
    """Guards against taking newer messages, still in the channel, for acknowledged ones."""
    event = model.ProxyJoined(1, True, 1.0, 0)
    proxy = ProxyState(event, 0, ProxyGroup())
    proxy.unacknowledged.extend((SentMessage(8, 5), SentMessage(9, 7)))
    proxy.insert_message(8, SentMessage(20, 5))
    assert [message.nonce for message in proxy.unacknowledged] == [8, 20, 9]
    proxy.insert_message(7, SentMessage(21, 5))
    assert [message.nonce for message in proxy.unacknowledged] == [21, 8, 20, 9]


def test_calls_lost_while_empty_calls_are_answered_do_not_hold_a_later_drain_back():
    """Guards against a count of messages that were never executed: it delayed a drain by over 12 s."""
    spell = Spell(4_900_000, 7_000_000, executed=False, empty_calls_answered=True)
    fleet = Fleet(8, 12, [spell])
    fleet.schedule(5_000_000, lambda: fleet.drain(NAMES[0]))
    fleet.schedule(13_000_000, lambda: fleet.drain(NAMES[1]))
    fleet.run(13_000_000 + 2_000_000)
    assert fleet.transmissions >= 2, "the relay answered no call of the spell"
    assert fleet.users(NAMES[0]) == fleet.users(NAMES[1]) == 0


def test_the_nonces_of_retransmissions_are_counted_no_longer_than_they_can_be_in_the_channel():
    """Guards against lines that stay counted because the retransmission did not reach a proxy."""
    fleet = Fleet(8, 0, [])
    fleet.run(3_000_000)
    publisher = fleet.stepper.director.publisher
    nonce = next(reversed(publisher.reply_costs.by_nonce))
    fleet.receive(RetransmissionRequested(nonce, (nonce,)))
    fleet.calls.append((nonce, []))  # without commands it reaches no proxy
    fleet.unconfirmed = True
    fleet.run(3_100_000)
    assert fleet.unacknowledged_lines() > 0
    fleet.run(3_000_000 + QUEUE_S * 1_000_000 + 2 * LATENCY_US + 300_000)
    assert fleet.unacknowledged_lines() == 0
