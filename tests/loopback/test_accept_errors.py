"""Listeners go on after each error that accepting a connection or starting a thread may have (accept(2))."""

import errno
import threading

import pytest

from rainpick.http1.client import Client
from rainpick.http1.messages import Response
from rainpick.http1.server import Server
from rainpick.net.streams import Listener
from tests.waiting import wait_until

ACCEPT_ERRORS = [
    errno.EMFILE,
    errno.ENFILE,
    errno.ECONNABORTED,
    errno.EINTR,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPERM,
    errno.EPROTO,
]


class FailingSocket:
    """A listening socket whose next calls of ``accept`` fail."""

    def __init__(self, sock, errors):
        self.sock, self.errors = sock, list(errors)

    def accept(self):
        if self.errors:
            raise OSError(self.errors.pop(0), "failed")
        return self.sock.accept()

    def __getattr__(self, name):
        return getattr(self.sock, name)


def get(server):
    client = Client(*server.address)
    status, _, _ = client.request("GET", "/")
    client.close()
    return status


def test_a_server_answers_after_each_error_of_accept():
    """Guards against the end of the accepting thread: no report was answered after a lack of descriptors."""
    server = Server("test", ("127.0.0.1", 0), lambda request: Response(200))
    try:
        assert get(server) == 200
        server.socket = failing = FailingSocket(server.socket, ACCEPT_ERRORS)
        assert get(server) == 200  # accepted by the call that was waiting already
        assert get(server) == 200 and not failing.errors
    finally:
        server.close()


def test_a_server_answers_after_a_thread_could_not_be_started(monkeypatch):
    """Guards against the end of the accepting thread, and against a slot that stays taken."""
    server = Server("test", ("127.0.0.1", 0), lambda request: Response(200), max_connections=2)
    start, failures = threading.Thread.start, [True] * 3

    def failing_start(thread):
        if thread.name == "test" and failures:
            failures.pop()
            raise RuntimeError("can't start new thread")
        start(thread)

    monkeypatch.setattr(threading.Thread, "start", failing_start)
    try:
        for _ in range(3):
            with pytest.raises(Exception, match="connection closed|reset"):
                get(server)
        assert get(server) == 200 and not failures
    finally:
        server.close()


def test_a_listener_accepts_after_each_error_of_accept():
    accepted = []
    listener = Listener(("127.0.0.1", 0), 8, lambda sock, peer: accepted.append(sock))
    real = listener.socket
    listener.socket = failing = FailingSocket(real, ACCEPT_ERRORS)
    listener.thread.start()
    client = Client(*listener.address, timeout_s=0.2)
    with pytest.raises(Exception, match="timed out"):
        client.request("GET", "/")
    wait_until(lambda: accepted, "the connection")
    assert not failing.errors
    client.close()
    accepted[0].close()
    listener.close()
