"""Calls that the relay executes in parts: which messages are counted, and how many are acknowledged."""

import pytest

from rainpick import model
from rainpick.decisions.split_calls import NO_RECIPIENTS, BindRejected, CallSplit, recipients
from tests.decisions.test_retransmission import Fleet

PROXIES = 60  # two tables for each zone


def newest_reply(fleet):
    """Return the nonce of the newest reply, and the lines of its message to each proxy."""
    return next(reversed(fleet.stepper.director.publisher.reply_costs.by_nonce.items()))


def director_of(fleet):
    return fleet.stepper.director


def recipients_of(bound=(), tables=()):
    return NO_RECIPIENTS._replace(bound=frozenset(bound), tables=frozenset(tables))


@pytest.fixture
def binding_fleet():
    """A fleet whose director has just bound its first proxies, in tables that it set up in the same reply."""
    fleet = Fleet(PROXIES, 0, [])
    fleet.run(52_000)
    assert fleet.unacknowledged_lines() > 0
    return fleet


def test_proxies_bound_by_the_later_part_of_a_call_acknowledge_it_once(binding_fleet):
    """Guards against a second acknowledgement that never comes: the binds stayed counted."""
    nonce, costs = newest_reply(binding_fleet)
    first, *others = costs
    tables = [table.number for table in director_of(binding_fleet).fleet.tables]
    split = CallSplit(nonce, (nonce,), recipients_of([first], tables), recipients_of(others))
    binding_fleet.receive(split)
    before = binding_fleet.unacknowledged_lines()
    binding_fleet.step()
    assert binding_fleet.unacknowledged_lines() == before, "no proxy gets a second message"
    binding_fleet.run(6_000_000)
    assert binding_fleet.unacknowledged_lines() == 0


def test_proxies_of_a_table_that_both_parts_change_are_sent_two_messages():
    """Guards against a second message that no limit counts."""
    fleet = Fleet(PROXIES, 0, [])
    fleet.run(3_000_000)
    fleet.drain("s-0")
    fleet.run(3_002_000)
    nonce, costs = newest_reply(fleet)
    table = next(table for table in director_of(fleet).fleet.tables if costs.keys() >= table.proxies.keys())
    before, part = fleet.unacknowledged_lines(), recipients_of(tables=[table.number])
    fleet.receive(CallSplit(nonce, (nonce,), part, part))
    fleet.step()
    head_lines = director_of(fleet).publisher.head_lines
    assert fleet.unacknowledged_lines() == before + head_lines * len(table.proxies)
    fleet.run(4_000_000)
    assert fleet.unacknowledged_lines() == 0, "one acknowledgement is enough"


def test_a_proxy_that_rejoined_unnoticed_may_be_reached_in_its_former_table(binding_fleet):
    """Guards against a second message that no limit counts: the relay still has the proxy in its table."""
    fleet = binding_fleet
    fleet.run(3_000_000)
    director = director_of(fleet)
    former = director.fleet.proxies[5].table
    fleet.receive(model.ProxyJoined(5, False, 10.0, 1))
    fleet.run(3_002_000)
    nonce, costs = newest_reply(fleet)
    assert list(costs) == [5]
    before = fleet.unacknowledged_lines()
    fleet.receive(CallSplit(nonce, (nonce,), recipients_of(tables=[former]), recipients_of([5])))
    fleet.step()
    assert fleet.unacknowledged_lines() == before + director.publisher.head_lines
    fleet.run(4_000_000)
    assert fleet.unacknowledged_lines() == 0


def test_a_rejected_bind_is_not_counted(binding_fleet):
    """Guards against lines that stay counted until the notice arrives that the proxy has left."""
    nonce, costs = newest_reply(binding_fleet)
    proxy = next(iter(costs))
    before = binding_fleet.unacknowledged_lines()
    binding_fleet.receive(BindRejected((nonce,), proxy))
    binding_fleet.step()
    assert binding_fleet.unacknowledged_lines() == before - costs[proxy]


def test_parts_that_reach_different_proxies_do_not_overlap():
    weight, bind = model.SetWeight(1, "a", 1.0), [model.BindProxy(1, 0, number) for number in range(3)]
    withdrawal, admission = model.SetWithdrawn("a", True), model.SetAdmission(model.ALL_TABLES, 0, 1.0, 0)
    assert not recipients(bind[:1]).may_overlap(recipients(bind[1:]))
    assert recipients(bind[:2]).may_overlap(recipients(bind[1:]))
    assert not recipients([]).may_overlap(recipients([weight, withdrawal]))
    for command in (weight, withdrawal, admission):
        assert recipients([command]).may_overlap(recipients(bind))
        assert recipients(bind).may_overlap(recipients([command]))
