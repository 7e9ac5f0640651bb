"""Streams and listeners on blocking sockets, for peers that connect to this process.

Each stream has one small thread that reads and parses. All writes come from the thread that owns the stream;
they never block, so that a peer that does not read holds up nobody else.
"""

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
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from rainpick.net import StreamEnded

READ_SIZE = 16_384  # bytes
SEND_BUFFER_SIZE = 65_536  # bytes; small, so that a peer that does not read is noticed soon
NONBLOCKING_SEND = int(socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
ACCEPT_RETRY_S = 0.02  # pause after a failed accept
UNSENT_LIMIT = 1_048_576  # bytes queued beyond the socket buffer; a peer that reads stays far below
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger: on, 0 s


class StreamParser(Protocol):
    """Turns the bytes of a peer into events, without I/O."""

    def receive(self, data: bytes) -> Sequence[object]:
        """The events that these bytes complete, in order. ``StreamEnded`` is always the last one."""


class PendingDelivery(NamedTuple):
    """A message whose delivery is tracked: it ends at byte ``end`` of everything written to the stream."""

    end: int
    message: int


class Stream:
    """One connection of a peer.

    The reading thread passes each event of ``parser`` to ``on_event``, in order; the last one is
    ``StreamEnded``. Everything else about the parser's events belongs to the owner of the stream, and
    ``write``, ``flush``, ``newest_delivered`` and ``close`` are for the owner's thread alone.
    """

    def __init__(
        self,
        number: int,
        sock: socket.socket,
        peer: str,
        parser: StreamParser,
        on_event: Callable[[Stream, object], None],
    ):
        self.number = number
        self.sock = sock
        self.peer = peer
        self.parser = parser
        self.on_event = on_event
        self.unsent = bytearray()  # what the socket buffer had no space for yet
        self.written = 0  # bytes written in total, ``unsent`` included
        self.pending: deque[PendingDelivery] = deque()  # in the order of writing
        self.closed = False
        self.reading = False
        self.close_lock = threading.Lock()  # guards ``closed`` and ``reading``
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_SIZE)

    def start(self) -> None:
        """Start the reading thread; ``RuntimeError`` if none can be started.

        This is not a ``threading.Thread``, whose start waits for the new thread: hundreds of peers connect
        at once.
        """
        self.reading = True
        try:
            _thread.start_new_thread(self._read, ())
        except RuntimeError:
            self.reading = False
            raise

    def _read(self) -> None:
        """Body of the reading thread: report events until the stream ends."""
        try:
            self._report_events()
        except OSError as error:
            self.on_event(self, StreamEnded(b"", error.strerror or type(error).__name__))
        except Exception as error:  # noqa: BLE001 - a fault that a peer's bytes trigger must end only its stream
            self.on_event(self, StreamEnded(b"", f"{type(error).__name__}: {error}"))
        finally:
            with self.close_lock:
                self.reading = False
                if self.closed:
                    self.sock.close()

    def _report_events(self) -> None:
        """Read and parse until the peer closes the connection or the parser ends the stream."""
        while True:
            data = self.sock.recv(READ_SIZE)
            if not data:
                self.on_event(self, StreamEnded(b"", "closed by the peer"))
                return
            for event in self.parser.receive(data):
                self.on_event(self, event)
                if isinstance(event, StreamEnded):
                    return

    def write(self, data: bytes, message: int | None = None) -> bool:
        """Send without blocking; False if more than ``UNSENT_LIMIT`` bytes are queued for the peer.

        With a ``message`` number its delivery is tracked: see ``newest_delivered``. A broken connection is
        not an error here: the reading thread reports it.
        """
        self.written += len(data)
        if message is not None:
            self.pending.append(PendingDelivery(self.written, message))
        if not self.unsent and not self.closed:
            try:
                data = data[self.sock.send(data, NONBLOCKING_SEND) :]
            except BlockingIOError:
                pass
            except OSError:
                return True
        if data:
            self.unsent += data
            self.flush()
        return len(self.unsent) <= UNSENT_LIMIT

    def flush(self) -> None:
        """Send what the socket buffer has space for of ``unsent``; drop all if the connection is broken."""
        while self.unsent and not self.closed:
            try:
                sent = self.sock.send(self.unsent, NONBLOCKING_SEND)
            except BlockingIOError:
                return
            except OSError:
                self.unsent.clear()
                return
            del self.unsent[:sent]

    def newest_delivered(self) -> int | None:
        """Number of the newest message that the peer's host has acknowledged completely (TCP, not the peer
        itself); None if there is no newer one than at the last call.
        """
        if not self.pending or self.closed:
            return None
        try:
            answer = fcntl.ioctl(self.sock.fileno(), termios.TIOCOUTQ, b"\0\0\0\0")
        except (OSError, ValueError):
            return None
        in_socket_buffer = struct.unpack("i", answer)[0]
        acknowledged = self.written - len(self.unsent) - in_socket_buffer
        newest = None
        while self.pending and self.pending[0].end <= acknowledged:
            newest = self.pending.popleft().message
        return newest

    def close(self) -> None:
        """Shut the connection down.

        The descriptor is freed only when the reading thread is done as well: the next connection may get the
        same descriptor, and a reading thread that was about to use it would take that peer's bytes.
        """
        with self.close_lock:
            if self.closed:
                return
            self.closed = True
            with contextlib.suppress(OSError):
                if self.unsent:  # a peer that does not read would keep an orderly close waiting in the kernel
                    self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                self.sock.shutdown(socket.SHUT_RDWR)
            if not self.reading:
                self.sock.close()


class Listener:
    """Accepts connections in the thread ``thread``, once the owner has started it, until ``close``.

    The port is bound at once and ``address`` is the real one. ``on_connection`` gets each socket with the
    peer as ``host:port``; a socket for which it raises ``OSError`` or ``RuntimeError`` is closed.
    """

    def __init__(
        self, address: tuple[str, int], backlog: int, on_connection: Callable[[socket.socket, str], None]
    ):
        self.socket = socket.create_server(address, backlog=backlog)
        self.address: tuple[str, int] = self.socket.getsockname()[:2]
        self.on_connection = on_connection
        self.closing = False
        self.thread = threading.Thread(target=self._accept, name="accept", daemon=True)

    def _accept(self) -> None:
        """Body of the accepting thread."""
        while not self.closing:
            try:
                sock, peer = self.socket.accept()
            except OSError:
                # No descriptors left, or the peer is gone already: the listener must outlive both.
                time.sleep(0 if self.closing else ACCEPT_RETRY_S)
                continue
            try:
                self.on_connection(sock, f"{peer[0]}:{peer[1]}")
            except (OSError, RuntimeError):  # the peer reset the connection, or no thread could be started
                sock.close()

    def close(self) -> None:
        """Stop accepting and free the port."""
        self.closing = True
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
