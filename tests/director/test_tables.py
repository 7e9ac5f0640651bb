"""Conversion of weights to 16 bits, and the lines that commands cause for each proxy."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rainpick import model
from rainpick.director.snapshots import REMOVED, WITHDRAWN, Scale
from rainpick.director.tables import Tables

A, B, C = (("127.0.0.1", port) for port in (1, 2, 3))


@given(st.floats(0.01, 16.0), st.sampled_from([16.0, 64.0, 65535.0]))
def test_conversion_error_stays_within_its_bound(weight, max_weight):
    """Guards against a positive weight that becomes 0, and an error above the documented bound."""
    scale = Scale(max_weight)
    converted = scale(weight)
    assert converted >= 1
    exact = weight * 65535 / max_weight
    if exact >= 1:
        assert abs(converted / exact - 1) <= scale.bound(weight) * (1 + 1e-9)


def test_slow_start_steps_stay_distinct_for_a_small_server():
    """Guards against slow start steps that become equal after the conversion to 16 bits."""
    scale = Scale(16.0)
    steps = [scale(0.1 * (0.16 + 0.84 * percent / 100)) for percent in range(101)]
    assert len(set(steps)) == 101 and steps == sorted(steps)


@pytest.fixture
def tables():
    tables = Tables(Scale(16.0), lambda server: 2.0)
    for server, weight in ((A, 1.0), (B, 2.0)):
        tables.apply(model.SetWeight(0, server, weight))
    return tables


def test_bind_sends_the_table_and_removes_earlier_servers(tables):
    """Guards against a bound proxy that keeps a server from before it joined."""
    tables.join(5, [A, C])
    assert tables.apply(model.BindProxy(0, 0, 5)) == {5: 3}
    lines = tables.advance(5).lines
    assert (lines[0].server, lines[0].weight, lines[0].flags) == (C, 0, REMOVED)
    assert {line.server for line in lines[1:]} == {A, B}
    assert tables.advance(5).lines == ()


def test_withdrawal_affects_only_proxies_that_hold_the_server(tables):
    """Guards against a withdrawal that misses an unbound holder, or is sent to other proxies."""
    for number, initial_servers in ((1, [A]), (2, [B]), (3, [])):
        tables.join(number, initial_servers)
    tables.apply(model.BindProxy(0, 0, 3))
    assert tables.apply(model.SetWithdrawn(A, True)) == {3: 1, 1: 1}
    assert [(line.server, line.weight, line.flags) for line in tables.advance(1).lines] == [(A, 0, WITHDRAWN)]
    assert tables.advance(2).lines == ()
    assert tables.apply(model.SetWithdrawn(A, False)) == {3: 1, 1: 1}
    assert [(line.server, line.weight) for line in tables.advance(1).lines] == [(A, Scale(16.0)(2.0))]


def test_reverted_changes_are_not_sent(tables):
    """Guards against sending intermediate weights of a server that has its old weight again."""
    tables.join(1, [])
    tables.apply(model.BindProxy(0, 0, 1))
    tables.advance(1)
    for weight in (3.0, 4.0, 1.0):
        tables.apply(model.SetWeight(0, A, weight))
    assert tables.advance(1).lines == ()


def test_proxies_of_a_table_share_one_delta(tables):
    """Guards against computing the same delta once for each proxy of a table."""
    for number in (1, 2):
        tables.join(number, [])
        tables.apply(model.BindProxy(0, 0, number))
        tables.advance(number)
    tables.apply(model.SetWeight(0, A, 5.0))
    assert tables.advance(1) is tables.advance(2)


def test_further_initial_servers_of_a_bound_proxy_are_removed(tables):
    """Guards against a bound proxy that keeps servers which it reports after its binding."""
    tables.join(1, [])
    tables.apply(model.BindProxy(0, 0, 1))
    tables.advance(1)
    assert tables.extend(1, [A, C]) == 1
    assert [(line.server, line.weight) for line in tables.advance(1).lines] == [(C, 0)]


def test_commands_do_not_affect_a_proxy_that_left(tables):
    """Guards against messages to a proxy that left."""
    tables.join(1, [A])
    tables.apply(model.BindProxy(0, 0, 1))
    tables.leave(1)
    assert tables.apply(model.SetWeight(0, A, 3.0)) == {} and tables.apply(model.SetWithdrawn(A, True)) == {}
    assert tables.apply(model.BindProxy(0, 0, 1)) == {}
