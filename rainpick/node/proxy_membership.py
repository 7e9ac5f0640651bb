"""Which proxies are joined, according to one or two subscriptions to the relay. Free of I/O."""

from __future__ import annotations

from typing import NamedTuple

from rainpick import model
from rainpick.node.commit_calls import MergedNonces
from rainpick.node.relay_notifications import Ping, ProxyEvent

MERGED_NONCE_LIMIT = 64  # remembered nonces that stand for earlier ones; they are acknowledged long before


class StreamOpened(NamedTuple):
    """A subscription is accepted: its stream first lists all joined proxies, up to its first ``Ping``."""

    stream: int


class StreamEvent(NamedTuple):
    """A notification on the stream of a subscription."""

    stream: int
    event: ProxyEvent | Ping


class StreamClosed(NamedTuple):
    """The stream of a subscription has ended."""

    stream: int


class ProxyMembership:
    """Turns the notifications of subscriptions into events for the decisions.

    A new stream lists all joined proxies and then gives the changes. Three cases of a proxy that is listed:

    * The stream before had ended: the proxy may have left and come back unseen, its table lost. It is
      reported as joined, whatever was known of it, and the decisions bind it anew.
    * The stream before is still open, as after a change of the relay's address: nothing was missed. Proxies
      already joined are not reported again, provided that the former stream proves to be alive (any message
      on it after the new one opened). If it closes without such a message, it may have been dead for long,
      and these *unconfirmed* proxies are reported then.
    * A join or leave on a former stream may be outdated. It is reported as one more join, if the proxy is
      joined: binding a proxy again is harmless, missing a lost table is not.

    A joined proxy that the new stream does not list has left.
    """

    def __init__(self) -> None:
        self.joined: dict[int, model.ProxyJoined] = {}
        self.newest_stream = 0  # the highest stream number that was opened
        self.current_stream: int | None = None  # the newest one, until it closes
        self.former_stream: int | None = None  # the one before, until it has shown that it is alive
        self.superseded: set[int] = set()  # streams that opened after a newer one had
        self.gapless = False  # the current stream opened while the former one was open
        self.unconfirmed: set[int] = set()  # listed, not reported again; see above
        self.listed: set[int] | None = None  # None once the current stream has listed all joined proxies
        self.merged_nonces: dict[int, tuple[int, ...]] = {}  # by nonce, the earlier ones that it stands for

    def handle(self, notification: StreamOpened | StreamEvent | StreamClosed) -> list[ProxyEvent]:
        """Apply a notification and return the events that the decisions are to receive."""
        if not isinstance(notification, StreamEvent):
            return self.handle_change(notification)
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

    def handle_change(self, notification: StreamOpened | StreamClosed) -> list[ProxyEvent]:
        """A stream has opened or ended."""
        if isinstance(notification, StreamClosed):
            return self.close_stream(notification.stream)
        self.open_stream(notification.stream)
        return []

    def open_stream(self, stream: int) -> None:
        """Make the stream the current one, unless a newer one has opened already."""
        if stream < self.newest_stream:
            self.superseded.add(stream)  # the newest one lists whatever this one lists
            return
        self.newest_stream = stream
        self.former_stream, self.current_stream = self.current_stream, stream
        self.gapless = self.former_stream is not None
        self.unconfirmed, self.listed = set(), set()

    def close_stream(self, stream: int) -> list[ProxyEvent]:
        """Return the joins of unconfirmed proxies, if the former stream closed without a sign of life."""
        self.superseded.discard(stream)
        if stream == self.current_stream:
            self.current_stream = None
        if stream != self.former_stream:
            return []
        unconfirmed, self.unconfirmed = self.unconfirmed, set()
        self.former_stream, self.gapless = None, False
        return [self.joined[proxy] for proxy in sorted(unconfirmed & self.joined.keys())]

    def join(self, event: model.ProxyJoined) -> list[ProxyEvent]:
        """Apply a join on the current stream, in its listing or after it."""
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
        """The current stream has listed all joined proxies: those it did not list have left."""
        if self.listed is None:
            return []
        missing, self.listed = sorted(self.joined.keys() - self.listed), None
        for proxy in missing:
            del self.joined[proxy]
        return [model.ProxyLeft(proxy) for proxy in missing]

    def nonces(self, nonce: int) -> tuple[int, ...]:
        """The nonces that this one stands for, in their order, and the nonce itself."""
        return *self.merged_nonces.get(nonce, ()), nonce

    def merge_nonces(self, merged: MergedNonces) -> None:
        """Remember that calls were sent as one, with the last one's nonce.

        A proxy that only an earlier one of these calls concerns acknowledges that nonce, too.
        """
        self.merged_nonces.pop(merged.nonce, None)
        self.merged_nonces[merged.nonce] = tuple(
            nonce for earlier in merged.earlier for nonce in self.nonces(earlier)
        )
        while len(self.merged_nonces) > MERGED_NONCE_LIMIT:
            del self.merged_nonces[next(iter(self.merged_nonces))]
