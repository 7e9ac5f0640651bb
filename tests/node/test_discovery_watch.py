"""Following discovery against a stub of it."""

import time

import pytest

from rainpick import model
from rainpick.http1.messages import Response
from rainpick.node import discovery_watch
from tests.node.platform_stubs import StubDiscovery, endpoint_states, entry, start_watch
from tests.waiting import until


def test_the_full_list_then_changes(discovery):
    _, answers = start_watch(discovery)
    until(lambda: answers, "the list")
    discovery.change(entry(1, "Terminating"))
    until(lambda: len(answers) == 2, "the change")
    discovery.change(entry(1, "Gone"), entry(3, started_ms=5))
    until(lambda: len(answers) == 3, "the next")
    assert [answer.full for answer in answers] == [True, False, False]
    assert endpoint_states(answers) == [
        {"s-0001": model.EndpointState.READY, "s-0002": model.EndpointState.READY},
        {"s-0001": model.EndpointState.DRAINING},
        {"s-0001": model.EndpointState.GONE, "s-0003": model.EndpointState.READY},
    ]


def test_the_next_poll_follows_at_once_and_an_unchanged_list_is_not_published(discovery, monkeypatch):
    """Within 200 ms, or what changes meanwhile counts as told and the next poll begins anew."""
    monkeypatch.setattr(discovery_watch, "HOLD_MS", 50)
    watch, answers = start_watch(discovery)
    begin_s = time.monotonic()
    until(lambda: watch.answers == 11, "ten polls")
    assert time.monotonic() - begin_s < 10 * 0.2 and len(answers) == 1


@pytest.mark.parametrize(
    "unusable",
    [
        Response(503, b""),
        Response(200, b"{"),
        Response(200, b"[]"),
        Response(200, b'{"generation":"x"}'),
        Response(200, b'{"generation":1,"reset":true,"instances":' + b"[" * 50_000),
    ],
)
def test_an_unusable_answer_is_requested_again(discovery, unusable):
    discovery.forced_answers = [unusable, unusable]
    watch, answers = start_watch(discovery)
    until(lambda: answers, "the list")
    assert watch.failures == 2 and len(endpoint_states(answers)[0]) == 2


def test_a_silent_poll_times_out_a_little_after_the_hold(discovery, monkeypatch):
    """A discovery that is cut off is silent for good: the poll must not wait for it."""
    monkeypatch.setattr(discovery_watch, "HOLD_MS", 100)
    monkeypatch.setattr(discovery_watch, "SLACK_S", 0.2)
    watch, answers = start_watch(discovery)
    until(lambda: answers, "the list")
    with discovery.changed:  # nobody gets an answer meanwhile
        until(lambda: watch.failures, "the end of the wait")
    discovery.change(entry(1, "Terminating"))
    until(lambda: len(answers) == 2, "what changed")


def test_a_change_of_address_interrupts_a_poll(discovery, monkeypatch):
    monkeypatch.setattr(discovery_watch, "HOLD_MS", 60_000)
    other = StubDiscovery(entry(1), entry(2))
    other.change(entry(2, "Terminating"))
    watch, answers = start_watch(discovery)
    until(lambda: answers and len(discovery.requests) == 2, "a poll that is held")
    watch.set_address(other.address)
    until(lambda: len(answers) == 2, "the list there")
    assert answers[1].full and watch.failures == 1
    assert endpoint_states(answers)[1] == {
        "s-0001": model.EndpointState.READY,
        "s-0002": model.EndpointState.DRAINING,
    }
    other.close()
