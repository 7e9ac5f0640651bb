"""Peers of the director's address whose threads meet at a chosen moment."""

import socket
import threading

from rainpick.net.streams import Stream
from rainpick.node.collector_listener import CollectorListener
from rainpick.node.frame_codec import FrameReader
from rainpick.node.mailbox import Mailbox
from tests.node.platform_stubs import VOCABULARY, Peer
from tests.waiting import WAIT_S, until


class PausedSocket:
    """A socket whose ``recv`` waits at its very beginning until it is resumed."""

    def __init__(self, sock):
        self.sock = sock
        self.entered = threading.Event()
        self.resumed = threading.Event()

    def recv(self, size):
        self.entered.set()
        assert self.resumed.wait(WAIT_S)
        return self.sock.recv(size)

    def __getattr__(self, name):
        return getattr(self.sock, name)


def test_a_descriptor_is_not_free_for_the_next_peer_while_its_reader_may_use_it():
    """A reader that was about to read would have taken the bytes of the peer that got the same number."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        far = socket.create_connection(listener.getsockname(), WAIT_S)
        near, _ = listener.accept()
    paused, messages = PausedSocket(near), []
    stream = Stream(1, paused, "peer", FrameReader(VOCABULARY), lambda _, message: messages.append(message))
    stream.start()
    assert paused.entered.wait(WAIT_S)
    stream.close()
    assert near.fileno() >= 0, "it is still the reader's"
    paused.resumed.set()
    until(lambda: near.fileno() < 0, "its end")
    assert len(messages) == 1 and not stream.reading
    far.close()


class HookedLock:
    """A lock that calls ``on_release``, once, when it is released next."""

    def __init__(self):
        self.lock = threading.Lock()
        self.on_release = None

    def __enter__(self):
        self.lock.acquire()

    def __exit__(self, *_):
        self.lock.release()
        hook, self.on_release = self.on_release, None
        if hook:
            hook()


def start_listener(sockets=256):
    listener = CollectorListener(("127.0.0.1", 0), VOCABULARY, sockets, Mailbox())
    listener.lock = HookedLock()
    listener.start()
    return listener


def connect_silent_peer(listener, peers):
    """The listener's stream of a new peer that sends nothing."""
    peers.append(Peer(listener.address))
    name = "%s:%d" % peers[-1].sock.getsockname()
    streams = until(
        lambda: [stream for stream in list(listener.pending) if stream.peer == name], "the new peer"
    )
    return streams[0]


def join_in_thread(listener, stream, joined):
    """Have the stream join, as its reader would; whether it became a collector is appended to ``joined``."""
    thread = threading.Thread(target=listener.join, args=(stream, 0))
    thread.start()
    thread.join(WAIT_S)
    joined.append(stream in listener.collectors)


def test_a_peer_that_joins_while_overdue_peers_are_closed_is_a_collector_or_closed_never_both():
    """It was taken up as a collector and closed: its zone went without reports until it connected again."""
    listener, peers, joined = start_listener(), [], []
    overdue = connect_silent_peer(listener, peers)
    listener.pending[overdue] = 0.0
    listener.lock.on_release = lambda: join_in_thread(listener, overdue, joined)
    listener.close_overdue()
    assert len(joined) == 1 and overdue.closed != joined[0]
    assert peers[0].read_all() == b""
    listener.listener.close()


def test_a_peer_that_joins_while_it_makes_room_for_the_newest_is_a_collector_or_closed_never_both():
    listener, peers, joined = start_listener(sockets=4), [], []  # room for one pending peer
    first = connect_silent_peer(listener, peers)
    listener.lock.on_release = lambda: join_in_thread(listener, first, joined)
    connect_silent_peer(listener, peers)
    until(lambda: joined and (first.closed or first in listener.collectors), "an end to it")
    assert first.closed != joined[0]
    listener.listener.close()
