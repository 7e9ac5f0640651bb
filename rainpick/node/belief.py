"""What the director holds of the platform's news between two streams of them. Free of I/O."""

from __future__ import annotations

from typing import NamedTuple

from rainpick import model
from rainpick.node.clock import Clock
from rainpick.node.codec import Members, Merged, Ping

MERGED_MOST = 64  # marks that stand for others; an answer is due long before so many more
FORGOTTEN_MOST = 512  # servers that have left and whose reports are still taken


class Listing:
    """The server list as it was last told, so that a bad entry costs that entry alone."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or Clock()
        self.starts: dict[str, tuple[int, int]] = {}  # by server, its start as told and on the clock
        self.entries: dict[str, model.Endpoint] = {}
        self.gone: dict[str, None] = {}  # the newest last
        self.version: int | None = None

    def take(self, news: Members, kind: int | None = None) -> model.EndpointUpdate:
        """The event for an answer of discovery; ``kind`` for one that is not discovery's own word of now."""
        if kind is None:
            kind = model.UpdateKind.FULL if news.full else model.UpdateKind.DELTA
        servers = tuple(map(self.dated, news.servers))
        if kind != model.UpdateKind.DELTA:
            # An entry that can't be read says nothing of its server: what was known of it stands.
            servers += tuple(self.entries[one] for one in sorted(news.unread & self.entries.keys()))
            self.forget(self.entries.keys() - {entry.address for entry in servers})
        self.forget({entry.address for entry in servers if entry.state == model.EndpointState.GONE})
        for entry in servers:
            if entry.state != model.EndpointState.GONE:
                self.entries[entry.address] = entry
                self.gone.pop(entry.address, None)
        self.version = news.version
        return model.EndpointUpdate(kind, servers, news.version)

    def dated(self, entry: model.Endpoint) -> model.Endpoint:
        """The entry with its start on the clock; what is told again keeps what it was at first."""
        told, started = self.starts.get(entry.address, (None, 0))
        if told != entry.started_us:
            told, started = entry.started_us, self.clock.started(entry.started_us)
            self.starts[entry.address] = told, started
        return entry._replace(started_us=started)

    def forget(self, addresses: set[str]) -> None:
        for address in sorted(addresses):
            self.entries.pop(address, None)
            self.gone[address] = None
        while len(self.gone) > FORGOTTEN_MOST:
            oldest = next(iter(self.gone))
            del self.gone[oldest]
            self.starts.pop(oldest, None)

    def knows(self, address: str) -> bool:
        return address in self.entries or address in self.gone


class Begun(NamedTuple):
    """A stream of news begins: it lists first who is joined."""

    stream: int


class Told(NamedTuple):
    """What a stream of news says: ``Ping`` or an event."""

    stream: int
    event: object


class Over(NamedTuple):
    """A stream of news has ended."""

    stream: int


class Roster:
    """Who is joined. A new stream of news lists all who are, and then says what changes.

    If the stream before had ended, a proxy that is listed again may have left and come back unseen, its table
    gone: it is told as a joining whatever was held before, and the module binds it anew. If it had not (a new
    address), nothing was missed and nobody is told twice, once the former one has shown that it still spoke.
    What that one says of who comes and goes may be old: it is told as one more joining. Who is not listed has
    left.
    """

    def __init__(self) -> None:
        self.joined: dict[int, model.ProxyJoined] = {}
        self.current: int | None = None  # the stream that counts; None: there is none
        self.newest = 0  # the last one that began
        self.overtaken: set[int] = set()  # that began after it: two new addresses in a row
        self.former: int | None = None  # the one before, until it has shown that it was alive
        self.gapless = False  # the current one began while the former was still read
        self.doubted: set[int] = set()  # not told again, unless the former stream turns out to have been dead
        self.listed: set[int] | None = None  # while the current stream lists who is joined
        self.earlier: dict[int, tuple[int, ...]] = {}  # by mark, those that it stands for too

    def take(self, news: Begun | Told | Over) -> list:
        """The events that this is for the module."""
        if type(news) is Begun:
            if news.stream < self.newest:
                self.overtaken.add(news.stream)  # what it lists the newest one lists as well
                return []
            self.newest = news.stream
            self.former, self.current, self.listed = self.current, news.stream, set()
            self.gapless, self.doubted = self.former is not None, set()
            return []
        if type(news) is Over:
            return self.over(news.stream)
        event = news.event
        if news.stream == self.former:
            self.former, self.doubted = None, set()
        if type(event) is Ping:
            return self.settle() if news.stream == self.current else []
        before = self.joined.get(event.proxy)
        if type(event) is model.Acknowledged:
            return [] if before is None else [event._replace(nonce=mark) for mark in self.marks(event.nonce)]
        if news.stream != self.current:
            return [] if before is None or news.stream in self.overtaken else [before]
        if type(event) is model.ProxyLeft:
            return [] if self.joined.pop(event.proxy, None) is None else [event]
        self.joined[event.proxy] = event
        if self.listed is None:
            return [event]
        self.listed.add(event.proxy)
        if not self.gapless or before is None:
            return [event]
        if self.former is not None:
            self.doubted.add(event.proxy)
        return []

    def over(self, stream: int) -> list:
        """A stream has ended: without a word since the next one began it may have been dead for long."""
        self.overtaken.discard(stream)
        if stream == self.current:
            self.current = None
        if stream != self.former:
            return []
        doubted, self.doubted = self.doubted, set()
        self.former, self.gapless = None, False
        return [self.joined[proxy] for proxy in sorted(doubted & self.joined.keys())]

    def marks(self, number: int) -> tuple[int, ...]:
        """This mark and those that it stands for too, in their order."""
        return *self.earlier.get(number, ()), number

    def merged(self, told: Merged) -> None:
        """Calls went as one: a proxy that was reached by an earlier one alone answers the last one's mark."""
        self.earlier.pop(told.number, None)
        self.earlier[told.number] = tuple(mark for one in told.earlier for mark in self.marks(one))
        while len(self.earlier) > MERGED_MOST:
            del self.earlier[next(iter(self.earlier))]

    def settle(self) -> list:
        """The stream has listed all: who was not among them has left."""
        if self.listed is None:
            return []
        missing, self.listed = sorted(self.joined.keys() - self.listed), None
        for proxy in missing:
            del self.joined[proxy]
        return [model.ProxyLeft(proxy) for proxy in missing]
