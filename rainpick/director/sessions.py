"""Open streams and proxy sessions, for all frontends.

A stream is *unidentified* until its peer has sent a valid first message, and is closed if none is received
within ``sasp.hello``. A stream belongs to a proxy from ``open_session`` on. The proxy is *joined* (known to
``Director``) once its group is registered and ``Director`` has started.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from rainpick.director.addresses import Key
from rainpick.director.context import Context
from rainpick.director.load_aggregator import LoadAggregator
from rainpick.director.membership import Membership
from rainpick.director.proxies import Proxies
from rainpick.director.snapshots import Snapshot
from rainpick.net.streams import Stream
from rainpick.sasp.constants import PUSH
from rainpick.sasp.encoding import encode_group
from rainpick.sasp.messages import Group
from rainpick.sasp.session import DirectorSession

MAX_REQUEST_TIMES = 4  # request times kept for each session, to derive the poll interval


@dataclass(slots=True, eq=False)
class ProxySession:
    """A proxy, its stream, and the proof that it reads its messages. Times are microseconds."""

    uid: str
    number: int  # identifies the proxy to ``Director``
    stream: Stream
    flags: int  # SASP load-balancer flags
    encoded_group: bytes  # the proxy's SASP group as encoded in weight messages
    over_mqtt: bool  # False: over SASP
    registered: bool = False  # whether the proxy's group is registered
    joined: bool = False  # whether the proxy is known to ``Director``
    initial_servers: frozenset[Key] = frozenset()  # servers that the proxy held before it registered
    resumed_snapshot: Snapshot | None = None  # the version of a table that the proxy has proved to hold
    last_message: int = 0  # id of the last push, or the engine's number of the last poll reply; 0: none
    # Times of the proxy's newest requests.
    request_times_us: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_REQUEST_TIMES))
    # Time of the first push that the proxy has not proved to have read.
    unconfirmed_since_us: int | None = None
    replied_since_push: bool = False  # whether a reply was sent after the last push
    # Since when the socket accepts no data or the MQTT send quota is used up.
    blocked_since_us: int | None = None

    @property
    def accepts_push(self) -> bool:
        """Whether weights are pushed to the proxy; otherwise it polls."""
        return bool(self.flags & PUSH)


@dataclass(slots=True)
class StreamCounts:
    """Counters of streams since the start."""

    rejected: int = 0  # rejected streams and SASP requests
    ended: int = 0  # ended streams that belonged to neither a proxy nor a member
    disconnected: int = 0  # proxies disconnected because they did not read
    replaced: int = 0  # proxies that connected again before their old stream ended


class Sessions:
    """All open streams and proxy sessions of one director; used only by the event loop's thread."""

    def __init__(
        self, context: Context, membership: Membership, proxies: Proxies, aggregator: LoadAggregator
    ):
        self.context = context
        self.membership = membership
        self.proxies = proxies
        self.aggregator = aggregator
        self.streams: dict[int, Stream] = {}  # open streams by stream number
        self.unidentified: dict[int, int] = {}  # close times of unidentified streams, by stream number
        self.by_stream: dict[int, ProxySession] = {}  # sessions by stream number
        self.by_uid: dict[str, ProxySession] = {}  # by LB UID
        self.by_number: dict[int, ProxySession] = {}  # by proxy number
        self.counts = StreamCounts()
        # Called with a stream that ends, before its socket is closed, so that the frontends and ``Delivery``
        # remove their state of the stream.
        self.closing_listeners: list[Callable[[Stream], None]] = []
        # Called with the older stream of a proxy when a newer one replaces it.
        self.replacing_listeners: list[Callable[[Stream], None]] = []

    # Streams

    def open(self, stream: Stream) -> bool:
        """Add a new, unidentified stream; if there are too many, close it and return False."""
        settings = self.context.settings.sasp
        if len(self.streams) >= settings.streams_most:
            self.counts.rejected += 1
            self.context.log.warning("stream rejected", peer=stream.peer, why="too many open streams")
            stream.close()
            return False
        self.streams[stream.number] = stream
        self.unidentified[stream.number] = self.context.clock() + settings.hello
        return True

    def is_open(self, stream: Stream) -> bool:
        """Return whether a stream is open; the reader of a closed one may still deliver events."""
        return self.streams.get(stream.number) is stream

    def mark_identified(self, stream: Stream) -> None:
        """Record that the peer of a stream has identified itself."""
        self.unidentified.pop(stream.number, None)

    def close_unidentified(self, now: int) -> None:
        """Close the streams whose peers have not identified themselves within ``sasp.hello``."""
        for number, deadline_us in list(self.unidentified.items()):
            if now >= deadline_us and number in self.streams:
                self.close(self.streams[number], "not identified within sasp.hello")

    def close(self, stream: Stream, why: str) -> None:
        """Close a stream after either side has ended it; does nothing if it is closed already.

        Removes the proxy of the stream, or starts the grace period of its members.
        """
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
            self.membership.stream_ended(stream.number, now)
            log.info("member stream ended", peer=stream.peer, why=why)
        else:
            self.counts.ended += 1
            log.info("stream ended", peer=stream.peer, why=why)

    def close_all_sockets(self) -> None:
        """Close all sockets at the end of the event loop, without notifying listeners."""
        for stream in list(self.streams.values()):
            stream.close()

    # Proxies

    def open_session(self, stream: Stream, uid: str, flags: int, over_mqtt: bool) -> ProxySession:
        """Assign a stream to a proxy.

        An older stream with the same UID is closed, because it may be dead without this being detected.
        """
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
        """Remove a proxy that has announced its end; its stream stays open."""
        self.by_stream.pop(session.stream.number)
        self.leave(session)

    def leave(self, session: ProxySession) -> None:
        """Remove the proxy of a session, unless a newer session has replaced this one."""
        if self.by_uid.get(session.uid) is not session:
            return
        del self.by_uid[session.uid], self.by_number[session.number]
        if session.joined and self.context.engine is not None:
            self.context.engine.leave(session.number)
        self.aggregator.forget(session.number)
        self.proxies.free(session.uid)

    def disconnect(self, session: ProxySession, why: str) -> None:
        """Close the stream of a proxy that does not read."""
        self.counts.disconnected += 1
        self.context.log.warning("proxy disconnected", proxy=session.uid, why=why)
        self.close(session.stream, why)

    def join(self, session: ProxySession) -> None:
        """Add a registered proxy to the engine; if it is joined already, only add its new initial servers."""
        engine, now = self.context.started_engine, self.context.clock()
        if session.number in engine.sent:
            engine.add_initial_servers(session.number, session.initial_servers)
            return
        session.joined = True
        zone, rate = self.proxies.attributes(session.uid)
        rate = self.aggregator.rates.per_s.get(session.uid, rate)
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
        """Join all registered proxies when ``Director`` has started."""
        for session in list(self.by_stream.values()):
            if session.registered:
                self.join(session)
