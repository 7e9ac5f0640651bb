"""Following discovery against a stand-in of it."""

import time

import pytest

from rainpick import model
from rainpick.http1.server import Answer
from rainpick.node import discovery_watch
from tests.node.platform import Discovery, entry, following, states
from tests.waiting import until


def test_the_whole_list_then_changes(discovery):
    _, found = following(discovery)
    until(lambda: found, "the list")
    discovery.change(entry(1, "Terminating"))
    until(lambda: len(found) == 2, "the change")
    discovery.change(entry(1, "Gone"), entry(3, started_ms=5))
    until(lambda: len(found) == 3, "the next")
    assert [news.full for news in found] == [True, False, False]
    assert states(found) == [
        {"s-0001": model.EndpointState.READY, "s-0002": model.EndpointState.READY},
        {"s-0001": model.EndpointState.DRAINING},
        {"s-0001": model.EndpointState.GONE, "s-0003": model.EndpointState.READY},
    ]


def test_a_watch_is_armed_again_at_once_and_tells_nothing_twice(discovery, monkeypatch):
    """Within 200 ms, or what changes meanwhile counts as told and the next one begins anew."""
    monkeypatch.setattr(discovery_watch, "HOLD_MS", 50)
    watch, found = following(discovery)
    begin = time.monotonic()
    until(lambda: watch.answers == 11, "ten watches")
    assert time.monotonic() - begin < 10 * 0.2 and len(found) == 1


@pytest.mark.parametrize(
    "odd",
    [
        Answer(503, b""),
        Answer(200, b"{"),
        Answer(200, b"[]"),
        Answer(200, b'{"generation":"x"}'),
        Answer(200, b'{"generation":1,"reset":true,"instances":' + b"[" * 50_000),
    ],
)
def test_an_answer_that_cannot_be_used_is_asked_for_again(discovery, odd):
    discovery.odd = [odd, odd]
    watch, found = following(discovery)
    until(lambda: found, "the list")
    assert watch.failures == 2 and len(states(found)[0]) == 2


def test_silence_is_ended_a_little_after_the_hold(discovery, monkeypatch):
    """A discovery that is cut off is silent for good: the watch must not wait for it."""
    monkeypatch.setattr(discovery_watch, "HOLD_MS", 100)
    monkeypatch.setattr(discovery_watch, "SLACK_S", 0.2)
    watch, found = following(discovery)
    until(lambda: found, "the list")
    with discovery.changed:  # nobody gets an answer meanwhile
        until(lambda: watch.failures, "the end of the wait")
    discovery.change(entry(1, "Terminating"))
    until(lambda: len(found) == 2, "what changed")


def test_another_address_is_taken_up_in_the_middle_of_a_watch(discovery, monkeypatch):
    monkeypatch.setattr(discovery_watch, "HOLD_MS", 60_000)
    other = Discovery(entry(1), entry(2))
    other.change(entry(2, "Terminating"))
    watch, found = following(discovery)
    until(lambda: found and len(discovery.asked) == 2, "a watch that waits")
    watch.set_address(other.address)
    until(lambda: len(found) == 2, "the list there")
    assert found[1].full and watch.failures == 1
    assert states(found)[1] == {"s-0001": model.EndpointState.READY, "s-0002": model.EndpointState.DRAINING}
    other.close()
