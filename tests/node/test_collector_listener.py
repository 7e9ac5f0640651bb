"""The collector listener over real sockets: which peers stay connected and when the others are closed."""

import contextlib
import threading
import time

import pytest

from rainpick import model
from rainpick.net.streams import Listener
from rainpick.node import collector_listener
from rainpick.node.collector_listener import CollectorListener
from rainpick.node.frame_codec import HEARTBEAT_REPLY, encode_frame
from rainpick.node.mailbox import Mailbox
from tests.node.platform_stubs import VOCABULARY, Peer
from tests.waiting import wait_until

CLOSE_LIMIT_S = 3.0  # the platform's limit for closing or rejecting a peer that does not join


@contextlib.contextmanager
def running_listener(sockets=256):
    mailbox = Mailbox()
    listener = CollectorListener(("127.0.0.1", 0), VOCABULARY, sockets, mailbox)
    stopped = threading.Event()

    def close_overdue():
        while not stopped.wait(0.05):
            listener.close_overdue()

    listener.start()
    thread = threading.Thread(target=close_overdue)
    thread.start()
    try:
        yield listener, mailbox
    finally:
        stopped.set()
        thread.join()
        listener.listener.close()


def server_report(endpoint="s-1"):
    return {
        "t": "upstream_stats",
        "locality": "a",
        "endpoint": endpoint,
        "total": 2,
        "errors": 1,
        "rtt": 4.0,
        "interval": 500.0,
    }


def test_heartbeats_get_a_reply_and_reports_of_a_collector_are_received():
    with running_listener() as (listener, mailbox):
        assert Peer(listener.address).send({"t": "hb"}).read(len(HEARTBEAT_REPLY)) == HEARTBEAT_REPLY
        peer = Peer(listener.address)
        peer.send({"t": "hb"}, {"t": "telemetry", "locality": "a"}, server_report(), {"t": "hb"})
        assert peer.read(2 * len(HEARTBEAT_REPLY)) == 2 * HEARTBEAT_REPLY
        notifications, reports = mailbox.receive(5)
        assert not notifications and reports == [model.ServerLoadReport("s-1", 0, 2, 1, 4000, 500_000, ())]


def test_a_heartbeat_in_single_bytes_and_several_in_one_chunk_get_replies():
    with running_listener() as (listener, _):
        peer = Peer(listener.address)
        for byte in encode_frame({"t": "hb"}):
            peer.send(bytes([byte]))
        assert peer.read(len(HEARTBEAT_REPLY)) == HEARTBEAT_REPLY
        peer.send(3 * encode_frame({"t": "hb"}) + encode_frame({"t": "hb"})[:5])
        assert peer.read(3 * len(HEARTBEAT_REPLY)) == 3 * HEARTBEAT_REPLY


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b'\x20\x00\x00\x00{"t":',
        b"\x10\x00",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xff" * 9000,
        [{"t": "hb"}],
        [server_report()],
        [{"t": "telemetry", "locality": "z"}],
    ],
)
def test_a_peer_that_does_not_join_is_closed_in_time(data):
    """Also applies to a peer that sends a heartbeat and then keeps its connection open."""
    with running_listener() as (listener, _):
        begin_s = time.monotonic()
        peer = Peer(listener.address)
        with contextlib.suppress(ConnectionError):
            peer.send(*([data] if isinstance(data, bytes) else data))
        peer.read_all()
        assert time.monotonic() - begin_s < CLOSE_LIMIT_S
        wait_until(lambda: not listener.pending, "the removal of the peer")


def test_many_silent_peers_do_not_prevent_a_collector_from_joining():
    """Guards against hundreds of silent connections that use up all capacity: the oldest must be closed."""
    with running_listener(sockets=64) as (listener, mailbox):
        silent_peers = [Peer(listener.address) for _ in range(200)]
        collector = Peer(listener.address).send({"t": "telemetry", "locality": "b"}, server_report())
        wait_until(lambda: mailbox.reports, "the report")
        assert listener.status()["strangers"] <= 16
        begin_s = time.monotonic()
        for peer in silent_peers:
            peer.read_all()
        assert time.monotonic() - begin_s < CLOSE_LIMIT_S
        collector.send(server_report())
        wait_until(lambda: len(mailbox.reports) == 2, "the second report")


def test_only_the_newest_collectors_of_a_zone_stay_connected():
    """Guards against a descriptor leak: a dead collector is silent and would stay connected forever."""
    with running_listener() as (listener, mailbox):
        peers = []
        for number in range(1, 8):
            peers.append(Peer(listener.address).send({"t": "telemetry", "locality": "a"}, server_report()))
            wait_until(
                lambda number=number: len(mailbox.reports) == number, "the report of the new collector"
            )
        assert len(listener.collectors) == collector_listener.COLLECTOR_LIMIT
        assert peers[0].read_all() == b"", "nothing is written to a collector"


def test_a_peer_that_does_not_read_is_closed_and_does_not_delay_others():
    with running_listener() as (listener, _):
        non_reading_peer = Peer(listener.address)
        non_reading_peer.send({"t": "telemetry", "locality": "a"})
        with pytest.raises(ConnectionError):
            deadline_s = time.monotonic() + 10
            while time.monotonic() < deadline_s:
                non_reading_peer.send(*[{"t": "hb"}] * 1000)
        wait_until(lambda: not listener.collectors, "the disconnection of the peer")
        assert Peer(listener.address).send({"t": "hb"}).read(len(HEARTBEAT_REPLY)) == HEARTBEAT_REPLY


def test_a_malformed_report_is_dropped_and_an_unreadable_stream_closed():
    with running_listener() as (listener, mailbox):
        peer = Peer(listener.address).send(
            {"t": "telemetry", "locality": "a"}, server_report() | {"total": -1}, server_report()
        )
        wait_until(lambda: mailbox.reports, "the valid report")
        assert listener.status()["malformed"] == 1 and len(mailbox.reports) == 1
        peer.send(b"\x99" * 64)
        assert peer.read_all() == b""
        wait_until(lambda: not listener.collectors, "the disconnection of the collector")


def test_a_thread_that_cannot_be_started_affects_only_its_peer(monkeypatch):
    """Guards against the accepting thread ending when no thread can be started for a peer."""
    with running_listener() as (listener, _):

        def fail(*_):
            raise RuntimeError("can't start new thread")

        with monkeypatch.context() as patch:
            patch.setattr("rainpick.net.streams._thread.start_new_thread", fail)
            assert Peer(listener.address).read_all() == b""
        assert Peer(listener.address).send({"t": "hb"}).read(len(HEARTBEAT_REPLY)) == HEARTBEAT_REPLY


def test_a_failed_accept_does_not_end_the_listener(monkeypatch):
    """Guards against a short lack of file descriptors after which no peer is ever accepted again."""
    with running_listener() as (listener, _):
        accepting_socket, failures = listener.listener.socket, []

        class FailingSocket:
            def accept(self):
                if len(failures) < 3:
                    failures.append(1)
                    raise OSError(24, "Too many open files")
                return accepting_socket.accept()

            def __getattr__(self, name):
                return getattr(accepting_socket, name)

        listener.listener.socket = FailingSocket()
        Peer(listener.address).close()  # completes the accept that is already waiting on the real socket
        assert Peer(listener.address).send({"t": "hb"}).read(len(HEARTBEAT_REPLY)) == HEARTBEAT_REPLY
        assert len(failures) == 3


def test_a_peer_that_resets_its_connection_during_accept_does_not_end_the_listener():
    """Guards against the accepting thread ending with the error from setting options on such a socket."""
    accepted = []

    def accept(sock, peer):
        accepted.append(sock)
        if len(accepted) == 1:
            raise OSError(22, "Invalid argument")

    listener = Listener(("127.0.0.1", 0), 8, accept)
    listener.thread.start()
    assert Peer(listener.address).read_all() == b"", "the first peer is closed"
    second = Peer(listener.address)
    wait_until(lambda: len(accepted) == 2, "the next peer")
    second.close()
    listener.close()
