"""Calls and news against a stand-in of the relay that refuses, falls silent, breaks and writes nonsense."""

import contextlib
import threading

import pytest

from rainpick import model
from rainpick.node import commit_client, relay_subscription
from rainpick.node.commit_calls import MergedNonces, commit_call
from rainpick.node.commit_client import CommitClient
from rainpick.node.proxy_membership import StreamEvent, StreamOpened
from rainpick.node.relay_notifications import Ping
from rainpick.node.relay_subscription import RelaySubscription
from tests.node.platform import VOCABULARY, Relay, cleared
from tests.waiting import until


def sending(relay):
    made = CommitClient(relay.address, list(VOCABULARY.routes), lambda told: None)
    threading.Thread(target=made.run, daemon=True).start()
    return made


def step(*tables, mark=None):
    orders = [model.ClearTable(table) for table in tables]
    return commit_call(orders + ([model.RequestAcknowledgement(mark, False)] if mark is not None else []))


@pytest.mark.parametrize(
    "way,carried",
    [
        ("busy", [1, 2, 3]),  # not carried out: it is sent again
        ("dropped", [1, 2, 3]),
        ("lost", [1, 2, 3]),  # nobody knows: it was not, as it turns out
        # It was: twice, in its place.
        ("broken", [1, 1, 2, 3]),
        ("unheard", [1, 1, 2, 3]),
        ("spoilt", [1, 1, 2, 3]),
        ("half", [1, 1, 2, 3]),
        ("twice", [1, 2, 3]),
        ("strayed", [1, 2, 3]),  # it was, and what follows the answer is nobody's
    ],
)
def test_a_call_is_repeated_whole_before_anything_newer(relay, way, carried):
    relay.ways = [way]
    making = sending(relay)
    making.send(step(1))
    until(lambda: relay.lines, "the first try")
    for table in (2, 3):
        making.send(step(table))
    until(lambda: cleared(relay)[-1:] == [3], "the last order")
    assert cleared(relay) == carried


def test_an_order_refused_in_the_middle_is_left_out_and_the_rest_goes_on(relay):
    """A proxy may have left meanwhile; what follows must not be lost with it, nor the mark of either part."""
    relay.ways = [2]  # the mark and table 1 stand; table 2 is refused
    making = sending(relay)
    making.send(step(1, 2, 3, mark=7))
    until(lambda: cleared(relay)[-1:] == [3], "the rest")
    making.send(step(4))
    until(lambda: cleared(relay)[-1:] == [4], "the next call")
    assert cleared(relay) == [1, 3, 4]
    assert [order["stamp"] for order in relay.orders("mark")] == [7, 7] and making.counts["refused"] == 1


def test_a_call_that_is_always_refused_whole_does_not_block_the_rest(relay):
    relay.ways = ["syntax"] * commit_client.REJECTION_LIMIT
    making = sending(relay)
    making.send(step(1))
    until(lambda: not relay.ways, "the last refusal")
    making.send(step(2))
    until(lambda: cleared(relay) == [2], "the next call")


def test_the_relay_may_be_busy_for_as_long_as_it_likes(relay):
    relay.ways = ["busy"] * (3 * commit_client.REJECTION_LIMIT)
    making = sending(relay)
    making.send(step(1))
    until(lambda: cleared(relay) == [1], "the call")


def test_a_connection_closed_as_idle_is_seen_before_a_call_is_sent_into_it(relay):
    """Sent into a closed connection a call is in doubt, though it never arrived."""
    making = sending(relay)
    making.send(step(1))
    until(lambda: cleared(relay) == [1] and making.counts["calls"], "the first call")
    relay.drop()
    until(lambda: not relay.open, "the end")
    making.send(step(2))
    until(lambda: cleared(relay) == [1, 2], "the second call")
    assert making.counts["again"] == 0 and making.counts["dials"] == 2


def test_a_connection_without_calls_is_kept_from_being_closed_as_idle(relay, monkeypatch):
    """Dialling anew for a withdrawal costs it a round trip, and the relay may take no new connections."""
    monkeypatch.setattr(commit_client, "KEEP_ALIVE_S", 0.02)
    making = sending(relay)
    making.send(step(1))
    until(lambda: [orders for _, orders in relay.lines].count([]) >= 3, "calls without orders")
    assert making.counts["dials"] == 1 and cleared(relay) == [1]


def test_the_next_call_goes_to_the_new_address_and_none_is_lost(relay):
    other = Relay()
    making = sending(relay)
    making.send(step(1))
    until(lambda: cleared(relay) == [1], "the first call")
    making.set_address(other.address)
    making.send(step(2))
    until(lambda: cleared(other) == [2], "the second call")
    assert cleared(relay) == [1]
    other.close()


def test_calls_wait_while_the_relay_is_out_of_reach(relay):
    place = relay.address
    relay.close()
    told = []
    making = CommitClient(place, list(VOCABULARY.routes), told.append)
    making.send(step(1, mark=5))
    making.send(step(2, mark=6))
    threading.Thread(target=making.run, daemon=True).start()
    until(lambda: not making.reachable, "a vain try")
    other = Relay()
    making.set_address(other.address)
    until(lambda: cleared(other) == [1, 2], "both calls")
    assert len(other.lines) == 1 and told == [MergedNonces(6, (5,))], "as one"
    other.close()


@contextlib.contextmanager
def listening(relay):
    found = []
    news = RelaySubscription(relay.address, VOCABULARY, found.extend)
    threading.Thread(target=news.run, daemon=True).start()
    yield news, found


def turns(found):
    """Tuples of one number are equal whatever they are called: their names say which they are."""
    return [f"{type(one).__name__} {one.stream}" for one in found if type(one) is not StreamEvent]


def events(found, stream):
    return [
        one.event
        for one in found
        if type(one) is StreamEvent and one.stream == stream and type(one.event) is not Ping
    ]


def test_news_begin_with_who_is_joined(relay):
    relay.attach(1)
    with listening(relay) as (_, found):
        until(lambda: StreamEvent(1, Ping()) in found, "a heartbeat")
        assert type(found[0]) is StreamOpened
        relay.tell("detach", node=1)
        relay.tell("done", node=1, nonce=5, latency=2.5)
        relay.tell("done", node=99, nonce=5, latency=2.5)  # nobody: dropped
        relay.tell("detach", node=2)
        until(lambda: StreamEvent(1, model.ProxyLeft(2)) in found, "the last of them")
        assert events(found, 1) == [
            model.ProxyJoined(1, True, 10.0, 0),
            model.ProxyLeft(1),
            model.Acknowledged(1, 5, 2500),
            model.ProxyLeft(2),
        ]


def test_news_that_fall_silent_break_off_or_cannot_be_read_are_asked_for_anew(relay, monkeypatch):
    monkeypatch.setattr(relay_subscription, "SILENCE_TIMEOUT_S", 0.5)
    with listening(relay) as (news, found):
        until(lambda: StreamEvent(1, Ping()) in found, "a heartbeat")
        relay.silent = True
        until(lambda: news.streams == 2, "a second stream after silence")
        relay.silent = False
        relay.drop()
        until(lambda: news.streams == 3, "a third after a break")
        relay.readers[-1].sendall(b"\x00\x01nonsense\n")
        until(lambda: news.streams == 4, "a fourth after nonsense")
        assert turns(found) == [
            "StreamOpened 1",
            "StreamClosed 1",
            "StreamOpened 2",
            "StreamClosed 2",
            "StreamOpened 3",
            "StreamClosed 3",
            "StreamOpened 4",
        ]


def test_news_begin_at_a_new_address_before_they_end_at_the_old_one(relay):
    other = Relay()
    other.attach(2)
    with listening(relay) as (news, found):
        until(lambda: StreamEvent(1, Ping()) in found, "a heartbeat")
        news.set_address(other.address)
        until(lambda: events(found, 2) == [model.ProxyJoined(2, True, 10.0, 0)], "who is joined there")
        relay.tell("done", node=2, nonce=5, latency=2.5)
        until(lambda: events(found, 1) == [model.Acknowledged(2, 5, 2500)], "what the old address still says")
        relay.close()
        until(lambda: "StreamClosed 1" in turns(found), "its end")
        assert turns(found) == ["StreamOpened 1", "StreamOpened 2", "StreamClosed 1"] and news.streams == 2
    other.close()


def test_a_former_address_that_does_not_end_its_stream_is_left(relay, monkeypatch):
    monkeypatch.setattr(relay_subscription, "FORMER_STREAM_S", 0.3)
    other = Relay()
    with listening(relay) as (news, found):
        until(lambda: StreamEvent(1, Ping()) in found, "a heartbeat")
        news.set_address(other.address)
        until(lambda: "StreamClosed 1" in turns(found), "the end of the old one")
        assert news.streams == 2
    other.close()


def test_a_reader_of_news_that_cannot_be_started_is_tried_again(relay, monkeypatch):
    """It ended the thread that dials, and the whole director with it."""
    start, failures = threading.Thread.start, []

    def refused(thread):
        if thread.name == relay_subscription.THREAD_NAME and len(failures) < 3:
            failures.append(thread)
            raise RuntimeError("can't start new thread")
        start(thread)

    monkeypatch.setattr(threading.Thread, "start", refused)
    given = []
    subscription = RelaySubscription(relay.address, VOCABULARY, given.extend)
    threading.Thread(target=subscription.run, daemon=True).start()
    until(lambda: StreamOpened in map(type, given), "the news")
    assert len(failures) == 3
