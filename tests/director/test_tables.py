"""Sixteen bits for a weight: no live line is lost, ratios hold within a stated bound."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rainpick import model
from rainpick.director.snapshots import REMOVED, WITHDRAWN, Scale
from rainpick.director.tables import Tables

A, B, C = (("127.0.0.1", port) for port in (1, 2, 3))


@given(st.floats(0.01, 16.0), st.sampled_from([16.0, 64.0, 65535.0]))
def test_the_error_stays_within_its_bound(weight, most):
    scale = Scale(most)
    got = scale(weight)
    assert got >= 1
    exact = weight * 65535 / most
    if exact >= 1:
        assert abs(got / exact - 1) <= scale.bound(weight) * (1 + 1e-9)


def test_the_steps_of_a_slow_start_stay_distinct_at_the_least_capacity():
    scale = Scale(16.0)
    steps = [scale(0.1 * (0.16 + 0.84 * part / 100)) for part in range(101)]
    assert len(set(steps)) == 101 and steps == sorted(steps)


@pytest.fixture
def tables():
    made = Tables(Scale(16.0), lambda server: 2.0)
    for server, weight in ((A, 1.0), (B, 2.0)):
        made.carry_out(model.SetWeight(0, server, weight))
    return made


def test_a_bind_costs_its_table_and_removes_what_was_held(tables):
    tables.join(5, [A, C])
    assert tables.carry_out(model.BindProxy(0, 0, 5)) == {5: 3}
    lines = tables.advance(5).lines
    assert (lines[0].server, lines[0].weight, lines[0].flags) == (C, 0, REMOVED)
    assert {line.server for line in lines[1:]} == {A, B}
    assert tables.advance(5).lines == ()


def test_a_withdrawal_concerns_bound_and_unbound_holders_only(tables):
    for number, standing in ((1, [A]), (2, [B]), (3, [])):
        tables.join(number, standing)
    tables.carry_out(model.BindProxy(0, 0, 3))
    assert tables.carry_out(model.SetWithdrawn(A, True)) == {3: 1, 1: 1}
    assert [(line.server, line.weight, line.flags) for line in tables.advance(1).lines] == [(A, 0, WITHDRAWN)]
    assert tables.advance(2).lines == ()
    assert tables.carry_out(model.SetWithdrawn(A, False)) == {3: 1, 1: 1}
    assert [(line.server, line.weight) for line in tables.advance(1).lines] == [(A, Scale(16.0)(2.0))]


def test_a_proxy_is_sent_the_newest_state_only(tables):
    tables.join(1, [])
    tables.carry_out(model.BindProxy(0, 0, 1))
    tables.advance(1)
    for weight in (3.0, 4.0, 1.0):
        tables.carry_out(model.SetWeight(0, A, weight))
    assert tables.advance(1).lines == ()


def test_proxies_of_a_table_share_one_delta(tables):
    for number in (1, 2):
        tables.join(number, [])
        tables.carry_out(model.BindProxy(0, 0, number))
        tables.advance(number)
    tables.carry_out(model.SetWeight(0, A, 5.0))
    assert tables.advance(1) is tables.advance(2)


def test_further_initial_servers_of_a_bound_proxy_are_removed(tables):
    tables.join(1, [])
    tables.carry_out(model.BindProxy(0, 0, 1))
    tables.advance(1)
    assert tables.extend(1, [A, C]) == 1
    assert [(line.server, line.weight) for line in tables.advance(1).lines] == [(C, 0)]


def test_a_proxy_that_left_is_concerned_by_no_order(tables):
    tables.join(1, [A])
    tables.carry_out(model.BindProxy(0, 0, 1))
    tables.leave(1)
    assert (
        tables.carry_out(model.SetWeight(0, A, 3.0)) == {}
        and tables.carry_out(model.SetWithdrawn(A, True)) == {}
    )
    assert tables.carry_out(model.BindProxy(0, 0, 1)) == {}
