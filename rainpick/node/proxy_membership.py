"""Tracking of joined proxies from the notifications of one or two relay subscriptions. Free of I/O."""

from __future__ import annotations

from typing import Any, NamedTuple

from rainpick import model
from rainpick.node.commit_calls import MergedNonces
from rainpick.node.relay_notifications import Ping, ProxyEvent

MERGED_NONCE_LIMIT = 64  # remembered nonces of merged calls; older ones have long been acknowledged


class StreamOpened(NamedTuple):
    """The relay accepted a subscription. The stream lists all joined proxies before its first ``Ping``."""

    stream: int


class StreamEvent(NamedTuple):
    """A notification received on the stream of a subscription."""

    stream: int
    event: ProxyEvent | Ping


class StreamClosed(NamedTuple):
    """The stream of a subscription has ended."""

    stream: int


class ProxyMembership:
    """Converts the notifications of subscriptions into events for the decisions.

    A new stream first lists all joined proxies and then sends changes. There are three cases:

    * The previous stream ended before the new one opened. A listed proxy may have left and rejoined meanwhile
      and have lost its table. Every listed proxy is reported as joined, and the decisions bind it again.
    * The previous stream is still open, as after a change of the relay's address, so no change was missed.
      Listed proxies that are already joined are not reported again. They are *unconfirmed* until the previous
      stream proves to be alive by any message after the new stream opened. If the previous stream closes
      without such a message, it may have been dead for a long time, and unconfirmed proxies are reported as
      joined.
    * A join or leave on a previous stream may be outdated. If the proxy is joined, it is reported as joined
      again: an unnecessary binding is harmless, but a proxy that lost its table must be bound again.

    A joined proxy that the new stream does not list has left.
    """

    def __init__(self) -> None:
        self.joined: dict[int, model.ProxyJoined] = {}
        self.newest_stream = 0  # highest stream number opened so far
        self.current_stream: int | None = None  # number of the newest stream; None once it has closed
        self.former_stream: int | None = None  # previous stream; None once it proved alive or closed
        self.superseded: set[int] = set()  # streams that opened after a newer stream
        self.gapless = False  # whether the current stream opened while the former one was still open
        self.unconfirmed: set[int] = set()  # listed proxies, reported only if ``former_stream`` was dead
        self.listed: set[int] | None = None  # proxies listed on the current stream; None after its listing
        self.merged_nonces: dict[int, tuple[int, ...]] = {}  # earlier nonces that a nonce also acknowledges
        # By the oldest nonce of merged calls, the newest one; see ``replies``.
        self.split_nonces: dict[int, int] = {}

    def handle(self, notification: StreamOpened | StreamEvent | StreamClosed) -> list[ProxyEvent]:
        """Apply a notification and return the resulting events for the decisions."""
        if not isinstance(notification, StreamEvent):
            return self.handle_stream_change(notification)
        stream, event = notification
        if stream == self.former_stream:
            self.former_stream, self.unconfirmed = None, set()
        if isinstance(event, Ping):
            return self.end_listing() if stream == self.current_stream else []
        if isinstance(event, model.Acknowledged):
            if event.proxy not in self.joined:
                return []
            return [event._replace(nonce=nonce) for nonce in self.nonces(event.nonce)]
        if stream != self.current_stream:
            known = self.joined.get(event.proxy)
            return [] if known is None or stream in self.superseded else [known]
        if isinstance(event, model.ProxyLeft):
            return [] if self.joined.pop(event.proxy, None) is None else [event]
        return self.join(event)

    def handle_stream_change(self, notification: StreamOpened | StreamClosed) -> list[ProxyEvent]:
        """Apply the opening or closing of a stream and return the resulting events."""
        if isinstance(notification, StreamClosed):
            return self.close_stream(notification.stream)
        self.open_stream(notification.stream)
        return []

    def open_stream(self, stream: int) -> None:
        """Make the stream the current one, unless a newer stream has already opened."""
        if stream < self.newest_stream:
            self.superseded.add(stream)  # the newest stream lists the same proxies
            return
        self.newest_stream = stream
        self.former_stream, self.current_stream = self.current_stream, stream
        self.gapless = self.former_stream is not None
        self.unconfirmed, self.listed = set(), set()

    def close_stream(self, stream: int) -> list[ProxyEvent]:
        """Apply the end of a stream.

        Returns a join for each unconfirmed proxy if the former stream closes without proof that it was alive.
        """
        self.superseded.discard(stream)
        if stream == self.current_stream:
            self.current_stream = None
        if stream != self.former_stream:
            return []
        unconfirmed, self.unconfirmed = self.unconfirmed, set()
        self.former_stream, self.gapless = None, False
        return [self.joined[proxy] for proxy in sorted(unconfirmed & self.joined.keys())]

    def join(self, event: model.ProxyJoined) -> list[ProxyEvent]:
        """Apply a join on the current stream, during its listing or later."""
        known = self.joined.get(event.proxy)
        self.joined[event.proxy] = event
        if self.listed is None:
            return [event]
        self.listed.add(event.proxy)
        if not self.gapless or known is None:
            return [event]
        if self.former_stream is not None:
            self.unconfirmed.add(event.proxy)
        return []

    def end_listing(self) -> list[ProxyEvent]:
        """Complete the listing of the current stream; return a leave for each joined proxy not listed."""
        if self.listed is None:
            return []
        unlisted, self.listed = sorted(self.joined.keys() - self.listed), None
        for proxy in unlisted:
            del self.joined[proxy]
        return [model.ProxyLeft(proxy) for proxy in unlisted]

    def nonces(self, nonce: int) -> tuple[int, ...]:
        """Return the earlier nonces that ``nonce`` also acknowledges, in order, followed by itself."""
        return *self.merged_nonces.get(nonce, ()), nonce

    def replies(self, nonce: int) -> tuple[int, ...]:
        """Return the nonces of all replies that may have commands in the call with this nonce.

        If calls were merged into two, the first one has the nonce of the oldest call, but withdrawals of all.
        """
        return self.nonces(self.split_nonces.get(nonce, nonce))

    def merge_nonces(self, merged: MergedNonces) -> None:
        """Remember which earlier nonces an acknowledgement of ``merged.nonce`` covers.

        After a merge, proxies that only an earlier call concerns acknowledge the nonce of the merged call.
        """
        earlier = tuple(nonce for earlier in merged.earlier for nonce in self.nonces(earlier))
        # The newest of the calls may be a merged call itself.
        remember(self.merged_nonces, merged.nonce, earlier + self.merged_nonces.get(merged.nonce, ()))
        if merged.earlier:
            remember(self.split_nonces, merged.earlier[0], merged.nonce)

    def replace_nonce(self, previous: int, nonce: int) -> None:
        """Remember that the call with the nonce ``previous`` is sent again with ``nonce``."""
        remember(self.merged_nonces, nonce, self.nonces(previous))
        if previous in self.split_nonces:
            remember(self.split_nonces, nonce, self.split_nonces[previous])


def remember(nonces: dict[int, Any], nonce: int, value: Any) -> None:
    """Set the value of a nonce, which is then the newest; forget the oldest one beyond the limit."""
    nonces.pop(nonce, None)
    nonces[nonce] = value
    while len(nonces) > MERGED_NONCE_LIMIT:
        del nonces[next(iter(nonces))]
