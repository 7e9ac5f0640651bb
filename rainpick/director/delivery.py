"""Writes to proxies without waiting, and knows what their sockets have taken.

A message over SASP counts as delivered once the proxy's machine has acknowledged its bytes; MQTT has its own
acknowledgements and uses this module only while a socket takes nothing (*stalled*).
"""

from __future__ import annotations

from collections.abc import Callable

from rainpick.director.context import Context
from rainpick.director.sessions import ProxySession, Sessions
from rainpick.net.streams import Stream

POLL_US = 5_000  # how often sockets with undelivered messages are polled


class Delivery:
    """Streams with messages on their way. Used by the event loop's thread alone."""

    def __init__(self, context: Context, sessions: Sessions):
        self.context = context
        self.sessions = sessions
        self.undelivered: set[int] = set()  # stream numbers, as in the next
        self.stalled: set[int] = set()
        # Whether a proxy whose socket takes bytes again may be sent further messages.
        self.has_send_quota: Callable[[Stream], bool] = lambda _: True
        sessions.closing_listeners.append(self.forget)

    def forget(self, stream: Stream) -> None:
        """A stream ends."""
        self.undelivered.discard(stream.number)
        self.stalled.discard(stream.number)

    def poll_interval_us(self) -> int | None:
        """How soon ``poll`` is wanted again; None if nothing is on its way."""
        return POLL_US if self.undelivered or self.stalled else None

    def send(self, session: ProxySession, data: bytes, message: int) -> None:
        """Write a numbered message; a proxy that has let too much pile up is disconnected."""
        stream = session.stream
        if not stream.write(data, message):
            self.sessions.disconnect(session, "more waits for it than is held")
            return
        if stream.unsent:
            self.mark_stalled(session)
        self.undelivered.add(stream.number)

    def mark_stalled(self, session: ProxySession) -> None:
        """A proxy's socket has not taken everything: nothing more is written to it for now."""
        self.stalled.add(session.stream.number)
        self.set_blocked(session, True)

    def set_blocked(self, session: ProxySession, blocked: bool) -> None:
        """Let the engine hold back a proxy's messages, or no longer; who polls always is."""
        session.blocked_since_us = (session.blocked_since_us or self.context.clock()) if blocked else None
        self.context.started_engine.set_blocked(session.number, blocked or not session.accepts_push)

    def poll(self, now: int) -> None:
        """Retry stalled sockets, then look at what sockets have delivered."""
        for number in [*self.stalled]:
            self.retry_write(number, now)
        for number in [*self.undelivered]:
            self.confirm_delivery(number)

    def retry_write(self, number: int, now: int) -> None:
        """Write what is left to a socket that took too little; disconnect after ``sasp.write_stall``."""
        stream, session = self.sessions.streams[number], self.sessions.by_stream.get(number)
        if session is None:  # the proxy has said that it is gone; its stream is its frontend's to watch
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
            self.sessions.disconnect(session, "its socket takes nothing")

    def confirm_delivery(self, number: int) -> None:
        """What a proxy's machine has taken counts as applied."""
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
