"""Clients that close their connection with answers unread: their further requests are not carried out.

Each client has one answer unread, writes many requests while the event loop is held up, and closes.
"""

import contextlib
import socket
import threading
import time

import pytest

from rainpick.mqtt import codec
from rainpick.net import StreamEnded
from rainpick.net.streams import Stream
from rainpick.publish import topics
from rainpick.sasp.encoding import encode_message
from rainpick.sasp.messages import MemberGroup, MemberState, Registration, SetMemberState, StateGroup
from tests.loopback.harness import FLEET, MemberClient, fetch_status, members, running_director
from tests.loopback.test_otlp import BlockEventLoop, encode_body
from tests.waiting import wait_until

REQUESTS = 2_000
CALM_S = 0.5  # in which requests that are still carried out would show


@contextlib.contextmanager
def held_up(daemon):
    """Hold the event loop up until the end of the block."""
    released, entered = threading.Event(), threading.Event()

    def wait(_):
        entered.set()
        released.wait(20)

    daemon.event_loop.handlers[BlockEventLoop] = wait
    daemon.event_loop.inbox.post(BlockEventLoop())
    assert entered.wait(10)
    try:
        yield
    finally:
        released.set()


def counted(owner, name):
    """Count the calls of a method; the list grows by one for each."""
    calls, method = [], getattr(owner, name)

    def call(*arguments):
        calls.append(arguments)
        return method(*arguments)

    setattr(owner, name, call)
    return calls


def wait_for_unread_answer(sock):
    """Wait until an answer has arrived, and leave it unread."""
    sock.settimeout(10)
    assert sock.recv(1, socket.MSG_PEEK)


def send_all(sock, data):
    """Write as much as the program reads within a second."""
    sock.settimeout(1)
    with contextlib.suppress(TimeoutError):
        sock.sendall(data)


def test_a_member_that_closed_without_reading_changes_nothing_afterwards():
    with running_director() as daemon:
        MemberClient(daemon, 9001, 9002)
        calls = counted(daemon.event_loop.membership, "set_state")
        member = members(9003)
        states = [
            encode_message(SetMemberState((StateGroup(FLEET, (MemberState(member[0], 0, n % 2 == 0),)),)), n)
            for n in range(2, REQUESTS)
        ]
        with socket.create_connection(daemon.sasp) as sock:
            sock.sendall(encode_message(Registration((MemberGroup(FLEET, member),)), 1))
            wait_for_unread_answer(sock)
            with held_up(daemon):
                send_all(sock, b"".join(states))
                sock.close()
        wait_until(lambda: len(fetch_status(daemon)["servers"]) >= 2, "the event loop")
        time.sleep(CALM_S)
        assert not calls, f"{len(calls)} of {REQUESTS} requests were carried out"


def test_a_client_that_closed_without_reading_publishes_nothing_afterwards():
    with running_director(mqtt=True) as daemon:
        calls = counted(daemon.event_loop.mqtt, "handle_publish")
        publish = codec.encode_packet(codec.Publish(topics.proxy_topic("edge-1", "trouble"), b"{}", 0))
        with socket.create_connection(daemon.mqtt) as sock:
            sock.sendall(codec.encode_packet(codec.Connect("edge-1")))
            wait_for_unread_answer(sock)
            with held_up(daemon):
                send_all(sock, publish * REQUESTS)
                sock.close()
        assert fetch_status(daemon)
        time.sleep(CALM_S)
        assert not calls, f"{len(calls)} of {REQUESTS} messages were carried out"


def test_reports_of_a_reporter_that_closed_without_reading_are_not_passed_on():
    with running_director() as daemon:
        calls = counted(daemon.event_loop, "receive_report")
        reports = []
        for number in range(100):
            body = encode_body(uid=f"edge-{number}")
            head = "POST /v1/metrics HTTP/1.1\r\nhost: a\r\ncontent-type: application/x-protobuf\r\n"
            reports.append(f"{head}content-length: {len(body)}\r\n\r\n".encode() + body)
        daemon.otlp_front.handler = lambda request, handler=daemon.otlp_front.handler: counted_handler(
            request, handler
        )
        handled = []

        def counted_handler(request, handler):
            handled.append(request)
            return handler(request)

        with socket.create_connection(daemon.otlp) as sock:
            sock.sendall(reports[0])
            wait_for_unread_answer(sock)
            with held_up(daemon):
                send_all(sock, b"".join(reports[1:]))
                wait_until(lambda: len(handled) == 2, "the second report")
                sock.close()
        assert fetch_status(daemon)
        time.sleep(CALM_S)
        assert len(handled) <= 3, f"{len(handled)} of {len(reports)} reports were passed on"
        assert not calls or len(calls) <= 3


class SlowParser:
    """A parser that waits during its first chunk."""

    def __init__(self):
        self.begun, self.released, self.chunks = threading.Event(), threading.Event(), 0

    def receive(self, data):
        self.chunks += 1
        self.begun.set()
        assert self.released.wait(20)
        return []

    def buffered(self):
        return 0

    def abandon(self, reason):
        return [StreamEnded(b"", reason)]


@pytest.mark.parametrize("unread", [False, True])
def test_a_stream_is_read_to_its_end_unless_the_peer_closed_without_reading(unread):
    """Guards against reading on for a peer that is gone; one that has read all answers is read to the end."""
    listener = socket.create_server(("127.0.0.1", 0))
    with socket.create_connection(listener.getsockname()) as client:
        sock, _ = listener.accept()
        events, parser = [], SlowParser()
        stream = Stream(1, sock, "peer", parser, lambda _, event: events.append(event))
        if unread:
            stream.write(b"answer")
            wait_for_unread_answer(client)
        stream.start()
        client.sendall(b"x" * 200_000)
        assert parser.begun.wait(10)
        client.close()
        parser.released.set()
        wait_until(lambda: events, "the end of the stream")
    listener.close()
    assert parser.chunks == 1 if unread else parser.chunks >= 200_000 / 16_384
