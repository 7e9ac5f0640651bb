"""Holds back the requests of peers that do not read the replies to earlier ones.

A peer whose socket accepts no more data is sent nothing new, and its later requests wait until it has read.
Its stream reads at most a few further requests, see ``FlowControl``. Requests of a peer that has closed its
connection without reading are dropped: nobody is left to answer.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from rainpick.director.messages import StreamEvent
from rainpick.director.sessions import Sessions
from rainpick.net import StreamEnded
from rainpick.net.streams import Stream

POLL_US = 5_000  # interval at which writes to these peers are tried again


@dataclass(slots=True)
class DeferredRequests:
    """The requests of one peer, oldest first, and since when its socket accepts no data."""

    stream: Stream
    since_us: int
    unsent: int  # bytes that the socket had not accepted when it was last tried
    events: deque[StreamEvent] = field(default_factory=deque)


class RequestDeferral:
    """The peers that do not read, by stream number. Used only by the event loop's thread.

    ``handle`` carries out a request.
    """

    def __init__(self, sessions: Sessions, handle: Callable[[Stream, StreamEvent], None]):
        self.sessions = sessions
        self.handle = handle
        self.deferred: dict[int, DeferredRequests] = {}
        sessions.closing_listeners.append(self.forget)

    def forget(self, stream: Stream) -> None:
        """Drop the requests of a stream that ends."""
        self.deferred.pop(stream.number, None)

    def receive(self, stream: Stream, event: StreamEvent) -> None:
        """Handle an event of a stream, or hold it back."""
        waiting = self.deferred.get(stream.number)
        if stream.is_reset() and not isinstance(event, StreamEnded):
            self.sessions.close(stream, "closed by the peer without reading")
        elif waiting is not None:
            waiting.events.append(event)
        else:
            self.carry_out(stream, event)

    def carry_out(self, stream: Stream, event: StreamEvent) -> None:
        """Handle an event; hold later ones back if the peer does not read the reply."""
        self.handle(stream, event)
        stream.flow.release()
        if stream.unsent and self.sessions.is_open(stream):
            now = self.sessions.context.clock()
            self.deferred.setdefault(stream.number, DeferredRequests(stream, now, len(stream.unsent)))

    def poll_interval_us(self) -> int | None:
        """Return the time until ``poll`` is due, in microseconds; None if no peer is waited for."""
        return POLL_US if self.deferred else None

    def poll(self, now: int) -> None:
        """Try to write to the peers again; carry their requests out, or close after ``sasp.write_stall``."""
        stall_us = self.sessions.context.settings.sasp.write_stall
        for number, waiting in list(self.deferred.items()):
            stream = waiting.stream
            stream.flush()
            if len(stream.unsent) < waiting.unsent:
                waiting.since_us, waiting.unsent = now, len(stream.unsent)
            if stream.is_reset():
                self.sessions.close(stream, "closed by the peer without reading")
            elif not stream.unsent:
                self.resume(number, waiting)
            elif now - waiting.since_us > stall_us:
                self.sessions.close(stream, "its socket accepts no data")

    def resume(self, number: int, waiting: DeferredRequests) -> None:
        """Carry the requests of a peer out until it stops reading again."""
        del self.deferred[number]
        while waiting.events and number not in self.deferred and self.sessions.is_open(waiting.stream):
            self.carry_out(waiting.stream, waiting.events.popleft())
        if number in self.deferred:
            self.deferred[number].events.extend(waiting.events)
