"""The discovery watch with a stub of discovery."""

import json
import time

import pytest

from rainpick import model
from rainpick.http1.messages import Response
from rainpick.node import discovery_watch
from tests.node.platform_stubs import StubDiscovery, endpoint_states, entry, start_watch
from tests.waiting import wait_until


def test_the_full_list_is_published_first_and_then_changes(discovery):
    _, responses = start_watch(discovery)
    wait_until(lambda: responses, "the list")
    discovery.change(entry(1, "Terminating"))
    wait_until(lambda: len(responses) == 2, "the first change")
    discovery.change(entry(1, "Gone"), entry(3, started_ms=5))
    wait_until(lambda: len(responses) == 3, "the second change")
    assert [response.full for response in responses] == [True, False, False]
    assert endpoint_states(responses) == [
        {"s-0001": model.EndpointState.READY, "s-0002": model.EndpointState.READY},
        {"s-0001": model.EndpointState.DRAINING},
        {"s-0001": model.EndpointState.GONE, "s-0003": model.EndpointState.READY},
    ]


def test_the_next_poll_follows_at_once_and_an_unchanged_list_is_not_published(discovery, monkeypatch):
    """Guards against more than 200 ms between two polls.

    The platform would count changes made meanwhile as delivered, and the next poll as the start of a new
    watch.
    """
    monkeypatch.setattr(discovery_watch, "HOLD_MS", 50)
    watch, responses = start_watch(discovery)
    begin_s = time.monotonic()
    wait_until(lambda: watch.responses == 11, "ten polls")
    assert time.monotonic() - begin_s < 10 * 0.2 and len(responses) == 1


@pytest.mark.parametrize("full", [False, True])
def test_polls_that_are_answered_at_once_without_news_are_repeated_with_a_pause(discovery, full):
    """Guards against polling as fast as discovery answers, which leaves the director no time."""
    unchanged = json.dumps({"generation": 1, "reset": full, "instances": []}).encode()
    watch, responses = start_watch(discovery)
    wait_until(lambda: responses, "the list")
    # If the first poll has not arrived yet, the first of these responses is the news instead of the change.
    discovery.forced_responses = [Response(200, unchanged)] * 12
    begin_s = time.monotonic()
    discovery.change(entry(1, "Terminating"))
    wait_until(lambda: not discovery.forced_responses, "the polls without news")
    assert time.monotonic() - begin_s >= 10 * discovery_watch.EARLY_RESPONSE_PAUSE_S
    discovery.change(entry(2, "Terminating"))
    wait_until(lambda: endpoint_states(responses)[-1] == {"s-0002": model.EndpointState.DRAINING}, "the news")
    assert watch.failures == 0


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
def test_a_request_is_repeated_after_an_unusable_response(discovery, unusable):
    discovery.forced_responses = [unusable, unusable]
    watch, responses = start_watch(discovery)
    wait_until(lambda: responses, "the list")
    assert watch.failures == 2 and len(endpoint_states(responses)[0]) == 2


def test_a_silent_poll_times_out_a_little_after_the_hold(discovery, monkeypatch):
    """Guards against a poll that waits forever for a discovery that has become unreachable."""
    monkeypatch.setattr(discovery_watch, "HOLD_MS", 100)
    monkeypatch.setattr(discovery_watch, "POLL_TIMEOUT_MARGIN_S", 0.2)
    watch, responses = start_watch(discovery)
    wait_until(lambda: responses, "the list")
    with discovery.changed:  # blocks all responses
        wait_until(lambda: watch.failures, "the timeout of the poll")
    discovery.change(entry(1, "Terminating"))
    wait_until(lambda: len(responses) == 2, "the change")


def test_a_change_of_address_interrupts_a_poll(discovery, monkeypatch):
    monkeypatch.setattr(discovery_watch, "HOLD_MS", 60_000)
    other = StubDiscovery(entry(1), entry(2))
    other.change(entry(2, "Terminating"))
    watch, responses = start_watch(discovery)
    wait_until(lambda: responses and len(discovery.requests) == 2, "a held poll")
    watch.set_address(other.address)
    wait_until(lambda: len(responses) == 2, "the list at the new address")
    assert responses[1].full and watch.failures == 1
    assert endpoint_states(responses)[1] == {
        "s-0001": model.EndpointState.READY,
        "s-0002": model.EndpointState.DRAINING,
    }
    other.close()
