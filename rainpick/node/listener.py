"""The director's address: heartbeats, collectors, and strangers, who cost little and not for long."""

from __future__ import annotations

import threading
import time
from collections import OrderedDict
from itertools import count

from rainpick.net import Ended
from rainpick.net.streams import Listener, Stream
from rainpick.node.configuration import Vocabulary
from rainpick.node.frame_codec import (
    HEARTBEAT_ANSWER,
    CollectorJoined,
    FrameReader,
    Heartbeat,
    MalformedReport,
)
from rainpick.node.log import log
from rainpick.node.mailbox import Mailbox

STRANGER_S = 1.2  # to join in; the platform allows to close after 1 s and wants it done within 3
STRANGERS_MOST = 256  # at once; a quarter of the descriptors, if that is less
COLLECTORS_MOST = 4  # at once for a zone: the newest, as an old one may be dead and silent
UNREAD_MOST = 4_096  # bytes that a peer may leave unread


class CollectorListener:
    """Listens at once; ``start`` lets peers in. Only a peer's own reading thread writes to it."""

    def __init__(self, listen: tuple[str, int], names: Vocabulary, sockets: int, mailbox: Mailbox):
        self.names, self.mailbox, self.lock = names, mailbox, threading.Lock()
        self.most = max(1, min(STRANGERS_MOST, sockets // 4))
        self.numbers = count(1)
        self.strangers: OrderedDict[Stream, float] = OrderedDict()  # the oldest first, with its end
        self.collectors: dict[Stream, int] = {}  # the oldest first, with its zone
        counted = "accepted", "heartbeats", "rejected", "let_go", "malformed", "reports"
        self.counts = dict.fromkeys(counted, 0)
        self.accepting = Listener(listen, 1024, self.opened)
        self.address = self.accepting.address

    def start(self) -> None:
        self.accepting.thread.start()

    def opened(self, sock, peer: str) -> None:
        stream = Stream(next(self.numbers), sock, peer, FrameReader(self.names), self.came)
        with self.lock:
            self.counts["accepted"] += 1
            self.strangers[stream] = time.monotonic() + STRANGER_S
            full = [next(iter(self.strangers))] if len(self.strangers) > self.most else []
            self.shut_out(full)
        for other in full:
            other.close()
        try:
            stream.start()
        except RuntimeError:  # no thread is to be had
            self.let_go(stream)

    def shut_out(self, strangers: list[Stream]) -> None:
        """With the lock held: from here on none of them can join; one that had just joined was closed."""
        for stream in strangers:
            del self.strangers[stream]
        self.counts["let_go"] += len(strangers)

    def let_go(self, stream: Stream) -> None:
        with self.lock:
            known = self.strangers.pop(stream, None) or self.collectors.pop(stream, None)
            self.counts["let_go"] += known is not None
        stream.close()

    def sweep(self) -> None:
        """Close who has not joined in time; wanted a few times a second."""
        now = time.monotonic()
        with self.lock:
            late = [stream for stream, end in self.strangers.items() if end <= now]
            self.shut_out(late)
        for stream in late:
            stream.close()

    def came(self, stream: Stream, found: object) -> None:
        kind = type(found)
        if kind is Heartbeat:
            self.counts["heartbeats"] += 1
            stream.write(HEARTBEAT_ANSWER)
            if len(stream.rest) > UNREAD_MOST:
                self.let_go(stream)
        elif kind is CollectorJoined:
            self.collect(stream, found.zone)
        elif kind is MalformedReport:
            self.counts["malformed"] += 1
            log.warning("report dropped", peer=stream.peer, why=found.reason)
        elif kind is Ended:
            self.ended(stream, found)
        else:
            self.counts["reports"] += 1
            self.mailbox.report((found,))

    def collect(self, stream: Stream, zone: int) -> None:
        with self.lock:
            if self.strangers.pop(stream, None) is None:
                return  # it was let go meanwhile
            self.collectors[stream] = zone
            same = [other for other, its in self.collectors.items() if its == zone]
        for old in same[:-COLLECTORS_MOST]:
            self.let_go(old)
        log.info("collector joined", peer=stream.peer, zone=zone)

    def ended(self, stream: Stream, end: Ended) -> None:
        if stream.closed:
            return
        if end.data:
            self.counts["rejected"] += 1
            stream.write(end.data)
        with self.lock:
            self.strangers.pop(stream, None)
            collected = self.collectors.pop(stream, None) is not None
        stream.close()
        if collected or end.data:
            log.info("collector gone" if collected else "peer rejected", peer=stream.peer, why=end.why)

    def status(self) -> dict:
        return self.counts | {"strangers": len(self.strangers), "collectors": len(self.collectors)}
