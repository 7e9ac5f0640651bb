"""Streams and listeners over blocking sockets, for peers that connect to this process.

Each stream has its own thread that reads and parses. Only the thread that owns the stream writes to it.
Writes never block, so a peer that does not read cannot delay other peers.
"""

from __future__ import annotations

import _thread
import contextlib
import fcntl
import select
import socket
import struct
import termios
import threading
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from rainpick.net import StreamEnded
from rainpick.net.buffer_budget import BufferBudget
from rainpick.net.flow_control import FlowControl

READ_SIZE = 16_384  # bytes
SEND_BUFFER_SIZE = 65_536  # bytes; small, so that a peer that does not read is detected early
NONBLOCKING_SEND = int(socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
ACCEPT_RETRY_S = 0.02  # pause after a failed accept
UNSENT_LIMIT = 1_048_576  # bytes queued in addition to the socket buffer; a reading peer stays far below it
INCOMPLETE_BYTES_MAX = 8 << 20  # bytes of all incomplete messages
LARGE_MESSAGE_BYTES = 32_768
EVICTION_REASON = "too many incomplete messages"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # ``struct linger`` with a timeout of 0 s


class StreamParser(Protocol):
    """Parses the bytes received from a peer into events, without I/O."""

    def receive(self, data: bytes) -> Sequence[object]:
        """Return the events that these bytes complete, in order. No event follows ``StreamEnded``."""

    def buffered(self) -> int:
        """Return the number of bytes of the incomplete message."""

    def abandon(self, reason: str) -> Sequence[object]:
        """Return the events that end the stream because its incomplete message is given up."""


def is_reset(sock: socket.socket) -> bool:
    """Return whether the peer has reset a connection, as it does if it closes with bytes left unread.

    A peer that has only ended its writing may still read answers.
    """
    poll = select.poll()
    try:
        poll.register(sock, 0)  # errors are always reported
        return bool(poll.poll(0))
    except (OSError, ValueError):
        return True


class StreamLimits:
    """Limits on the memory of messages, shared by streams.

    ``budget`` limits the bytes of incomplete messages. ``large_messages`` is held while one of at least
    ``LARGE_MESSAGE_BYTES`` is decoded and handled: decoded, it takes many times the memory.
    """

    def __init__(self, max_incomplete_bytes: int):
        self.budget = BufferBudget(max_incomplete_bytes)
        self.large_messages = threading.Lock()


class PendingDelivery(NamedTuple):
    """A tracked message; ``end`` is the number of bytes written to the stream up to its last byte."""

    end: int
    message: int


class Stream:
    """One connection of a peer.

    The reading thread passes each event of ``parser`` to ``on_event``, in order; the last one is
    ``StreamEnded``. The stream does not interpret any other event. Only the owner's thread may call
    ``write``, ``flush``, ``newest_delivered`` and ``close``.

    ``limits`` bounds the memory of the messages of all streams that share it. ``flow`` counts the events that
    the owner's thread has not handled yet, for owners that use it.
    """

    def __init__(
        self,
        number: int,
        sock: socket.socket,
        peer: str,
        parser: StreamParser,
        on_event: Callable[[Stream, object], None],
        limits: StreamLimits | None = None,
    ):
        self.limits = limits or StreamLimits(INCOMPLETE_BYTES_MAX)
        self.flow = FlowControl()
        self.evicted = False
        self.number = number
        self.sock = sock
        self.peer = peer
        self.parser = parser
        self.on_event = on_event
        self.unsent = bytearray()  # bytes that did not fit into the socket buffer
        self.written = 0  # bytes written in total, including ``unsent``
        self.pending: deque[PendingDelivery] = deque()  # tracked messages not yet delivered, oldest first
        self.closed = False
        self.reading = False
        self.close_lock = threading.Lock()  # guards ``closed`` and ``reading``
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_SIZE)

    def start(self) -> None:
        """Start the reading thread; raise ``RuntimeError`` if no thread can be started.

        ``threading.Thread.start`` would block until the new thread runs, which is too slow when hundreds of
        peers connect at once.
        """
        self.reading = True
        try:
            _thread.start_new_thread(self._read, ())
        except RuntimeError:
            self.reading = False
            raise

    def _read(self) -> None:
        """Report events, the last of which is ``StreamEnded``. Runs in the reading thread."""
        try:
            self._report_events()
        except OSError as error:
            self.on_event(self, StreamEnded(b"", error.strerror or type(error).__name__))
        except Exception as error:  # noqa: BLE001 - an error in parsing a peer's bytes must end only its stream
            self.on_event(self, StreamEnded(b"", f"{type(error).__name__}: {error}"))
        finally:
            self.limits.budget.remove(self)
            with self.close_lock:
                self.reading = False
                if self.closed:
                    self.sock.close()

    def _report_events(self) -> None:
        """Read and parse until the peer closes the connection or the parser ends the stream."""
        while True:
            data = self.sock.recv(READ_SIZE)
            if self.evicted:
                for event in self.parser.abandon(EVICTION_REASON):
                    self.on_event(self, event)
                return
            if not data or self.is_reset():
                why = "closed by the peer without reading" if data else "closed by the peer"
                self.on_event(self, StreamEnded(b"", why))
                return
            if self.parser.buffered() < LARGE_MESSAGE_BYTES:
                newest = self._parse(data)
            else:
                with self.limits.large_messages:
                    newest = self._parse(data)
                    self.flow.wait_until_idle()
            if isinstance(newest, StreamEnded):
                return
            self.limits.budget.update(self, self.parser.buffered(), is_next=newest is not None)

    def _parse(self, data: bytes) -> object:
        """Report the events that these bytes complete; return the newest, or None if there is none."""
        newest = None
        for newest in self.parser.receive(data):
            self.on_event(self, newest)
            if isinstance(newest, StreamEnded):
                break
        return newest

    def evict(self) -> None:
        """Make the reading thread give the incomplete message up and end the stream."""
        self.evicted = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)

    def is_reset(self) -> bool:
        """Return whether the peer has closed the connection without reading everything."""
        return is_reset(self.sock)

    def write(self, data: bytes, message: int | None = None) -> bool:
        """Send without blocking; return False if more than ``UNSENT_LIMIT`` bytes are queued for the peer.

        Bytes that do not fit into the socket buffer are queued. If ``message`` is given, the delivery of the
        message with that number is tracked, see ``newest_delivered``. A broken connection raises nothing
        here: the reading thread reports it.
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
        """Send as much of ``unsent`` as fits the socket buffer; discard it if the connection is broken."""
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
        """Return the number of the newest delivered message; None if unchanged since the last call.

        A message is delivered once the TCP stack of the peer's host has acknowledged all its bytes. The peer
        itself may not have read them.
        """
        if not self.pending or self.closed:
            return None
        try:
            unacknowledged = fcntl.ioctl(self.sock.fileno(), termios.TIOCOUTQ, b"\0\0\0\0")
        except (OSError, ValueError):
            return None
        in_socket_buffer = struct.unpack("i", unacknowledged)[0]
        acknowledged = self.written - len(self.unsent) - in_socket_buffer
        newest = None
        while self.pending and self.pending[0].end <= acknowledged:
            newest = self.pending.popleft().message
        return newest

    def close(self) -> None:
        """Shut the connection down.

        The file descriptor is closed only after the reading thread has finished. Otherwise a new connection
        could get the same descriptor, and the old reading thread would read the new peer's bytes.
        """
        with self.close_lock:
            if self.closed:
                return
            self.closed = True
            self.flow.cancel()
            with contextlib.suppress(OSError):
                if self.unsent:  # an orderly close would stay pending in the kernel if the peer never reads
                    self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                self.sock.shutdown(socket.SHUT_RDWR)
            if not self.reading:
                self.sock.close()


class Listener:
    """Accepts connections in ``thread``, which the owner starts, until ``close`` is called.

    The constructor binds the port; ``address`` is the bound address. ``on_connection`` receives each accepted
    socket and its peer as ``host:port``. If it raises ``OSError`` or ``RuntimeError``, the socket is closed.
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
        """Accept connections until the listener is closed. Runs in the accepting thread."""
        while not self.closing:
            try:
                sock, peer = self.socket.accept()
            except OSError:
                # No file descriptor is free, or the peer has already disconnected. Neither may end the
                # listener.
                time.sleep(0 if self.closing else ACCEPT_RETRY_S)
                continue
            try:
                self.on_connection(sock, f"{peer[0]}:{peer[1]}")
            except (OSError, RuntimeError):  # the peer reset the connection, or no thread could be started
                sock.close()

    def close(self) -> None:
        """Stop accepting connections and release the port."""
        self.closing = True
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
