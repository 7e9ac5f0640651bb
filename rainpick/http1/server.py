"""A server: one small thread a connection, bounded bodies, bounded connections."""

from __future__ import annotations

import contextlib
import socket
import threading
import zlib
from collections.abc import Callable
from typing import NamedTuple

import h11
import structlog

PIECE = 65_536


class Asked(NamedTuple):
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    status: int
    body: bytes = b""
    kind: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[Asked], Answer]


class BodyError(Exception):
    """A body that is not taken: status and reason."""

    def __init__(self, status: int, why: str):
        super().__init__(why)
        self.status = status


def unpack(body: bytes, most: int) -> bytes:
    """Gunzip at most so many bytes: a small body must not become a large one in memory."""
    machine = zlib.decompressobj(zlib.MAX_WBITS | 16)
    try:
        data = machine.decompress(body, most + 1)
    except zlib.error as flaw:
        raise BodyError(400, f"not gzip: {flaw}") from None
    if len(data) > most:
        raise BodyError(413, f"over {most} bytes unpacked")
    if not machine.eof:
        raise BodyError(400, "the gzip stream is cut off")
    return data


def read_body(asked: h11.Connection, sock: socket.socket, most: int) -> bytes:
    pieces, size = [], 0
    while True:
        event = asked.next_event()
        if event is h11.NEED_DATA:
            asked.receive_data(sock.recv(PIECE))
        elif isinstance(event, h11.Data):
            size += len(event.data)
            if size > most:
                raise BodyError(413, f"over {most} bytes")
            pieces.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return b"".join(pieces)
        else:
            raise ConnectionError("the connection was closed within a body")


class Server:
    """Listens and answers until ``close``. ``address`` is where it really listens."""

    def __init__(
        self,
        name: str,
        place: tuple[str, int],
        handler: Handler,
        body_most: int = PIECE,
        connections_most: int = 256,
        idle_s: float = 60.0,
    ):
        self.name, self.handler, self.body_most, self.idle_s = name, handler, body_most, idle_s
        self.log = structlog.get_logger(front=name)
        self.slots = threading.BoundedSemaphore(connections_most)
        self.open: set[socket.socket] = set()
        self.lock, self.closing = threading.Lock(), False
        self.socket = socket.create_server(place, backlog=min(1024, connections_most))
        self.address = self.socket.getsockname()[:2]
        self.thread = threading.Thread(target=self.accept, name=f"{name}-accept", daemon=True)
        self.thread.start()

    def accept(self) -> None:
        while not self.closing:
            try:
                sock, peer = self.socket.accept()
            except OSError:
                return
            if not self.slots.acquire(blocking=False):
                self.log.warning("connection refused", peer=peer[0], why="too many are open")
                with contextlib.suppress(OSError):
                    sock.send(
                        b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\n"
                        b"content-length: 0\r\n\r\n",
                        socket.MSG_DONTWAIT,
                    )
                sock.close()
                continue
            with self.lock:
                self.open.add(sock)
            threading.Thread(target=self.serve, args=(sock,), name=self.name, daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        try:
            sock.settimeout(self.idle_s)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            machine = h11.Connection(h11.SERVER, max_incomplete_event_size=16_384)
            while self.turn(machine, sock):
                machine.start_next_cycle()
        except (OSError, h11.LocalProtocolError):
            pass  # the peer went, or stood still too long: nothing is owed to it
        finally:
            with self.lock:
                self.open.discard(sock)
            sock.close()
            self.slots.release()

    def turn(self, machine: h11.Connection, sock: socket.socket) -> bool:
        """One request and its answer; whether the connection can go on."""
        try:
            while (event := machine.next_event()) is h11.NEED_DATA:
                machine.receive_data(sock.recv(PIECE))
            if not isinstance(event, h11.Request):
                return False
            headers = {name.decode("ascii"): value.decode("latin-1") for name, value in event.headers}
            if machine.they_are_waiting_for_100_continue:
                sock.sendall(machine.send(h11.InformationalResponse(status_code=100, headers=[])))
            body = read_body(machine, sock, self.body_most)
            packing = headers.get("content-encoding", "identity").lower()
            if packing == "gzip":
                body = unpack(body, self.body_most)
            elif packing != "identity":
                raise BodyError(415, f"content-encoding {packing!r} is not known; gzip is")
            method, path = event.method.decode("ascii"), event.target.decode("latin-1")
            answer = self.handler(Asked(method, path, headers, body))
        except h11.RemoteProtocolError as flaw:
            self.log.warning("not HTTP", why=str(flaw))
            answer, last = Answer(flaw.error_status_hint or 400, str(flaw).encode(), "text/plain"), True
        except BodyError as flaw:
            answer, last = Answer(flaw.status, str(flaw).encode(), "text/plain"), flaw.status == 413
        except OSError:
            raise
        except Exception:  # one call that trips the handler must not end the front
            self.log.exception("handler failed")
            answer, last = Answer(500, b"", "text/plain"), True
        else:
            last = False
        return self.answer(machine, sock, answer, last)

    def answer(self, machine: h11.Connection, sock: socket.socket, answer: Answer, last: bool) -> bool:
        if machine.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return False
        headers = [("content-type", answer.kind), ("content-length", str(len(answer.body))), *answer.headers]
        if last or self.closing:
            headers.append(("connection", "close"))
        data = machine.send(h11.Response(status_code=answer.status, headers=headers))
        data += machine.send(h11.Data(data=answer.body)) if answer.body else b""
        sock.sendall(data + machine.send(h11.EndOfMessage()))
        return machine.our_state is h11.DONE and machine.their_state is h11.DONE

    def close(self) -> None:
        self.closing = True
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        with self.lock:
            for sock in self.open:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
