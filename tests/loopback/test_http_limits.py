"""Limits of the HTTP server: each request of which a part was read is answered, whatever ends it."""

import contextlib
import socket
import time

import pytest

from rainpick.http1 import request_reader, server
from rainpick.http1.client import Client
from rainpick.http1.messages import Response
from rainpick.http1.server import Server

HALF_BODY = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\n" + b"x" * 500
HALF_HEAD = b"GET / HTTP/1.1\r\nho"


@contextlib.contextmanager
def running_server(**options):
    instance = Server("test", ("127.0.0.1", 0), lambda request: Response(200), **options)
    try:
        yield instance
    finally:
        instance.close()


def connect(instance, data=b""):
    sock = socket.create_connection(instance.address, 10)
    sock.sendall(data)
    return sock


def read_all(sock):
    """Return all bytes until the server closes."""
    data = b""
    with sock:
        while received := sock.recv(65536):
            data += received
    return data


@pytest.mark.parametrize("part", [HALF_HEAD, HALF_BODY])
def test_a_request_that_does_not_arrive_in_time_is_answered(part, monkeypatch):
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_S", 0.3)
    with running_server() as instance:
        assert read_all(connect(instance, part)).startswith(b"HTTP/1.1 408")


def test_drops_do_not_extend_the_time_of_a_request(monkeypatch):
    """Guards against a limit that each byte begins anew."""
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_S", 0.5)
    with running_server() as instance:
        sock = connect(instance, HALF_HEAD)
        begin_s = time.monotonic()
        with contextlib.suppress(OSError):
            while time.monotonic() < begin_s + 10:
                sock.sendall(b"o")
                sock.settimeout(0.1)
                with contextlib.suppress(TimeoutError):
                    assert sock.recv(100).startswith(b"HTTP/1.1 408")
                    break
        assert time.monotonic() < begin_s + 5
        sock.close()


@pytest.mark.parametrize("part", [HALF_HEAD, HALF_BODY])
def test_the_connection_that_waited_longest_makes_room_and_is_answered(part, monkeypatch):
    monkeypatch.setattr(server, "EVICTION_AGE_S", 0.0)
    with running_server(max_connections=2) as instance:
        idle, partial = connect(instance), connect(instance, part)
        time.sleep(0.2)
        client = Client(*instance.address)
        assert client.request("GET", "/")[0] == 200  # in the place of the idle connection
        assert read_all(idle) == b""
        other = Client(*instance.address)
        assert other.request("GET", "/")[0] == 200
        assert read_all(partial).startswith(b"HTTP/1.1 503")
        client.close()
        other.close()


def test_many_short_header_fields_are_refused_and_the_answer_is_not_lost():
    """Guards against a reset while the rest of the request is unread, which destroys the answer."""
    fields = b"a:\r\n" * 3_000
    with running_server() as instance:
        sock = connect(instance)
        sock.sendall(
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 400000\r\n" + fields + b"\r\n" + b"x" * 400_000
        )
        time.sleep(0.3)
        assert read_all(sock).startswith(b"HTTP/1.1 431")


def test_a_head_in_pieces_with_lines_in_its_body_is_served():
    """Guards against counting the lines of a body, or of an earlier request, as header fields."""
    body = b"\n" * 5_000
    with running_server() as instance:
        sock = connect(instance)
        for _ in range(2):
            head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % len(body)
            for piece in (head[:-2], head[-2:-1], head[-1:] + body):
                sock.sendall(piece)
                time.sleep(0.05)
            assert sock.recv(4096).startswith(b"HTTP/1.1 200")
        sock.sendall((head + body) * 3)
        answers = b""
        while answers.count(b"HTTP/1.1 200") < 3:
            answers += sock.recv(4096)
        sock.close()
