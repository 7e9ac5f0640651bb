"""What the director holds of the platform's news between two streams of them. Free of I/O."""

from __future__ import annotations

from rainpick import interface as api
from rainpick.node.codec import Members, Merged

MERGED_MOST = 64  # marks that stand for others; an answer is due long before so many more
FORGOTTEN_MOST = 512  # servers that have left and whose reports are still taken


class Listing:
    """The server list as it was last told, so that a bad entry costs that entry alone."""

    def __init__(self) -> None:
        self.entries: dict[str, api.Server] = {}
        self.gone: dict[str, None] = {}  # the newest last
        self.version: int | None = None

    def take(self, news: Members, kind: int | None = None) -> api.Listed:
        """The event for an answer of discovery; ``kind`` for one that is not discovery's own word of now."""
        if kind is None:
            kind = api.FULL if news.full else api.DELTA
        servers = news.servers
        if kind != api.DELTA:
            # An entry that can't be read says nothing of its server: what was known of it stands.
            servers += tuple(self.entries[one] for one in sorted(news.unread & self.entries.keys()))
            self.forget(self.entries.keys() - {entry.address for entry in servers})
        self.forget({entry.address for entry in servers if entry.state == api.GONE})
        for entry in servers:
            if entry.state != api.GONE:
                self.entries[entry.address] = entry
                self.gone.pop(entry.address, None)
        self.version = news.version
        return api.Listed(kind, servers, news.version)

    def forget(self, addresses: set[str]) -> None:
        for address in sorted(addresses):
            self.entries.pop(address, None)
            self.gone[address] = None
        while len(self.gone) > FORGOTTEN_MOST:
            del self.gone[next(iter(self.gone))]

    def knows(self, address: str) -> bool:
        return address in self.entries or address in self.gone


class Roster:
    """Who is joined. A new stream of news lists all who are, and then says what changes.

    A proxy that a new stream lists again may have left and come back unseen, its binding gone: it is told as
    a joining whatever was held before, and the module binds it anew. Who is not listed again has left.
    """

    def __init__(self) -> None:
        self.joined: set[int] = set()
        self.listed: set[int] | None = None  # while a new stream lists who is joined
        self.earlier: dict[int, tuple[int, ...]] = {}  # by mark, those that it stands for too

    def begin(self) -> None:
        self.listed = set()

    def take(self, event: api.ProxyJoined | api.ProxyLeft | api.Applied) -> list:
        """The events that this one is for the module."""
        if type(event) is api.ProxyJoined:
            self.joined.add(event.proxy)
            if self.listed is not None:
                self.listed.add(event.proxy)
        elif event.proxy not in self.joined:
            return []
        elif type(event) is api.ProxyLeft:
            self.joined.discard(event.proxy)
        elif event.number in self.earlier:
            return [*(event._replace(number=mark) for mark in self.earlier[event.number]), event]
        return [event]

    def merged(self, told: Merged) -> None:
        """Calls went as one: a proxy that was reached by an earlier one alone answers the last one's mark."""
        self.earlier.pop(told.number, None)
        self.earlier[told.number] = tuple(
            mark for one in told.earlier for mark in (*self.earlier.get(one, ()), one))
        while len(self.earlier) > MERGED_MOST:
            del self.earlier[next(iter(self.earlier))]

    def settle(self) -> list:
        """The new stream has listed all: who was not among them has left."""
        if self.listed is None:
            return []
        missing, self.listed = sorted(self.joined - self.listed), None
        self.joined -= set(missing)
        return [api.ProxyLeft(proxy) for proxy in missing]
