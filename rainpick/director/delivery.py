"""Non-blocking writes to proxies, and tracking of the messages that were delivered to their hosts.

A message over SASP counts as delivered once the proxy's host has acknowledged its bytes (TCP). MQTT has its
own acknowledgements, so its messages are not tracked here. Over both protocols, this module retries the
writes to *stalled* sockets, which accept no data.
"""

from __future__ import annotations

from collections.abc import Callable

from rainpick.director.context import Context
from rainpick.director.sessions import ProxySession, Sessions
from rainpick.net.streams import Stream

POLL_US = 5_000  # poll interval of sockets with undelivered messages


class Delivery:
    """Streams with undelivered messages. Used only by the event loop's thread."""

    def __init__(self, context: Context, sessions: Sessions):
        self.context = context
        self.sessions = sessions
        self.undelivered: set[int] = set()  # numbers of the streams with undelivered messages
        self.stalled: set[int] = set()  # numbers of the streams with stalled sockets
        # Returns whether the MQTT receive maximum of a stream allows further messages; set by ``MqttSender``.
        self.has_send_quota: Callable[[Stream], bool] = lambda _: True
        sessions.closing_listeners.append(self.forget)

    def forget(self, stream: Stream) -> None:
        """Remove a stream that ends."""
        self.undelivered.discard(stream.number)
        self.stalled.discard(stream.number)

    def poll_interval_us(self) -> int | None:
        """Return the time until ``poll`` is due, in microseconds; None if no stream has to be polled."""
        return POLL_US if self.undelivered or self.stalled else None

    def send(self, session: ProxySession, data: bytes, message_number: int) -> None:
        """Write a message of the engine; disconnect the proxy if too much unsent data is queued for it."""
        stream = session.stream
        if not stream.write(data, message_number):
            self.sessions.disconnect(session, "too much unsent data")
            return
        if stream.unsent:
            self.mark_stalled(session)
        self.undelivered.add(stream.number)

    def mark_stalled(self, session: ProxySession) -> None:
        """Hold back further messages to a proxy until its socket has accepted all data."""
        self.stalled.add(session.stream.number)
        self.set_blocked(session, True)

    def set_blocked(self, session: ProxySession, blocked: bool) -> None:
        """Make the engine hold back or release the messages to a proxy.

        The messages to a polling proxy always stay held back.
        """
        session.blocked_since_us = (session.blocked_since_us or self.context.clock()) if blocked else None
        self.context.started_engine.set_blocked(session.number, blocked or not session.accepts_push)

    def poll(self, now: int) -> None:
        """Retry the writes to stalled sockets, then check which messages were delivered."""
        for number in [*self.stalled]:
            self.retry_write(number, now)
        for number in [*self.undelivered]:
            self.confirm_delivery(number)

    def retry_write(self, number: int, now: int) -> None:
        """Write the unsent data of a stalled socket; disconnect its proxy after ``sasp.write_stall``."""
        stream, session = self.sessions.streams[number], self.sessions.by_stream.get(number)
        if session is None:  # the proxy has announced its end; the MQTT frontend retries its writes
            self.stalled.discard(number)
            return
        stream.flush()
        if not stream.unsent:
            self.stalled.discard(number)
            self.set_blocked(session, not self.has_send_quota(stream))
            return
        blocked_since_us = session.blocked_since_us
        if blocked_since_us is None:
            raise RuntimeError(f"the stalled proxy {session.uid} is not blocked")
        if now - blocked_since_us > self.context.settings.sasp.write_stall:
            self.sessions.disconnect(session, "its socket accepts no data")

    def confirm_delivery(self, number: int) -> None:
        """Confirm the delivery of the messages that a proxy's host has acknowledged over TCP."""
        stream = self.sessions.streams.get(number)
        if stream is None:
            self.undelivered.discard(number)
            return
        newest = stream.newest_delivered()
        session = self.sessions.by_stream.get(number)
        if newest is not None and session is not None:
            self.context.started_engine.confirm_delivery(session.number, newest)
        if not stream.pending:
            self.undelivered.discard(number)
