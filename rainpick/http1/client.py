"""A client: one connection, one call at a time, reconnects when the last one ended."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

import h11

PIECE = 65_536
BODY_MOST = 16 << 20


class ClientError(Exception):
    """The call got no answer. ``sent``: whether the server may have seen it."""

    def __init__(self, text: str, sent: bool):
        super().__init__(text)
        self.sent = sent


class Client:
    """Calls one server. ``timeout_s`` is for a whole call, however slowly its pieces come.

    All but ``abort`` is for the one thread that calls. ``dial_s``: to connect, if not the time of a call.
    """

    def __init__(
        self,
        host: str,
        port: int,
        timeout_s: float = 5.0,
        body_most: int = BODY_MOST,
        dial_s: float | None = None,
    ):
        self.place, self.timeout_s, self.body_most, self.dial_s = (host, port), timeout_s, body_most, dial_s
        self.aborting, self.aborted = threading.Lock(), False
        self.sock: socket.socket | None = None
        self.machine: h11.Connection | None = None

    def call(
        self, method: str, path: str, body: bytes = b"", headers: tuple = (), timeout_s: float | None = None
    ) -> tuple[int, dict[str, str], bytes]:
        """Status, headers, body; ``ClientError`` if there is none in time."""
        sent, until = False, time.monotonic() + (timeout_s or self.timeout_s)
        try:
            if self.sock is None or self.aborted:
                self.dial(timeout_s or self.timeout_s)
            self.sock.settimeout(max(1e-3, until - time.monotonic()))
            host, port = self.place
            fields = [("host", f"{host}:{port}"), ("content-length", str(len(body))), *headers]
            data = self.machine.send(h11.Request(method=method, target=path, headers=fields))
            data += self.machine.send(h11.Data(data=body)) if body else b""
            sent = True
            self.sock.sendall(data + self.machine.send(h11.EndOfMessage()))
            return self.read(until)
        except (OSError, h11.ProtocolError) as error:
            self.close()
            raise ClientError("%s:%d: %s" % (*self.place, error or type(error).__name__), sent) from None

    def dial(self, timeout_s: float) -> None:
        sock = None if self.aborted else socket.create_connection(self.place, self.dial_s or timeout_s)
        with self.aborting:
            if self.aborted:
                if sock is not None:
                    sock.close()
                raise ConnectionAbortedError("aborted")
            self.sock = sock
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.machine = h11.Connection(h11.CLIENT)

    def read(self, until: float) -> tuple[int, dict[str, str], bytes]:
        status, headers, pieces, size = 0, {}, [], 0
        while True:
            event = self.machine.next_event()
            if event is h11.NEED_DATA:
                # Once the time is up, what has come already is still read: this thread may have got no turn.
                self.sock.settimeout(max(0.0, until - time.monotonic()))
                try:
                    data = self.sock.recv(PIECE)
                except BlockingIOError:
                    raise TimeoutError("timed out") from None
                if not data and self.machine.their_state is h11.SEND_RESPONSE:
                    raise ConnectionResetError("closed before the answer")
                self.machine.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {name.decode("ascii"): value.decode("latin-1") for name, value in event.headers}
            elif isinstance(event, h11.Data):
                pieces.append(bytes(event.data))
                size += len(event.data)
                if size > self.body_most:
                    raise ConnectionError(f"a body over {self.body_most} bytes")
            elif isinstance(event, h11.EndOfMessage):
                if self.machine.our_state is h11.MUST_CLOSE or self.machine.their_state is h11.MUST_CLOSE:
                    self.close()
                else:
                    self.machine.start_next_cycle()
                return status, headers, b"".join(pieces)
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before the answer")

    def abort(self) -> None:
        """For another thread, at any moment: the call that is under way fails, and so does any later one."""
        with self.aborting:
            self.aborted = True
            if self.sock is not None:
                with contextlib.suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        with self.aborting:  # or the other thread would shut down whoever gets the same descriptor next
            if self.sock is not None:
                with contextlib.suppress(OSError):
                    self.sock.close()
            self.sock = self.machine = None
