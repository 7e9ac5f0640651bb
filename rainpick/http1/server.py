"""An HTTP/1.1 server: one thread per connection, with limits on body size and number of connections."""

from __future__ import annotations

import contextlib
import socket
import threading
from http import HTTPStatus

import h11
import structlog

from rainpick.http1.bodies import READ_SIZE, BodyError, decode_body, read_body
from rainpick.http1.messages import Handler, Request, Response

MAX_HEAD_BYTES = 16_384  # request line and headers together
MAX_BACKLOG = 1024
TOO_MANY_CONNECTIONS = (
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
)


class Server:
    """Starts listening when constructed and answers requests with ``handler`` until ``close``.

    The attribute ``address`` is the bound address. At most ``max_connections`` connections are open at once;
    another one is rejected with 503. A connection that receives nothing for ``idle_timeout_s`` is closed.
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
        self.idle_timeout_s = idle_timeout_s
        self.log = structlog.get_logger(front=name)
        self.closing = False
        self._slots = threading.BoundedSemaphore(max_connections)
        self._lock = threading.Lock()
        self._open_sockets: set[socket.socket] = set()  # guarded by the lock
        self.socket = socket.create_server(address, backlog=min(MAX_BACKLOG, max_connections))
        self.address: tuple[str, int] = self.socket.getsockname()[:2]
        self.thread = threading.Thread(target=self._accept, name=f"{name}-accept", daemon=True)
        self.thread.start()

    def _accept(self) -> None:
        """Accept connections; runs in the accept thread."""
        while not self.closing:
            try:
                sock, peer = self.socket.accept()
            except OSError:
                return
            if not self._slots.acquire(blocking=False):
                self.log.warning("connection rejected", peer=peer[0], reason="too many open connections")
                with contextlib.suppress(OSError):
                    sock.send(TOO_MANY_CONNECTIONS, socket.MSG_DONTWAIT)
                sock.close()
                continue
            with self._lock:
                self._open_sockets.add(sock)
            threading.Thread(target=self._serve, args=(sock,), name=self.name, daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        """Serve the requests of one connection in sequence; runs in the connection's thread."""
        try:
            sock.settimeout(self.idle_timeout_s)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
            while self._exchange(protocol, sock):
                protocol.start_next_cycle()
        except (OSError, h11.LocalProtocolError):
            pass  # the peer closed the connection or was idle too long; no response is due
        finally:
            with self._lock:
                self._open_sockets.discard(sock)
            sock.close()
            self._slots.release()

    def _exchange(self, protocol: h11.Connection, sock: socket.socket) -> bool:
        """Read one request and send its response; return whether the connection can be reused."""
        close_after = False
        try:
            request = self._read_request(protocol, sock)
            if request is None:
                return False
            response = self.handler(request)
        except h11.RemoteProtocolError as error:
            self.log.warning("malformed request", reason=str(error))
            status = error.error_status_hint or HTTPStatus.BAD_REQUEST
            response, close_after = Response(status, str(error).encode(), "text/plain"), True
        except BodyError as error:
            response = Response(error.status, str(error).encode(), "text/plain")
            close_after = error.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE  # rest of the body unread
        except OSError:
            raise
        except Exception:  # a handler error must not end the thread without a response
            self.log.exception("handler failed")
            response, close_after = Response(HTTPStatus.INTERNAL_SERVER_ERROR, b"", "text/plain"), True
        return self._send_response(protocol, sock, response, close_after)

    def _read_request(self, protocol: h11.Connection, sock: socket.socket) -> Request | None:
        """Read the next request with its decoded body; return None if the peer closed the connection."""
        while (event := protocol.next_event()) is h11.NEED_DATA:
            protocol.receive_data(sock.recv(READ_SIZE))
        if not isinstance(event, h11.Request):
            return None
        headers = {name.decode("ascii"): value.decode("latin-1") for name, value in event.headers}
        if protocol.they_are_waiting_for_100_continue:
            sock.sendall(
                protocol.send(h11.InformationalResponse(status_code=HTTPStatus.CONTINUE, headers=[]))
            )
        body = read_body(protocol, sock, self.max_body_bytes)
        content_encoding = headers.get("content-encoding", "identity").lower()
        body = decode_body(body, content_encoding, self.max_body_bytes)
        return Request(event.method.decode("ascii"), event.target.decode("latin-1"), headers, body)

    def _send_response(
        self, protocol: h11.Connection, sock: socket.socket, response: Response, close_after: bool
    ) -> bool:
        """Send a response if the protocol state allows it; return whether the connection can be reused."""
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
        sock.sendall(data + protocol.send(h11.EndOfMessage()))
        return protocol.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}

    def close(self) -> None:
        """Stop listening and shut down all open connections."""
        self.closing = True
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        with self._lock:
            for sock in self._open_sockets:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
