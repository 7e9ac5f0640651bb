"""Accepts peers at the director's address: collectors, which send load reports, and others.

Any peer may send heartbeats. Peers that do not join as collectors are limited in number and in time.
"""

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
    HEARTBEAT_REPLY,
    CollectorJoined,
    FrameReader,
    Heartbeat,
    MalformedReport,
)
from rainpick.node.log import log
from rainpick.node.mailbox import Mailbox

BACKLOG = 1_024
# A peer must join as a collector within this time after it connected. The platform allows the director to
# close other peers after 1 s and requires this within 3 s.
JOIN_TIMEOUT_S = 1.2
PENDING_LIMIT = 256  # peers that have not joined; also limited to a quarter of the maximum open sockets
COLLECTOR_LIMIT = 4  # connected collectors per zone; beyond it the oldest are closed, as they may be dead
UNREAD_LIMIT = 4_096  # bytes of replies that a peer may leave unread
LOAD_REPORT_TYPES = model.ServerLoadReport, model.RouteLoadReport


class CollectorListener:
    """Passes the load reports of collectors to the mailbox, and replies to the heartbeats of all peers.

    The constructor binds the port; ``start`` begins to accept peers. Only the thread that reads from a peer
    writes to it. A peer is *pending* until it joins as a collector. A pending peer is closed after
    ``JOIN_TIMEOUT_S``, or earlier if it is the oldest of more than ``pending_limit`` pending peers.
    """

    def __init__(self, listen: SocketAddress, vocabulary: Vocabulary, sockets: int, mailbox: Mailbox):
        self.vocabulary = vocabulary
        self.mailbox = mailbox
        self.lock = threading.Lock()  # guards ``pending`` and ``collectors``
        self.pending_limit = max(1, min(PENDING_LIMIT, sockets // 4))
        self.stream_numbers = count(1)
        self.pending: OrderedDict[Stream, float] = OrderedDict()  # join deadline of each peer, oldest first
        self.collectors: dict[Stream, int] = {}  # zone of each collector, oldest first
        # The keys appear in the log's ``status`` lines. "let_go" counts peers that the listener disconnected.
        names = "accepted", "heartbeats", "rejected", "let_go", "malformed", "reports"
        self.counts = dict.fromkeys(names, 0)
        self.listener = Listener(listen, BACKLOG, self.accept)
        self.address: SocketAddress = self.listener.address

    def start(self) -> None:
        """Start to accept peers."""
        self.listener.thread.start()

    def accept(self, sock: socket.socket, peer: str) -> None:
        """Start to read a new peer's stream; close the oldest pending peer if the limit is exceeded."""
        stream = Stream(
            next(self.stream_numbers), sock, peer, FrameReader(self.vocabulary), self.handle_message
        )
        with self.lock:
            self.counts["accepted"] += 1
            self.pending[stream] = time.monotonic() + JOIN_TIMEOUT_S
            excess = [next(iter(self.pending))] if len(self.pending) > self.pending_limit else []
            self.remove_pending(excess)
        for oldest in excess:
            oldest.close()
        try:
            stream.start()
        except RuntimeError:  # no thread can be started
            self.disconnect(stream)

    def remove_pending(self, streams: list[Stream]) -> None:
        """Remove pending peers, so that they can no longer join.

        The caller must hold the lock, and must close the streams after releasing it.
        """
        for stream in streams:
            del self.pending[stream]
        self.counts["let_go"] += len(streams)

    def disconnect(self, stream: Stream) -> None:
        """Close a pending peer or a collector."""
        with self.lock:
            removed = self.pending.pop(stream, None) or self.collectors.pop(stream, None)
            self.counts["let_go"] += removed is not None
        stream.close()

    def close_overdue(self) -> None:
        """Close the pending peers whose deadline has passed. Must be called several times per second."""
        now_s = time.monotonic()
        with self.lock:
            overdue = [stream for stream, deadline_s in self.pending.items() if deadline_s <= now_s]
            self.remove_pending(overdue)
        for stream in overdue:
            stream.close()

    def handle_message(self, stream: Stream, message: object) -> None:
        """Handle a message from a peer. Runs in the peer's reading thread."""
        if isinstance(message, LOAD_REPORT_TYPES):
            self.counts["reports"] += 1
            self.mailbox.post_reports((message,))
        elif isinstance(message, Heartbeat):
            self.counts["heartbeats"] += 1
            stream.write(HEARTBEAT_REPLY)
            if len(stream.unsent) > UNREAD_LIMIT:
                self.disconnect(stream)
        elif isinstance(message, CollectorJoined):
            self.join(stream, message.zone)
        elif isinstance(message, MalformedReport):
            self.counts["malformed"] += 1
            log.warning("malformed load report dropped", peer=stream.peer, reason=message.reason)
        elif isinstance(message, StreamEnded):
            self.handle_stream_end(stream, message)
        else:
            raise TypeError(f"unexpected message type from {stream.peer}: {type(message).__name__}")

    def join(self, stream: Stream, zone: int) -> None:
        """Make a pending peer the newest collector of a zone; close the oldest beyond ``COLLECTOR_LIMIT``."""
        with self.lock:
            if self.pending.pop(stream, None) is None:
                return  # another thread has removed the peer from ``pending`` and is closing it
            self.collectors[stream] = zone
            same_zone = [collector for collector, other_zone in self.collectors.items() if other_zone == zone]
        for oldest in same_zone[:-COLLECTOR_LIMIT]:
            self.disconnect(oldest)
        log.info("collector joined", peer=stream.peer, zone=zone)

    def handle_stream_end(self, stream: Stream, end: StreamEnded) -> None:
        """Close a peer whose stream has ended, after writing the final bytes, if any."""
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
        """Return the fields for the log's status line; "strangers" is the number of pending peers."""
        return self.counts | {"strangers": len(self.pending), "collectors": len(self.collectors)}
