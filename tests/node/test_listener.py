"""The director's address over real sockets: who is let in, who is let go, and how soon."""

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
from tests.node.platform import VOCABULARY, Peer
from tests.waiting import until

LATEST_S = 3.0  # the platform's: by then whoever does not join has been closed or rejected


@contextlib.contextmanager
def opened(sockets=256):
    mailbox = Mailbox()
    listener = CollectorListener(("127.0.0.1", 0), VOCABULARY, sockets, mailbox)
    done = threading.Event()

    def sweep():
        while not done.wait(0.05):
            listener.close_overdue()

    listener.start()
    thread = threading.Thread(target=sweep)
    thread.start()
    try:
        yield listener, mailbox
    finally:
        done.set()
        thread.join()
        listener.listener.close()


def met(endpoint="s-1"):
    return {
        "t": "upstream_stats",
        "locality": "a",
        "endpoint": endpoint,
        "total": 2,
        "errors": 1,
        "rtt": 4.0,
        "interval": 500.0,
    }


def test_a_heartbeat_is_answered_at_once_and_an_honest_collector_heard():
    with opened() as (listener, mailbox):
        assert Peer(listener.address).send({"t": "hb"}).answer(len(HEARTBEAT_ANSWER)) == HEARTBEAT_ANSWER
        peer = Peer(listener.address)
        peer.send({"t": "hb"}, {"t": "telemetry", "locality": "a"}, met(), {"t": "hb"})
        assert peer.answer(2 * len(HEARTBEAT_ANSWER)) == 2 * HEARTBEAT_ANSWER
        news, reports = mailbox.receive(5)
        assert not news and reports == [model.ServerLoadReport("s-1", 0, 2, 1, 4000, 500_000, ())]


def test_a_heartbeat_in_single_bytes_and_several_in_one_piece_are_answered():
    with opened() as (listener, _):
        peer = Peer(listener.address)
        for byte in encode_frame({"t": "hb"}):
            peer.send(bytes([byte]))
        assert peer.answer(len(HEARTBEAT_ANSWER)) == HEARTBEAT_ANSWER
        peer.send(3 * encode_frame({"t": "hb"}) + encode_frame({"t": "hb"})[:5])
        assert peer.answer(3 * len(HEARTBEAT_ANSWER)) == 3 * HEARTBEAT_ANSWER


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b'\x20\x00\x00\x00{"t":',
        b"\x10\x00",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xff" * 9000,
        [{"t": "hb"}],
        [met()],
        [{"t": "telemetry", "locality": "z"}],
    ],
)
def test_who_does_not_join_is_closed_in_time(sent):
    """One who asks for a heartbeat and then holds its connection is no exception."""
    with opened() as (listener, _):
        begin = time.monotonic()
        peer = Peer(listener.address)
        with contextlib.suppress(ConnectionError):
            peer.send(*([sent] if isinstance(sent, bytes) else sent))
        peer.read()
        assert time.monotonic() - begin < LATEST_S
        until(lambda: not listener.pending, "the end of its place")


def test_a_crowd_that_says_nothing_does_not_keep_a_collector_out():
    """Hundreds of silent connections filled all places; the oldest of them make room for the newest."""
    with opened(sockets=64) as (listener, mailbox):
        crowd = [Peer(listener.address) for _ in range(200)]
        honest = Peer(listener.address).send({"t": "telemetry", "locality": "b"}, met())
        until(lambda: mailbox.reports, "the report")
        assert listener.status()["strangers"] <= 16
        begin = time.monotonic()
        for peer in crowd:
            peer.read()
        assert time.monotonic() - begin < LATEST_S
        honest.send(met())
        until(lambda: len(mailbox.reports) == 2, "the second report")


def test_of_a_zone_only_the_newest_collectors_are_kept():
    """A dead one is silent and would be kept for good, and descriptors grow through a long day."""
    with opened() as (listener, mailbox):
        peers = []
        for number in range(1, 8):
            peers.append(Peer(listener.address).send({"t": "telemetry", "locality": "a"}, met()))
            until(lambda number=number: len(mailbox.reports) == number, "its report")
        assert len(listener.collectors) == collector_listener.COLLECTOR_LIMIT
        assert peers[0].read() == b"", "nothing is written to a collector"


def test_a_peer_that_does_not_read_is_let_go_and_holds_up_nobody():
    with opened() as (listener, _):
        greedy = Peer(listener.address)
        greedy.send({"t": "telemetry", "locality": "a"})
        with pytest.raises(ConnectionError):
            end = time.monotonic() + 10
            while time.monotonic() < end:
                greedy.send(*[{"t": "hb"}] * 1000)
        until(lambda: not listener.collectors, "its end")
        assert Peer(listener.address).send({"t": "hb"}).answer(len(HEARTBEAT_ANSWER)) == HEARTBEAT_ANSWER


def test_a_spoilt_report_is_dropped_and_a_stream_that_cannot_be_read_ended():
    with opened() as (listener, mailbox):
        peer = Peer(listener.address).send({"t": "telemetry", "locality": "a"}, met() | {"total": -1}, met())
        until(lambda: mailbox.reports, "the sound report")
        assert listener.status()["malformed"] == 1 and len(mailbox.reports) == 1
        peer.send(b"\x99" * 64)
        assert peer.read() == b""
        until(lambda: not listener.collectors, "its end")


def test_no_thread_to_be_had_costs_that_peer_alone(monkeypatch):
    """The accepting thread ended with the first peer that no thread could be started for."""
    with opened() as (listener, _):

        def none(*_):
            raise RuntimeError("can't start new thread")

        with monkeypatch.context() as patch:
            patch.setattr("rainpick.net.streams._thread.start_new_thread", none)
            assert Peer(listener.address).read() == b""
        assert Peer(listener.address).send({"t": "hb"}).answer(len(HEARTBEAT_ANSWER)) == HEARTBEAT_ANSWER


def test_a_failed_accept_does_not_end_the_front(monkeypatch):
    """Out of descriptors for a moment, and nobody was ever let in again."""
    with opened() as (listener, _):
        real, failed = listener.listener.socket, []

        class Short:
            def accept(self):
                if len(failed) < 3:
                    failed.append(1)
                    raise OSError(24, "Too many open files")
                return real.accept()

            def __getattr__(self, name):
                return getattr(real, name)

        listener.listener.socket = Short()
        Peer(listener.address).close()  # the accept under way is the real one's
        assert Peer(listener.address).send({"t": "hb"}).answer(len(HEARTBEAT_ANSWER)) == HEARTBEAT_ANSWER
        assert len(failed) == 3


def test_a_peer_that_is_reset_while_it_is_let_in_does_not_end_the_front():
    """Its socket takes no option any more: the error ended the accepting thread, and with it every front."""
    let_in = []

    def give(sock, peer):
        let_in.append(sock)
        if len(let_in) == 1:
            raise OSError(22, "Invalid argument")

    listener = Listener(("127.0.0.1", 0), 8, give)
    listener.thread.start()
    assert Peer(listener.address).read() == b"", "it is closed"
    second = Peer(listener.address)
    until(lambda: len(let_in) == 2, "the next peer")
    second.close()
    listener.close()
