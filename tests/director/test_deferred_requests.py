"""Requests of peers that do not read: held back, carried out in order, or dropped with the stream."""

from types import SimpleNamespace

from rainpick.director.deferred_requests import RequestDeferral
from rainpick.net.flow_control import FlowControl

WRITE_STALL_US = 2_000_000


class SlowStream:
    """A stream whose peer reads ``accepts`` bytes each time that a write is tried."""

    number = 1

    def __init__(self, accepts):
        self.accepts, self.unsent, self.flow = accepts, bytearray(), FlowControl()

    def flush(self):
        del self.unsent[: self.accepts]

    def is_reset(self):
        return False


class Sessions:
    """The sessions of one open stream."""

    def __init__(self):
        self.now = 0
        settings = SimpleNamespace(sasp=SimpleNamespace(write_stall=WRITE_STALL_US))
        self.context = SimpleNamespace(settings=settings, clock=lambda: self.now)
        self.closing_listeners, self.reasons = [], []

    def is_open(self, stream):
        return not self.reasons

    def close(self, stream, reason):
        self.reasons.append(reason)
        for listener in self.closing_listeners:
            listener(stream)


def play(accepts, seconds):
    """Send five requests, each with a reply of 1,000 bytes; poll ten times a second."""
    sessions, stream, handled = Sessions(), SlowStream(accepts), []

    def handle(stream, event):
        handled.append(event)
        stream.unsent += b"x" * 1000

    deferral = RequestDeferral(sessions, handle)
    for event in range(5):
        stream.flow.acquire()
        deferral.receive(stream, event)
    assert handled == [0]
    for _ in range(seconds * 10):
        sessions.now += 100_000
        deferral.poll(sessions.now)
    return handled, sessions.reasons, stream


def test_a_peer_that_reads_slowly_is_served_in_order_and_not_closed():
    """Guards against counting the time since the first byte left over: the peer reads, if slowly."""
    handled, reasons, stream = play(accepts=20, seconds=30)
    assert handled == [0, 1, 2, 3, 4] and not reasons and not stream.flow.unhandled


def test_a_peer_that_does_not_read_is_closed_and_its_requests_are_dropped():
    handled, reasons, _ = play(accepts=0, seconds=3)
    assert handled == [0] and reasons == ["its socket accepts no data"]
