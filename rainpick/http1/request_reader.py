"""Reads the requests of one connection within limits on time, on header fields and on memory."""

from __future__ import annotations

import contextlib
import socket
import time
from http import HTTPStatus

import h11

from rainpick.http1.bodies import READ_SIZE, BodyError
from rainpick.http1.messages import Request
from rainpick.net.buffer_budget import BufferBudget

MAX_HEAD_BYTES = 16_384  # request line and headers together
MAX_HEADER_FIELDS = 128  # many short ones take far more memory and time than their bytes
REQUEST_TIMEOUT_S = 10.0  # from the first byte of a request to its last one
HEAD_END = b"\n\r\n", b"\n\n"
TAIL_BYTES = 3  # of the bytes before, where the end of the head may begin


class RequestError(Exception):
    """The rest of a request is not read; ``status`` is the status code of the response."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status


class HeadGuard:
    """Counts the lines of a request's head before it is parsed."""

    def __init__(self) -> None:
        self.lines = 0
        self.tail = b""
        self.complete = False

    def feed(self, data: bytes) -> None:
        """Count the lines in bytes that follow; ``RequestError`` if they are too many."""
        if self.complete:
            return
        text = self.tail + data
        ends = [end for end in (text.find(mark) for mark in HEAD_END) if end >= 0]
        self.complete = bool(ends)
        self.lines += text.count(b"\n", len(self.tail), min(ends) + 1 if ends else len(text))
        self.tail = text[-TAIL_BYTES:]
        if self.lines > MAX_HEADER_FIELDS + 1:
            raise RequestError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, f"over {MAX_HEADER_FIELDS} header fields"
            )


class RequestReader:
    """Reads requests from a socket. ``waiting_since_s`` is when it began to wait for the next one.

    A connection whose request does not arrive in time, or that another thread evicts, raises ``RequestError``
    if a part of the request was read, and ``ConnectionError`` otherwise.
    """

    def __init__(
        self,
        sock: socket.socket,
        protocol: h11.Connection,
        budget: BufferBudget,
        max_body_bytes: int,
        idle_timeout_s: float,
    ):
        self.sock = sock
        self.protocol = protocol
        self.budget = budget
        self.max_body_bytes = max_body_bytes
        self.idle_timeout_s = idle_timeout_s
        self.waiting_since_s: float | None = time.monotonic()  # None while a request is handled
        self.evicted = False
        self.begun_s: float | None = None  # arrival of the first byte of the request

    def evict(self) -> None:
        """Stop waiting for the request. May be called by any thread."""
        self.evicted = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)

    def read(self) -> Request | None:
        """Read the next request, its body not decoded; return None if the peer closed the connection.

        Raises ``RequestError``, ``BodyError`` or ``h11.RemoteProtocolError`` for a request that gets an error
        response, ``OSError`` if the connection is of no use any more.
        """
        self.waiting_since_s = time.monotonic()
        self.begun_s = None
        try:
            return self._read_request()
        finally:
            self.waiting_since_s = None
            self.budget.remove(self)

    def _read_request(self) -> Request | None:
        guard = HeadGuard()
        pipelined = self.protocol.trailing_data[0]
        if pipelined:
            self.begun_s = time.monotonic()
            guard.feed(pipelined)
        while (event := self.protocol.next_event()) is h11.NEED_DATA:
            data = self._receive()
            guard.feed(data)
            self.protocol.receive_data(data)
        if not isinstance(event, h11.Request):
            return None
        headers = {name.decode("ascii"): value.decode("latin-1") for name, value in event.headers}
        if self.protocol.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=HTTPStatus.CONTINUE, headers=[])
            self.sock.sendall(self.protocol.send(response))
        body = self._read_body()
        return Request(event.method.decode("ascii"), event.target.decode("latin-1"), headers, body)

    def _read_body(self) -> bytes:
        """Read the body; raise ``BodyError`` if it is larger than the limit."""
        body = bytearray()
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                self.budget.update(self, len(body))
                self.protocol.receive_data(self._receive())
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self.max_body_bytes:
                    raise BodyError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"over {self.max_body_bytes} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise ConnectionError("connection closed before the end of the request body")

    def _receive(self) -> bytes:
        """Receive bytes of the request, or none at the end of the peer's stream."""
        now_s = time.monotonic()
        timeout_s = self.idle_timeout_s if self.begun_s is None else self.begun_s + REQUEST_TIMEOUT_S - now_s
        try:
            self.sock.settimeout(max(timeout_s, 1e-3))
            data = self.sock.recv(READ_SIZE)
        except TimeoutError:
            if self.begun_s is None:
                raise
            raise RequestError(
                HTTPStatus.REQUEST_TIMEOUT, f"not complete within {REQUEST_TIMEOUT_S:g} s"
            ) from None
        if self.evicted:
            if self.begun_s is None and not data:
                raise ConnectionAbortedError("evicted while idle")
            raise RequestError(HTTPStatus.SERVICE_UNAVAILABLE, "too many incomplete requests")
        if self.begun_s is None:
            self.begun_s = time.monotonic()
        return data
