"""An HTTP/1.1 client: one connection, one request at a time, reconnecting after the connection ended."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import NamedTuple

import h11

READ_SIZE = 65_536  # bytes
MAX_BODY_BYTES = 16 << 20
MIN_TIMEOUT_S = 1e-3  # a timeout of 0 would make the socket non-blocking

HeaderFields = tuple[tuple[str, str], ...]


class ClientError(Exception):
    """A request got no response; ``sent`` is whether the server may have received the request."""

    def __init__(self, text: str, sent: bool):
        super().__init__(text)
        self.sent = sent


class ClientResponse(NamedTuple):
    """A response: status code, headers by lower-case name, and the complete body."""

    status: int
    headers: dict[str, str]
    body: bytes


class _Connection(NamedTuple):
    """A socket and the HTTP protocol state of its connection."""

    sock: socket.socket
    protocol: h11.Connection


class Client:
    """Sends requests to one server.

    ``timeout_s`` limits the total time of a request, however slowly the response arrives;
    ``connect_timeout_s`` limits connecting, by default to the timeout of the request. A response body over
    ``max_body_bytes`` is an error. Only ``abort`` may be called from a thread other than the requesting one.
    """

    def __init__(
        self,
        host: str,
        port: int,
        timeout_s: float = 5.0,
        max_body_bytes: int = MAX_BODY_BYTES,
        connect_timeout_s: float | None = None,
    ):
        self.address = (host, port)
        self.timeout_s = timeout_s
        self.max_body_bytes = max_body_bytes
        self.connect_timeout_s = connect_timeout_s
        # Guards the two fields below: ``abort`` must not shut down a descriptor that was closed and reused.
        self._lock = threading.Lock()
        self._aborted = False
        self._connection: _Connection | None = None

    @property
    def connected(self) -> bool:
        """Whether a connection is open that the next request can reuse."""
        return self._connection is not None

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: HeaderFields = (),
        timeout_s: float | None = None,
    ) -> ClientResponse:
        """Send a request and wait for its response; raise ``ClientError`` if it fails or times out."""
        timeout_s = timeout_s or self.timeout_s
        deadline = time.monotonic() + timeout_s
        sent = False
        try:
            connection = self._connection
            if connection is None or self._aborted:
                connection = self._connect(timeout_s)
            connection.sock.settimeout(max(MIN_TIMEOUT_S, deadline - time.monotonic()))
            request = self._request_bytes(connection.protocol, method, path, body, headers)
            sent = True
            connection.sock.sendall(request)
            return self._read_response(connection, deadline)
        except (OSError, h11.ProtocolError) as error:
            self.close()
            raise ClientError("%s:%d: %s" % (*self.address, error), sent) from None

    def _connect(self, timeout_s: float) -> _Connection:
        """Open a connection; raise ``ConnectionAbortedError`` if ``abort`` was called before or meanwhile."""
        if self._aborted:
            raise ConnectionAbortedError("aborted")
        sock = socket.create_connection(self.address, self.connect_timeout_s or timeout_s)
        connection = _Connection(sock, h11.Connection(h11.CLIENT))
        with self._lock:
            if self._aborted:
                sock.close()
                raise ConnectionAbortedError("aborted")
            self._connection = connection
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def _request_bytes(
        self, protocol: h11.Connection, method: str, path: str, body: bytes, headers: HeaderFields
    ) -> bytes:
        """Encode the complete request, so that it is sent at once."""
        host, port = self.address
        fields = [("host", f"{host}:{port}"), ("content-length", str(len(body))), *headers]
        data = protocol.send(h11.Request(method=method, target=path, headers=fields))
        if body:
            data += protocol.send(h11.Data(data=body))
        return data + protocol.send(h11.EndOfMessage())

    def _read_response(self, connection: _Connection, deadline: float) -> ClientResponse:
        """Read one complete response; raise ``OSError`` or ``h11.ProtocolError`` on failure."""
        status, size = 0, 0
        headers: dict[str, str] = {}
        chunks: list[bytes] = []
        while True:
            event = self._next_event(connection, deadline)
            if isinstance(event, h11.Response):
                status = event.status_code
                headers = {name.decode("ascii"): value.decode("latin-1") for name, value in event.headers}
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
                size += len(event.data)
                if size > self.max_body_bytes:
                    raise ConnectionError(f"the response body exceeds {self.max_body_bytes} bytes")
            elif isinstance(event, h11.EndOfMessage):
                self._finish_exchange(connection.protocol)
                return ClientResponse(status, headers, b"".join(chunks))
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("connection closed before the response")

    @staticmethod
    def _next_event(connection: _Connection, deadline: float) -> object:
        """Return the next event of the response, reading from the socket as needed.

        After the deadline, bytes that already arrived are still read: this thread may not have been scheduled
        since they arrived.
        """
        sock, protocol = connection
        while (event := protocol.next_event()) is h11.NEED_DATA:
            sock.settimeout(max(0.0, deadline - time.monotonic()))
            try:
                data = sock.recv(READ_SIZE)
            except BlockingIOError:
                raise TimeoutError("timed out") from None
            if not data and protocol.their_state is h11.SEND_RESPONSE:
                raise ConnectionResetError("connection closed before the response")
            protocol.receive_data(data)
        return event

    def _finish_exchange(self, protocol: h11.Connection) -> None:
        """Prepare the connection for the next request, or close it if it cannot be reused."""
        if h11.MUST_CLOSE in (protocol.our_state, protocol.their_state):
            self.close()
        else:
            protocol.start_next_cycle()

    def abort(self) -> None:
        """Fail the current request and all later ones; safe from any thread at any time."""
        with self._lock:
            self._aborted = True
            if self._connection is not None:
                with contextlib.suppress(OSError):
                    self._connection.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        with self._lock:
            if self._connection is not None:
                with contextlib.suppress(OSError):
                    self._connection.sock.close()
            self._connection = None
