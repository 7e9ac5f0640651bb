"""Streams and the proxies that speak over them, whichever frontend accepted the stream.

A stream is *unidentified* until its peer has said what it is, and is closed when that takes too long. It
becomes a proxy's with the first valid ``open_session``; the proxy is *joined* (known to the decisions) once
its group is registered and the decisions have started.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from rainpick.director.addresses import Key
from rainpick.director.context import Context
from rainpick.director.evidence import Evidence
from rainpick.director.membership import Membership
from rainpick.director.proxies import Proxies
from rainpick.director.snapshots import Snapshot
from rainpick.net.streams import Stream
from rainpick.sasp.constants import PUSH
from rainpick.sasp.encoding import encode_group
from rainpick.sasp.messages import Group
from rainpick.sasp.session import DirectorSession

REQUEST_TIMES = 4  # of a session that are remembered, to know at which interval it polls


@dataclass(slots=True, eq=False)
class ProxySession:
    """A proxy on its stream: who it is, and how far it has shown that it reads. Times are microseconds."""

    uid: str
    number: int
    stream: Stream
    flags: int  # SASP load-balancer flags
    encoded_group: bytes  # its SASP group, as it stands in weight messages
    over_mqtt: bool  # else over SASP
    registered: bool = False  # its group is registered
    joined: bool = False  # the decisions know of it
    initial_servers: frozenset[Key] = frozenset()  # servers that it held before it registered
    resumed_snapshot: Snapshot | None = None  # the version of a table that it has proved to hold
    last_message: int = 0  # number of the newest message written to it
    request_times_us: deque[int] = field(default_factory=lambda: deque(maxlen=REQUEST_TIMES))
    unconfirmed_since_us: int | None = None  # the first push that it has not shown to have read
    replied_since_push: bool = False  # a reply was written after that push
    blocked_since_us: int | None = None  # its socket or its MQTT window takes nothing

    @property
    def accepts_push(self) -> bool:
        """Whether it wants weights pushed; otherwise it polls."""
        return bool(self.flags & PUSH)


@dataclass(slots=True)
class StreamCounts:
    """What has happened to streams since the start."""

    rejected: int = 0  # streams and requests
    ended: int = 0  # streams of neither a proxy nor a member
    disconnected: int = 0  # proxies that did not read
    replaced: int = 0  # proxies that dialled again before their old stream ended


class Sessions:
    """All open streams and proxy sessions of one director; used by the event loop's thread alone."""

    def __init__(self, context: Context, membership: Membership, proxies: Proxies, evidence: Evidence):
        self.context = context
        self.membership = membership
        self.proxies = proxies
        self.evidence = evidence
        self.streams: dict[int, Stream] = {}  # by stream number, as are the next two
        self.unidentified: dict[int, int] = {}  # until when a stream may stay so
        self.by_stream: dict[int, ProxySession] = {}
        self.by_uid: dict[str, ProxySession] = {}
        self.by_number: dict[int, ProxySession] = {}
        self.counts = StreamCounts()
        # Called with a stream that ends, before its socket is closed: frontends and the delivery tracker
        # forget what they know of it.
        self.closing_listeners: list[Callable[[Stream], None]] = []
        # Called with the older stream of a proxy that another one replaces.
        self.replacing_listeners: list[Callable[[Stream], None]] = []

    # Streams

    def open(self, stream: Stream) -> bool:
        """Admit a new stream as unidentified; False, and it is closed, if there are too many."""
        settings = self.context.settings.sasp
        if len(self.streams) >= settings.streams_most:
            self.counts.rejected += 1
            self.context.log.warning("stream rejected", peer=stream.peer, why="too many are open")
            stream.close()
            return False
        self.streams[stream.number] = stream
        self.unidentified[stream.number] = self.context.clock() + settings.hello
        return True

    def is_open(self, stream: Stream) -> bool:
        """False for a stream that was closed here, whose reader may still deliver."""
        return self.streams.get(stream.number) is stream

    def identified(self, stream: Stream) -> None:
        """The peer of a stream has sent something that tells what it is."""
        self.unidentified.pop(stream.number, None)

    def close_unidentified(self, now: int) -> None:
        """Close the streams whose peers have taken too long to say what they are."""
        for number, deadline_us in list(self.unidentified.items()):
            if now >= deadline_us and number in self.streams:
                self.close(self.streams[number], "it never said what it is")

    def close(self, stream: Stream, why: str) -> None:
        """A stream is over, whoever ended it. Does nothing if that is known already."""
        if self.streams.pop(stream.number, None) is None:
            return
        self.unidentified.pop(stream.number, None)
        for listener in self.closing_listeners:
            listener(stream)
        stream.close()
        now, log = self.context.clock(), self.context.log
        session = self.by_stream.pop(stream.number, None)
        if session is not None:
            self.leave(session)
            log.info("proxy left", proxy=session.uid, why=why)
        elif isinstance(stream.parser, DirectorSession) and stream.parser.is_member:
            self.membership.stream_broke(stream.number, now)
            log.info("member stream ended", peer=stream.peer, why=why)
        else:
            self.counts.ended += 1
            log.info("stream ended", peer=stream.peer, why=why)

    def close_all_sockets(self) -> None:
        """The event loop ends: close every socket; nobody is left whom that concerns."""
        for stream in list(self.streams.values()):
            stream.close()

    # Proxies

    def open_session(self, stream: Stream, uid: str, flags: int, over_mqtt: bool) -> ProxySession:
        """A stream is a proxy's. Of two streams with one UID the newer counts: the older may be dead."""
        older = self.by_uid.get(uid)
        if older is not None:
            self.counts.replaced += 1
            for listener in self.replacing_listeners:
                listener(older.stream)
            self.close(older.stream, "another stream has the same LB UID")
        group = encode_group(Group(uid, self.context.settings.fleet.group))
        session = ProxySession(uid, self.proxies.number(uid), stream, flags, group, over_mqtt)
        self.by_stream[stream.number] = self.by_uid[uid] = self.by_number[session.number] = session
        return session

    def end_session(self, session: ProxySession) -> None:
        """A proxy says that it is gone; its stream stays open."""
        self.by_stream.pop(session.stream.number)
        self.leave(session)

    def leave(self, session: ProxySession) -> None:
        """Remove a proxy, unless a newer session has replaced this one."""
        if self.by_uid.get(session.uid) is not session:
            return
        del self.by_uid[session.uid], self.by_number[session.number]
        if session.joined and self.context.engine is not None:
            self.context.engine.leave(session.number)
        self.evidence.forget(session.number)
        self.proxies.free(session.uid)

    def disconnect(self, session: ProxySession, why: str) -> None:
        """Close the stream of a proxy that does not read."""
        self.counts.disconnected += 1
        self.context.log.warning("proxy disconnected", proxy=session.uid, why=why)
        self.close(session.stream, why)

    def join(self, session: ProxySession) -> None:
        """A proxy's group is registered: the decisions know of it from here on."""
        engine, now = self.context.started_engine, self.context.clock()
        if session.number in engine.sent:
            engine.add_initial_servers(session.number, session.initial_servers)
            return
        session.joined = True
        zone, rate = self.proxies.place(session.uid)
        rate = self.evidence.rates.per_s.get(session.uid, rate)
        engine.now = max(engine.now, now)
        engine.join(
            session.number,
            True,
            rate,
            zone,
            session.initial_servers,
            session.over_mqtt,
            session.resumed_snapshot,
        )
        engine.set_blocked(session.number, not session.accepts_push)
        self.context.log.info(
            "proxy joined",
            proxy=session.uid,
            number=session.number,
            peer=session.stream.peer,
            holds=len(session.initial_servers),
        )

    def join_registered(self) -> None:
        """The decisions start: join the proxies that have registered before."""
        for session in list(self.by_stream.values()):
            if session.registered:
                self.join(session)
