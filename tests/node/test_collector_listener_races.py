"""Races between the threads of the collector listener, forced at chosen points."""

import socket
import threading

from rainpick.net.streams import Stream
from rainpick.node.collector_listener import CollectorListener
from rainpick.node.frame_codec import FrameReader
from rainpick.node.mailbox import Mailbox
from tests.node.platform_stubs import VOCABULARY, Peer
from tests.waiting import WAIT_S, wait_until


class PausedSocket:
    """A socket whose ``recv`` blocks before reading until it is resumed."""

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


def test_a_descriptor_is_not_closed_while_its_reading_thread_may_use_it():
    """Guards against a reading thread that reads the bytes of a new peer with the same file descriptor."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client_socket = socket.create_connection(listener.getsockname(), WAIT_S)
        server_socket, _ = listener.accept()
    paused, messages = PausedSocket(server_socket), []
    stream = Stream(1, paused, "peer", FrameReader(VOCABULARY), lambda _, message: messages.append(message))
    stream.start()
    assert paused.entered.wait(WAIT_S)
    stream.close()
    assert server_socket.fileno() >= 0, "the reading thread still uses it"
    paused.resumed.set()
    wait_until(lambda: server_socket.fileno() < 0, "the close of the descriptor")
    assert len(messages) == 1 and not stream.reading
    client_socket.close()


class HookedLock:
    """A lock that calls ``on_release`` once, after its next release."""

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
    """Connect a peer that sends nothing; return the listener's stream for it."""
    peers.append(Peer(listener.address))
    name = "%s:%d" % peers[-1].sock.getsockname()
    streams = wait_until(
        lambda: [stream for stream in list(listener.pending) if stream.peer == name], "the new peer"
    )
    return streams[0]


def join_in_thread(listener, stream, joined):
    """Join a stream in another thread, as its reading thread would; append the result to ``joined``."""
    thread = threading.Thread(target=listener.join, args=(stream, 0))
    thread.start()
    thread.join(WAIT_S)
    joined.append(stream in listener.collectors)


def test_a_peer_that_joins_while_overdue_peers_are_closed_is_either_a_collector_or_closed():
    """Guards against a peer that joins and is closed: its zone would have no reports until it reconnects."""
    listener, peers, joined = start_listener(), [], []
    overdue = connect_silent_peer(listener, peers)
    listener.pending[overdue] = 0.0
    listener.lock.on_release = lambda: join_in_thread(listener, overdue, joined)
    listener.close_overdue()
    assert len(joined) == 1 and overdue.closed != joined[0]
    assert peers[0].read_all() == b""
    listener.listener.close()


def test_a_peer_that_joins_while_it_is_displaced_is_either_a_collector_or_closed():
    """A new peer displaces the oldest pending peer when the limit of pending peers is reached."""
    listener, peers, joined = start_listener(sockets=4), [], []  # allows one pending peer
    first = connect_silent_peer(listener, peers)
    listener.lock.on_release = lambda: join_in_thread(listener, first, joined)
    connect_silent_peer(listener, peers)
    wait_until(
        lambda: joined and (first.closed or first in listener.collectors),
        "the join or close of the first peer",
    )
    assert first.closed != joined[0]
    listener.listener.close()
