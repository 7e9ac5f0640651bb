"""The relay subscription with a stub relay that stays silent, disconnects or sends garbage."""

import contextlib
import threading

from rainpick import model
from rainpick.node import relay_subscription
from rainpick.node.proxy_membership import StreamClosed, StreamEvent, StreamOpened
from rainpick.node.relay_notifications import Ping
from rainpick.node.relay_subscription import RelaySubscription
from tests.node.platform_stubs import VOCABULARY
from tests.node.stub_relay import StubRelay
from tests.waiting import wait_until


@contextlib.contextmanager
def subscribed(relay):
    """Run a subscription; yield it and the list to which it appends its notifications."""
    notifications = []
    subscription = RelaySubscription(relay.address, VOCABULARY, notifications.extend)
    threading.Thread(target=subscription.run, daemon=True).start()
    yield subscription, notifications


def stream_changes(notifications):
    """Return the type and stream of each ``StreamOpened`` and ``StreamClosed``.

    Comparing the types is necessary because named tuples with equal fields are equal.
    """
    return [
        (type(notification), notification.stream)
        for notification in notifications
        if type(notification) is not StreamEvent
    ]


def events(notifications, stream):
    """Return the events on a stream except pings."""
    return [
        notification.event
        for notification in notifications
        if type(notification) is StreamEvent
        and notification.stream == stream
        and type(notification.event) is not Ping
    ]


def await_ping(notifications):
    wait_until(lambda: StreamEvent(1, Ping()) in notifications, "a ping")


def test_a_stream_begins_with_the_joined_proxies(relay):
    relay.attach(1)
    with subscribed(relay) as (_, notifications):
        await_ping(notifications)
        assert type(notifications[0]) is StreamOpened
        relay.notify("detach", node=1)
        relay.notify("done", node=1, nonce=5, latency=2.5)
        relay.notify("done", node=99, nonce=5, latency=2.5)  # unknown proxy: dropped
        relay.notify("detach", node=2)
        wait_until(lambda: StreamEvent(1, model.ProxyLeft(2)) in notifications, "the last notification")
        assert events(notifications, 1) == [
            model.ProxyJoined(1, True, 10.0, 0),
            model.ProxyLeft(1),
            model.Acknowledged(1, 5, 2500),
            model.ProxyLeft(2),
        ]


def test_a_stream_that_is_silent_broken_or_unreadable_is_replaced(relay, monkeypatch):
    monkeypatch.setattr(relay_subscription, "SILENCE_TIMEOUT_S", 0.5)
    with subscribed(relay) as (subscription, notifications):
        await_ping(notifications)
        relay.silent = True
        wait_until(lambda: subscription.streams == 2, "a second stream after silence")
        relay.silent = False
        relay.drop_connections()
        wait_until(lambda: subscription.streams == 3, "a third stream after a disconnection")
        relay.subscribers[-1].sendall(b"\x00\x01nonsense\n")
        wait_until(lambda: subscription.streams == 4, "a fourth stream after garbage")
        assert stream_changes(notifications) == [
            (StreamOpened, 1),
            (StreamClosed, 1),
            (StreamOpened, 2),
            (StreamClosed, 2),
            (StreamOpened, 3),
            (StreamClosed, 3),
            (StreamOpened, 4),
        ]


def test_a_stream_at_a_new_address_opens_before_the_old_one_closes(relay):
    other = StubRelay()
    other.attach(2)
    with subscribed(relay) as (subscription, notifications):
        await_ping(notifications)
        subscription.set_address(other.address)
        wait_until(
            lambda: events(notifications, 2) == [model.ProxyJoined(2, True, 10.0, 0)], "the listing there"
        )
        relay.notify("done", node=2, nonce=5, latency=2.5)
        wait_until(
            lambda: events(notifications, 1) == [model.Acknowledged(2, 5, 2500)],
            "the acknowledgement from the old address",
        )
        relay.close()
        wait_until(lambda: (StreamClosed, 1) in stream_changes(notifications), "the end of the old stream")
        assert stream_changes(notifications) == [(StreamOpened, 1), (StreamOpened, 2), (StreamClosed, 1)]
        assert subscription.streams == 2
    other.close()


def test_the_stream_of_a_former_address_is_closed_if_the_address_does_not_end_it(relay, monkeypatch):
    monkeypatch.setattr(relay_subscription, "FORMER_STREAM_TIMEOUT_S", 0.3)
    other = StubRelay()
    with subscribed(relay) as (subscription, notifications):
        await_ping(notifications)
        subscription.set_address(other.address)
        wait_until(lambda: (StreamClosed, 1) in stream_changes(notifications), "the end of the old stream")
        assert subscription.streams == 2
    other.close()


def test_starting_a_reader_thread_is_retried_if_it_fails(relay, monkeypatch):
    """Guards against the failure ending the connecting thread, and with it the whole director."""
    start, failures = threading.Thread.start, []

    def fail_thrice(thread):
        if thread.name == relay_subscription.THREAD_NAME and len(failures) < 3:
            failures.append(thread)
            raise RuntimeError("can't start new thread")
        start(thread)

    monkeypatch.setattr(threading.Thread, "start", fail_thrice)
    notifications = []
    subscription = RelaySubscription(relay.address, VOCABULARY, notifications.extend)
    threading.Thread(target=subscription.run, daemon=True).start()
    wait_until(lambda: StreamOpened in map(type, notifications), "a stream")
    assert len(failures) == 3


def reader_threads():
    return [thread for thread in threading.enumerate() if thread.name == relay_subscription.THREAD_NAME]


def test_a_stream_that_ends_while_the_next_one_connects_is_replaced_only_once(relay, monkeypatch):
    """Guards against the ending stream being treated as the newest.

    A third stream was then opened, and all proxies were listed again.
    """
    wait_until(lambda: not reader_threads(), "the end of earlier reader threads")
    other, notifications, connect_relay = StubRelay(), [], relay_subscription.connect_relay
    other.attach(2)

    def end_former_and_connect(address, timeout_s):
        if address == other.address and relay.connections:
            relay.drop_connections()
            wait_until(lambda: not reader_threads(), "the end of the former stream")
        return connect_relay(address, timeout_s)

    monkeypatch.setattr(relay_subscription, "connect_relay", end_former_and_connect)
    subscription = RelaySubscription(relay.address, VOCABULARY, notifications.extend)
    threading.Thread(target=subscription.run, daemon=True).start()
    await_ping(notifications)
    subscription.set_address(other.address)
    wait_until(lambda: notifications.count(StreamEvent(2, Ping())) > 2, "the stream at the new address")
    assert subscription.newest_stream == 2 and len(reader_threads()) == 1
    other.close()
