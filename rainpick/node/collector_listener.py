"""The director's address: heartbeats, collectors, and peers that are neither, limited in number and time."""

from __future__ import annotations

import socket
import threading
import time
from collections import OrderedDict
from itertools import count

from rainpick import model
from rainpick.net import StreamEnded
from rainpick.net.streams import Listener, Stream
from rainpick.node.configuration import SocketAddress, Vocabulary
from rainpick.node.frame_codec import (
    HEARTBEAT_ANSWER,
    CollectorJoined,
    FrameReader,
    Heartbeat,
    MalformedReport,
)
from rainpick.node.log import log
from rainpick.node.mailbox import Mailbox

BACKLOG = 1_024
JOIN_TIMEOUT_S = 1.2  # the platform allows to close after 1 s and wants it done within 3
PENDING_LIMIT = 256  # peers at once that have not joined; a quarter of the descriptors, if that is less
COLLECTOR_LIMIT = 4  # at once for a zone: the newest, as an old one may be dead and silent
UNREAD_LIMIT = 4_096  # bytes that a peer may leave unread
LOAD_REPORTS = model.ServerLoadReport, model.RouteLoadReport


class CollectorListener:
    """Listens at once; ``start`` accepts peers. Only a peer's own reading thread writes to it.

    A peer is *pending* until it joins as a collector. Pending peers are closed after a while, the oldest ones
    earlier if there are too many.
    """

    def __init__(self, listen: SocketAddress, vocabulary: Vocabulary, sockets: int, mailbox: Mailbox):
        self.vocabulary = vocabulary
        self.mailbox = mailbox
        self.lock = threading.Lock()  # of the two maps of streams
        self.pending_limit = max(1, min(PENDING_LIMIT, sockets // 4))
        self.stream_numbers = count(1)
        self.pending: OrderedDict[Stream, float] = OrderedDict()  # the oldest first, with its deadline
        self.collectors: dict[Stream, int] = {}  # the oldest first, with its zone
        # By the names of the log's ``status``: "let_go" counts peers that were closed by the listener.
        names = "accepted", "heartbeats", "rejected", "let_go", "malformed", "reports"
        self.counts = dict.fromkeys(names, 0)
        self.listener = Listener(listen, BACKLOG, self.accept)
        self.address: SocketAddress = self.listener.address

    def start(self) -> None:
        """Begin to accept peers."""
        self.listener.thread.start()

    def accept(self, sock: socket.socket, peer: str) -> None:
        """Read a new peer's stream; the oldest pending peer makes room for it if need be."""
        stream = Stream(next(self.stream_numbers), sock, peer, FrameReader(self.vocabulary), self.handle)
        with self.lock:
            self.counts["accepted"] += 1
            self.pending[stream] = time.monotonic() + JOIN_TIMEOUT_S
            excess = [next(iter(self.pending))] if len(self.pending) > self.pending_limit else []
            self.remove_pending(excess)
        for oldest in excess:
            oldest.close()
        try:
            stream.start()
        except RuntimeError:  # no thread can be started now
            self.disconnect(stream)

    def remove_pending(self, streams: list[Stream]) -> None:
        """With the lock held: none of them can join from here on. They are still to be closed."""
        for stream in streams:
            del self.pending[stream]
        self.counts["let_go"] += len(streams)

    def disconnect(self, stream: Stream) -> None:
        """Close a pending peer or a collector."""
        with self.lock:
            known = self.pending.pop(stream, None) or self.collectors.pop(stream, None)
            self.counts["let_go"] += known is not None
        stream.close()

    def close_overdue(self) -> None:
        """Close peers that have not joined in time; to be called a few times a second."""
        now_s = time.monotonic()
        with self.lock:
            overdue = [stream for stream, deadline_s in self.pending.items() if deadline_s <= now_s]
            self.remove_pending(overdue)
        for stream in overdue:
            stream.close()

    def handle(self, stream: Stream, message: object) -> None:
        """Handle a message of a peer, in its reading thread."""
        if isinstance(message, LOAD_REPORTS):
            self.counts["reports"] += 1
            self.mailbox.post_reports((message,))
        elif isinstance(message, Heartbeat):
            self.counts["heartbeats"] += 1
            stream.write(HEARTBEAT_ANSWER)
            if len(stream.unsent) > UNREAD_LIMIT:
                self.disconnect(stream)
        elif isinstance(message, CollectorJoined):
            self.join(stream, message.zone)
        elif isinstance(message, MalformedReport):
            self.counts["malformed"] += 1
            log.warning("malformed load report dropped", peer=stream.peer, reason=message.reason)
        elif isinstance(message, StreamEnded):
            self.end(stream, message)
        else:
            raise TypeError(f"no message of a peer: {type(message).__name__}")

    def join(self, stream: Stream, zone: int) -> None:
        """Make a pending peer the newest collector of a zone."""
        with self.lock:
            if self.pending.pop(stream, None) is None:
                return  # it is being closed
            self.collectors[stream] = zone
            of_zone = [collector for collector, its_zone in self.collectors.items() if its_zone == zone]
        for oldest in of_zone[:-COLLECTOR_LIMIT]:
            self.disconnect(oldest)
        log.info("collector joined", peer=stream.peer, zone=zone)

    def end(self, stream: Stream, end: StreamEnded) -> None:
        """Close a peer whose stream has ended, after the last bytes to it."""
        if stream.closed:
            return
        if end.data:
            self.counts["rejected"] += 1
            stream.write(end.data)
        with self.lock:
            self.pending.pop(stream, None)
            was_collector = self.collectors.pop(stream, None) is not None
        stream.close()
        if was_collector or end.data:
            event = "collector disconnected" if was_collector else "peer rejected"
            log.info(event, peer=stream.peer, reason=end.reason)

    def status(self) -> dict[str, int]:
        """The fields of the log's status line; "strangers" are pending peers."""
        return self.counts | {"strangers": len(self.pending), "collectors": len(self.collectors)}
