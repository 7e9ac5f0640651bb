"""An HTTP/1.1 server: one thread per connection, with limits on time, memory and number of connections."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from http import HTTPStatus

import h11
import structlog

from rainpick.http1.bodies import BodyError, decode_body
from rainpick.http1.lingering_close import LingeringClose
from rainpick.http1.messages import Handler, Request, Response
from rainpick.http1.request_reader import MAX_HEAD_BYTES, RequestError, RequestReader
from rainpick.net.buffer_budget import BufferBudget
from rainpick.net.streams import INCOMPLETE_BYTES_MAX, LARGE_MESSAGE_BYTES, is_reset

MAX_BACKLOG = 1024
ACCEPT_RETRY_S = 0.02  # pause after a failed accept
# A connection that has waited this long for the rest of a request may be evicted for a new connection.
EVICTION_AGE_S = 1.0
WRITE_TIMEOUT_S = 10.0  # a client must accept a response within this time
RETRY_AFTER_S = 1
TOO_MANY_CONNECTIONS = (
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
)


class Server:
    """Starts listening when constructed and answers requests with ``handler`` until ``close``.

    The attribute ``address`` is the bound address. At most ``max_connections`` connections are open at once.
    For another one, the connection that has waited longest for the rest of a request is evicted, or the new
    one is rejected with 503. A connection that receives nothing for ``idle_timeout_s`` is closed.

    A request of which a part was read gets a response, whatever happens. The requests of a client that has
    closed its connection without reading the responses are not carried out.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        handler: Handler,
        max_body_bytes: int = 65_536,
        max_connections: int = 256,
        idle_timeout_s: float = 60.0,
    ):
        self.name = name
        self.handler = handler
        self.max_body_bytes = max_body_bytes
        self.max_connections = max_connections
        self.idle_timeout_s = idle_timeout_s
        self.log = structlog.get_logger(front=name)
        self.closing = False
        self.budget = BufferBudget(max(INCOMPLETE_BYTES_MAX, 2 * max_body_bytes))
        # Held while a large request is decoded and handled: decoded, it takes many times the memory.
        self.large_requests = threading.Lock()
        self.lingering = LingeringClose(name)
        self._lock = threading.Lock()
        self._readers: dict[socket.socket, RequestReader] = {}  # of open connections; guarded by the lock
        self.socket = socket.create_server(address, backlog=min(MAX_BACKLOG, max_connections))
        self.address: tuple[str, int] = self.socket.getsockname()[:2]
        self.thread = threading.Thread(target=self._accept, name=f"{name}-accept", daemon=True)
        self.thread.start()

    def _accept(self) -> None:
        """Accept connections until the server is closed; runs in the accept thread."""
        while not self.closing:
            try:
                sock, peer = self.socket.accept()
            except OSError as error:
                # No file descriptor is free, or the client has gone already. Neither may end the server.
                if not self.closing:
                    self.log.warning("connection not accepted", reason=str(error))
                    time.sleep(ACCEPT_RETRY_S)
                continue
            try:
                self._admit(sock, peer[0])
            except (OSError, RuntimeError) as error:  # the client has gone, or no thread can be started
                self.log.warning("connection not served", peer=peer[0], reason=str(error))
                self._forget(sock)
                sock.close()

    def _admit(self, sock: socket.socket, peer: str) -> None:
        """Start to serve a connection, or reject it if too many are open."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        reader = RequestReader(sock, protocol, self.budget, self.max_body_bytes, self.idle_timeout_s)
        with self._lock:
            is_full = len(self._readers) >= self.max_connections
            victim = self._oldest_waiting() if is_full else None
            if not is_full or victim is not None:
                self._readers[sock] = reader
            if victim is not None:
                del self._readers[victim.sock]  # its thread answers and ends
        if victim is not None:
            victim.evict()
        elif is_full:
            self.log.warning("connection rejected", peer=peer, reason="too many open connections")
            sock.send(TOO_MANY_CONNECTIONS, socket.MSG_DONTWAIT)
            self.lingering.add(sock)
            return
        threading.Thread(target=self._serve, args=(reader,), name=self.name, daemon=True).start()

    def _oldest_waiting(self) -> RequestReader | None:
        """Return the connection that has waited longest, if long enough. The caller must hold the lock."""
        waiting = [
            (reader.waiting_since_s, number, reader)
            for number, reader in enumerate(self._readers.values())
            if reader.waiting_since_s is not None
        ]
        since_s, _, oldest = min(waiting, default=(0.0, 0, None))
        return oldest if oldest is not None and time.monotonic() - since_s >= EVICTION_AGE_S else None

    def _forget(self, sock: socket.socket) -> None:
        with self._lock:
            self._readers.pop(sock, None)

    def _serve(self, reader: RequestReader) -> None:
        """Serve the requests of one connection in sequence; runs in the connection's thread."""
        sock = reader.sock
        try:
            while self._exchange(reader):
                reader.protocol.start_next_cycle()
            self._forget(sock)
            self.lingering.add(sock)
        except (OSError, h11.LocalProtocolError):
            # The peer closed the connection or was idle too long; no response is due.
            self._forget(sock)
            sock.close()

    def _exchange(self, reader: RequestReader) -> bool:
        """Read one request and send its response; return whether the connection can be reused."""
        close_after = False
        try:
            request = reader.read()
            if request is None or is_reset(reader.sock):
                return False
            response = self._handle(request)
        except h11.RemoteProtocolError as error:
            self.log.warning("malformed request", reason=str(error))
            status = error.error_status_hint or HTTPStatus.BAD_REQUEST
            response, close_after = Response(status, str(error).encode(), "text/plain"), True
        except RequestError as error:
            self.log.warning("request given up", reason=str(error))
            headers = (("retry-after", str(RETRY_AFTER_S)),)
            response = Response(error.status, str(error).encode(), "text/plain", headers)
            close_after = True
        except BodyError as error:
            response = Response(error.status, str(error).encode(), "text/plain")
            close_after = error.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE  # rest of the body unread
        except OSError:
            raise
        except Exception:  # a handler error must not end the thread without a response
            self.log.exception("handler failed")
            response, close_after = Response(HTTPStatus.INTERNAL_SERVER_ERROR, b"", "text/plain"), True
        return self._send_response(reader, response, close_after)

    def _handle(self, request: Request) -> Response:
        """Decode the body of a request and carry it out; large ones one by one."""
        encoding = request.headers.get("content-encoding", "identity").lower()
        if encoding == "identity" and len(request.body) < LARGE_MESSAGE_BYTES:
            return self.handler(request)
        with self.large_requests:
            request = request._replace(body=decode_body(request.body, encoding, self.max_body_bytes))
            if len(request.body) >= LARGE_MESSAGE_BYTES:
                return self.handler(request)
        return self.handler(request)

    def _send_response(self, reader: RequestReader, response: Response, close_after: bool) -> bool:
        """Send a response if the protocol state allows it; return whether the connection can be reused."""
        protocol = reader.protocol
        if protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return False
        headers = [
            ("content-type", response.content_type),
            ("content-length", str(len(response.body))),
            *response.headers,
        ]
        if close_after or self.closing:
            headers.append(("connection", "close"))
        data = protocol.send(h11.Response(status_code=response.status, headers=headers))
        if response.body:
            data += protocol.send(h11.Data(data=response.body))
        reader.sock.settimeout(WRITE_TIMEOUT_S)
        reader.sock.sendall(data + protocol.send(h11.EndOfMessage()))
        return protocol.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE} and not reader.evicted

    def close(self) -> None:
        """Stop listening and shut down all open connections."""
        self.closing = True
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        with self._lock:
            for sock in self._readers:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
