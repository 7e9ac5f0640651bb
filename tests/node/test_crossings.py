"""What comes between two lines: each test holds one thread at a chosen place and lets the other pass it."""

import socket
import threading

from rainpick.net.streams import Stream
from rainpick.node.codec import FrameReader
from rainpick.node.door import Door
from rainpick.node.inbox import Inbox
from tests.node.platform import NAMES, Peer
from tests.waiting import WAIT_S, until

JOINING = {"t": "telemetry", "locality": "a"}


class Held:
    """A socket whose ``recv`` waits at its very beginning, once, until it is let go on."""

    def __init__(self, sock):
        self.sock, self.came, self.on = sock, threading.Event(), threading.Event()

    def recv(self, size):
        self.came.set()
        assert self.on.wait(WAIT_S)
        return self.sock.recv(size)

    def __getattr__(self, name):
        return getattr(self.sock, name)


def test_a_descriptor_is_not_free_for_the_next_peer_while_its_reader_may_use_it():
    """A reader that was about to read would have taken the bytes of the peer that got the same number."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        far = socket.create_connection(listener.getsockname(), WAIT_S)
        near, _ = listener.accept()
    held, found = Held(near), []
    stream = Stream(1, held, "peer", FrameReader(NAMES), lambda _, what: found.append(what))
    stream.start()
    assert held.came.wait(WAIT_S)
    stream.close()
    assert near.fileno() >= 0, "it is still the reader's"
    held.on.set()
    until(lambda: near.fileno() < 0, "its end")
    assert len(found) == 1 and not stream.reading
    far.close()


class Opening:
    """A lock; once ``then`` is set it runs as soon as the lock is next let go of."""

    def __init__(self):
        self.lock, self.then = threading.Lock(), None

    def __enter__(self):
        self.lock.acquire()

    def __exit__(self, *_):
        self.lock.release()
        then, self.then = self.then, None
        if then:
            then()


def stranger(door, peers):
    """A peer that has dialled in and said nothing, as the door sees it."""
    peers.append(Peer(door.address))
    name = "%s:%d" % peers[-1].sock.getsockname()
    return until(lambda: [one for one in list(door.strangers) if one.peer == name], "its place")[0]


def opened(sockets=256):
    door = Door(("127.0.0.1", 0), NAMES, sockets, Inbox())
    door.lock = Opening()
    door.start()
    return door


def joins(door, stream, taken):
    """The stream joins, in another thread as its reader would; whether it was taken up goes to ``taken``."""
    thread = threading.Thread(target=door.collect, args=(stream, 0))
    thread.start()
    thread.join(WAIT_S)
    taken.append(stream in door.collectors)


def test_who_joins_while_late_strangers_are_closed_is_let_in_or_closed_never_both():
    """It was taken up as a collector and closed: its zone went without reports until it dialled again."""
    door, peers, taken = opened(), [], []
    late = stranger(door, peers)
    door.strangers[late] = 0.0
    door.lock.then = lambda: joins(door, late, taken)
    door.sweep()
    assert len(taken) == 1 and late.closed != taken[0]
    assert peers[0].read() == b""
    door.listener.close()


def test_who_joins_while_it_makes_room_for_the_newest_is_let_in_or_closed_never_both():
    door, peers, taken = opened(sockets=4), [], []  # room for one stranger
    first = stranger(door, peers)
    door.lock.then = lambda: joins(door, first, taken)
    stranger(door, peers)
    until(lambda: taken and (first.closed or first in door.collectors), "an end to it")
    assert first.closed != taken[0]
    door.listener.close()
