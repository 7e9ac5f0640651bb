"""Sockets of peers that dial in: a small reading thread each; only the core writes, and never waits."""

from __future__ import annotations

import _thread
import contextlib
import fcntl
import socket
import struct
import termios
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

from rainpick.net import Ended

PIECE = 16_384
SEND_BUFFER = 65_536  # small, so that a peer that does not read shows soon
NOW = int(socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)  # a send that never waits
PAUSE_S = 0.02  # before the next try to accept
BACKLOG = 1_048_576  # bytes held for a peer beyond what its socket took; no honest one gets there


class End(Protocol):
    """Cuts what a peer sends into pieces, without I/O; after ``Ended`` nothing more comes."""

    def receive(self, data: bytes) -> list: ...


class Stream:
    """One stream. ``give`` hands what came to the core, in order; it ends with ``Ended``.

    ``end`` cuts what comes into pieces within the reading thread; all else about them is the core's.
    """

    def __init__(
        self, number: int, sock: socket.socket, peer: str, end: End, give: Callable[[Stream, object], None]
    ):
        self.number, self.sock, self.peer, self.give, self.end = number, sock, peer, give, end
        self.rest = bytearray()  # what the socket has not taken yet
        self.handed = 0  # bytes written in all, the rest included
        self.marks: deque[tuple[int, int]] = deque()  # (bytes handed by then, number of the message)
        self.closed = self.reading = False
        self.ending = threading.Lock()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)

    def start(self) -> None:
        """Begin to read. Not a ``Thread``: starting one waits for it, and hundreds dial at once."""
        self.reading = True
        try:
            _thread.start_new_thread(self.read, ())
        except RuntimeError:
            self.reading = False
            raise

    def read(self) -> None:
        try:
            while True:
                data = self.sock.recv(PIECE)
                if not data:
                    self.give(self, Ended(b"", "closed by the peer"))
                    return
                for found in self.end.receive(data):
                    self.give(self, found)
                    if isinstance(found, Ended):
                        return
        except OSError as error:
            self.give(self, Ended(b"", error.strerror or type(error).__name__))
        except Exception as error:  # whatever its bytes trip costs this peer alone
            self.give(self, Ended(b"", f"{type(error).__name__}: {error}"))
        finally:
            with self.ending:
                self.reading = False
                if self.closed:
                    self.sock.close()

    # For the core alone

    def write(self, data: bytes, mark: int | None = None) -> bool:
        """Send without waiting; False if the peer has let too much pile up."""
        self.handed += len(data)
        if mark is not None:
            self.marks.append((self.handed, mark))
        if not self.rest and not self.closed:
            try:
                data = data[self.sock.send(data, NOW) :]
            except BlockingIOError:
                pass
            except OSError:
                return True  # its reader will say that it broke
        if data:
            self.rest += data
            self.pump()
        return len(self.rest) <= BACKLOG

    def pump(self) -> None:
        """Send what the socket takes of the rest."""
        while self.rest and not self.closed:
            try:
                sent = self.sock.send(self.rest, NOW)
            except BlockingIOError:
                return
            except OSError:
                self.rest.clear()  # its reader will say that it broke
                return
            del self.rest[:sent]

    def delivered(self) -> int | None:
        """The newest message that the peer's machine has taken whole, if any since the last call."""
        if not self.marks or self.closed:
            return None
        try:
            answer = fcntl.ioctl(self.sock.fileno(), termios.TIOCOUTQ, b"\0\0\0\0")
        except (OSError, ValueError):
            return None
        taken = self.handed - len(self.rest) - struct.unpack("i", answer)[0]
        newest = None
        while self.marks and self.marks[0][0] <= taken:
            newest = self.marks.popleft()[1]
        return newest

    def close(self) -> None:
        """End it. Its descriptor is freed once the reader is done as well: the next peer may get the same
        number, and a reader that was about to use it would take that peer's bytes.
        """
        with self.ending:
            if self.closed:
                return
            self.closed = True
            with contextlib.suppress(OSError):
                if self.rest:  # a peer that does not read would keep an ordinary end waiting in the kernel
                    self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                self.sock.shutdown(socket.SHUT_RDWR)
            if not self.reading:
                self.sock.close()


class Listener:
    """Accepts streams until ``close``."""

    def __init__(self, place: tuple[str, int], backlog: int, give: Callable[[socket.socket, str], None]):
        self.socket = socket.create_server(place, backlog=backlog)
        self.address, self.give, self.closing = self.socket.getsockname()[:2], give, False
        self.thread = threading.Thread(target=self.accept, name="accept", daemon=True)

    def accept(self) -> None:
        while not self.closing:
            try:
                sock, peer = self.socket.accept()
            except OSError:
                # Out of descriptors, or the peer has gone again: the front must outlive both.
                time.sleep(0 if self.closing else PAUSE_S)
                continue
            try:
                self.give(sock, f"{peer[0]}:{peer[1]}")
            except (OSError, RuntimeError):  # it was reset meanwhile, or no thread is to be had
                sock.close()

    def close(self) -> None:
        self.closing = True
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
