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
from rainpick.net.streams import Listener, Stream, StreamLimits
from rainpick.node.configuration import SocketAddress, Vocabulary
from rainpick.node.frame_codec import (
    COLLECTOR_FRAME_LIMIT,
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
# Connected collectors per zone that have sent a valid report; beyond it those whose last one is the oldest
# are closed, as they may be dead.
COLLECTOR_LIMIT = 4
UNPROVEN_LIMIT = 16  # connected collectors per zone without any report; beyond it the oldest are closed
UNREAD_LIMIT = 4_096  # bytes of replies that a peer may leave unread
LOAD_REPORT_TYPES = model.ServerLoadReport, model.RouteLoadReport


class CollectorListener:
    """Passes the load reports of collectors to the mailbox, and replies to the heartbeats of all peers.

    The constructor binds the port; ``start`` begins to accept peers. Only the thread that reads from a peer
    writes to it. A peer is *pending* until it joins as a collector. A pending peer is closed after
    ``JOIN_TIMEOUT_S``, or earlier if it is the oldest of more than ``pending_limit`` pending peers. A
    collector that reports is never closed for peers that only join.
    """

    def __init__(self, listen: SocketAddress, vocabulary: Vocabulary, sockets: int, mailbox: Mailbox):
        self.vocabulary = vocabulary
        self.mailbox = mailbox
        self.lock = threading.Lock()  # guards ``pending`` and ``collectors``
        self.pending_limit = max(1, min(PENDING_LIMIT, sockets // 4))
        self.stream_numbers = count(1)
        self.limits = StreamLimits(2 * COLLECTOR_FRAME_LIMIT)
        self.pending: OrderedDict[Stream, float] = OrderedDict()  # join deadline of each peer, oldest first
        self.collectors: dict[Stream, int] = {}  # zone of each collector, oldest first
        self.reporting: OrderedDict[Stream, int] = OrderedDict()  # those with valid reports, by the last one
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
        parser = FrameReader(self.vocabulary)
        stream = Stream(next(self.stream_numbers), sock, peer, parser, self.handle_message, self.limits)
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
            is_pending = self.pending.pop(stream, None) is not None
            self.counts["let_go"] += self.forget_collector(stream) or is_pending
        stream.close()

    def forget_collector(self, stream: Stream) -> bool:
        """Remove a peer from the collectors; return whether it was one. The caller must hold the lock."""
        self.reporting.pop(stream, None)
        return self.collectors.pop(stream, None) is not None

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
            self.mark_reporting(stream)
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
        """Make a pending peer the newest collector of a zone; close the oldest beyond ``UNPROVEN_LIMIT``."""
        with self.lock:
            if self.pending.pop(stream, None) is None:
                return  # another thread has removed the peer from ``pending`` and is closing it
            self.collectors[stream] = zone
            unproven = [
                collector
                for collector, other_zone in self.collectors.items()
                if other_zone == zone and collector not in self.reporting
            ]
        for oldest in unproven[:-UNPROVEN_LIMIT]:
            self.disconnect(oldest)
        log.info("collector joined", peer=stream.peer, zone=zone)

    def mark_reporting(self, stream: Stream) -> None:
        """Record a valid report of a collector; close the least recent ones beyond ``COLLECTOR_LIMIT``."""
        with self.lock:
            zone = self.collectors.get(stream)
            if zone is None:
                return
            is_first = stream not in self.reporting
            self.reporting[stream] = zone
            self.reporting.move_to_end(stream)
            if not is_first:
                return
            same_zone = [collector for collector, other_zone in self.reporting.items() if other_zone == zone]
        for oldest in same_zone[:-COLLECTOR_LIMIT]:
            self.disconnect(oldest)

    def handle_stream_end(self, stream: Stream, end: StreamEnded) -> None:
        """Close a peer whose stream has ended, after writing the final bytes, if any."""
        if stream.closed:
            return
        if end.data:
            self.counts["rejected"] += 1
            stream.write(end.data)
        with self.lock:
            self.pending.pop(stream, None)
            was_collector = self.forget_collector(stream)
        stream.close()
        if was_collector or end.data:
            event = "collector disconnected" if was_collector else "peer rejected"
            log.info(event, peer=stream.peer, reason=end.reason)

    def status(self) -> dict[str, int]:
        """Return the fields for the log's status line; "strangers" is the number of pending peers."""
        return self.counts | {"strangers": len(self.pending), "collectors": len(self.collectors)}
