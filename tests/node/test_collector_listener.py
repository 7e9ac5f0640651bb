"""The director's address over real sockets: who may stay connected, who is closed, and how soon."""

import contextlib
import threading
import time

import pytest

from rainpick import model
from rainpick.net.streams import Listener
from rainpick.node import collector_listener
from rainpick.node.collector_listener import CollectorListener
from rainpick.node.frame_codec import HEARTBEAT_ANSWER, encode_frame
from rainpick.node.mailbox import Mailbox
from tests.node.platform_stubs import VOCABULARY, Peer
from tests.waiting import until

CLOSE_LIMIT_S = 3.0  # the platform's: by then a peer that does not join is closed or rejected


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


def test_a_heartbeat_is_answered_and_the_reports_of_a_collector_are_received():
    with running_listener() as (listener, mailbox):
        assert Peer(listener.address).send({"t": "hb"}).read(len(HEARTBEAT_ANSWER)) == HEARTBEAT_ANSWER
        peer = Peer(listener.address)
        peer.send({"t": "hb"}, {"t": "telemetry", "locality": "a"}, server_report(), {"t": "hb"})
        assert peer.read(2 * len(HEARTBEAT_ANSWER)) == 2 * HEARTBEAT_ANSWER
        notifications, reports = mailbox.receive(5)
        assert not notifications and reports == [model.ServerLoadReport("s-1", 0, 2, 1, 4000, 500_000, ())]


def test_a_heartbeat_in_single_bytes_and_several_in_one_chunk_are_answered():
    with running_listener() as (listener, _):
        peer = Peer(listener.address)
        for byte in encode_frame({"t": "hb"}):
            peer.send(bytes([byte]))
        assert peer.read(len(HEARTBEAT_ANSWER)) == HEARTBEAT_ANSWER
        peer.send(3 * encode_frame({"t": "hb"}) + encode_frame({"t": "hb"})[:5])
        assert peer.read(3 * len(HEARTBEAT_ANSWER)) == 3 * HEARTBEAT_ANSWER


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
    """A peer that asks for a heartbeat and then holds its connection is no exception."""
    with running_listener() as (listener, _):
        begin_s = time.monotonic()
        peer = Peer(listener.address)
        with contextlib.suppress(ConnectionError):
            peer.send(*([data] if isinstance(data, bytes) else data))
        peer.read_all()
        assert time.monotonic() - begin_s < CLOSE_LIMIT_S
        until(lambda: not listener.pending, "its end")


def test_many_silent_peers_do_not_keep_a_collector_out():
    """Hundreds of silent connections took all capacity; the oldest of them make room for the newest."""
    with running_listener(sockets=64) as (listener, mailbox):
        silent_peers = [Peer(listener.address) for _ in range(200)]
        collector = Peer(listener.address).send({"t": "telemetry", "locality": "b"}, server_report())
        until(lambda: mailbox.reports, "the report")
        assert listener.status()["strangers"] <= 16
        begin_s = time.monotonic()
        for peer in silent_peers:
            peer.read_all()
        assert time.monotonic() - begin_s < CLOSE_LIMIT_S
        collector.send(server_report())
        until(lambda: len(mailbox.reports) == 2, "the second report")


def test_only_the_newest_collectors_of_a_zone_stay_connected():
    """A dead one is silent and would stay for good, and descriptors grow through a long day."""
    with running_listener() as (listener, mailbox):
        peers = []
        for number in range(1, 8):
            peers.append(Peer(listener.address).send({"t": "telemetry", "locality": "a"}, server_report()))
            until(lambda number=number: len(mailbox.reports) == number, "its report")
        assert len(listener.collectors) == collector_listener.COLLECTOR_LIMIT
        assert peers[0].read_all() == b"", "nothing is written to a collector"


def test_a_peer_that_does_not_read_is_closed_and_delays_no_other():
    with running_listener() as (listener, _):
        greedy = Peer(listener.address)
        greedy.send({"t": "telemetry", "locality": "a"})
        with pytest.raises(ConnectionError):
            deadline_s = time.monotonic() + 10
            while time.monotonic() < deadline_s:
                greedy.send(*[{"t": "hb"}] * 1000)
        until(lambda: not listener.collectors, "its end")
        assert Peer(listener.address).send({"t": "hb"}).read(len(HEARTBEAT_ANSWER)) == HEARTBEAT_ANSWER


def test_a_malformed_report_is_dropped_and_an_unreadable_stream_closed():
    with running_listener() as (listener, mailbox):
        peer = Peer(listener.address).send(
            {"t": "telemetry", "locality": "a"}, server_report() | {"total": -1}, server_report()
        )
        until(lambda: mailbox.reports, "the readable report")
        assert listener.status()["malformed"] == 1 and len(mailbox.reports) == 1
        peer.send(b"\x99" * 64)
        assert peer.read_all() == b""
        until(lambda: not listener.collectors, "its end")


def test_a_thread_that_cannot_be_started_affects_that_peer_alone(monkeypatch):
    """The accepting thread ended with the first peer for which no thread could be started."""
    with running_listener() as (listener, _):

        def fail(*_):
            raise RuntimeError("can't start new thread")

        with monkeypatch.context() as patch:
            patch.setattr("rainpick.net.streams._thread.start_new_thread", fail)
            assert Peer(listener.address).read_all() == b""
        assert Peer(listener.address).send({"t": "hb"}).read(len(HEARTBEAT_ANSWER)) == HEARTBEAT_ANSWER


def test_a_failed_accept_does_not_end_the_listener(monkeypatch):
    """Out of descriptors for a moment, and no peer was ever accepted again."""
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
        Peer(listener.address).close()  # the accept under way is the real one's
        assert Peer(listener.address).send({"t": "hb"}).read(len(HEARTBEAT_ANSWER)) == HEARTBEAT_ANSWER
        assert len(failures) == 3


def test_a_peer_that_is_reset_while_it_is_accepted_does_not_end_the_listener():
    """Its socket takes no option any more: the error ended the accepting thread, and with it the listener."""
    accepted = []

    def accept(sock, peer):
        accepted.append(sock)
        if len(accepted) == 1:
            raise OSError(22, "Invalid argument")

    listener = Listener(("127.0.0.1", 0), 8, accept)
    listener.thread.start()
    assert Peer(listener.address).read_all() == b"", "it is closed"
    second = Peer(listener.address)
    until(lambda: len(accepted) == 2, "the next peer")
    second.close()
    listener.close()
