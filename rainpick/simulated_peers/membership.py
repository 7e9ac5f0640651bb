"""A simulated server's membership: SASP streams for registration, drain and deregistration."""

from __future__ import annotations

import contextlib
import threading
import time
from collections.abc import Callable

from rainpick.sasp.constants import PURPOSEFUL, ReturnCode
from rainpick.sasp.messages import (
    Deregistration,
    Group,
    Member,
    MemberGroup,
    MemberState,
    Registration,
    SetMemberState,
    StateGroup,
)
from rainpick.simulated_peers.event_log import EventLog, now_us
from rainpick.simulated_peers.peer_settings import SocketAddress
from rainpick.simulated_peers.sasp_client import SaspClient

RECONNECT_DELAY_S = 0.2


class Membership:
    """Keeps a server registered with each director. One instance serves all runs of the server.

    A run lasts from a start of the server to its stop; ``is_current`` returns whether the run with a given
    number still lasts. Each state sent to a director is logged, because the auditor needs to know which
    states a director has received.
    """

    def __init__(
        self,
        directors: tuple[SocketAddress, ...],
        group: Group,
        label: str,
        log: EventLog,
        is_current: Callable[[int], bool],
    ):
        self.directors, self.group, self.label, self.log = directors, group, label, log
        self.is_current = is_current
        self.streams: dict[int, SaspClient] = {}  # newest stream to each director, by director number
        self.address: SocketAddress = ("127.0.0.1", 0)
        self.started_us, self.draining = 0, False

    @property
    def name(self) -> str:
        """The server's name in logs."""
        return "%s:%d" % self.address

    def begin(self, run: int, address: SocketAddress, started_us: int) -> None:
        """Register a new run of the server with all directors, in one thread for each director."""
        self.address, self.started_us = address, started_us
        for director in range(len(self.directors)):
            threading.Thread(target=self.keep_registered, args=(director, run), daemon=True).start()

    def keep_registered(self, director: int, run: int) -> None:
        """Stay registered with a director while a run lasts; reconnect after a broken stream."""
        while self.is_current(run):
            try:
                stream = SaspClient(self.directors[director])
                self.streams[director] = stream
                self.register(director, stream, run)
                while True:
                    stream.receive(None)
            except OSError:
                self.log.write("lost", s=self.name, d=director)
                if self.is_current(run):
                    time.sleep(RECONNECT_DELAY_S)

    def register(self, director: int, stream: SaspClient, run: int) -> None:
        """Register over a new stream, and announce the drain again if the server is draining."""
        age_s = (now_us() - self.started_us) / 1e6
        member = Member.at(*self.address, f"{self.label};boot={run};age={age_s:.3f}")
        reply = stream.request(Registration((MemberGroup(self.group, (member,)),)))
        if reply.code != ReturnCode.SUCCESS:
            raise ConnectionAbortedError(f"registration rejected with return code {reply.code:#04x}")
        self.log.write("said", s=self.name, d=director, what="ready")
        if self.draining:
            self.send_drain(director, stream)

    def send_drain(self, director: int, stream: SaspClient) -> None:
        """Announce the drain to a director by setting the quiesce state."""
        state = MemberState(Member.at(*self.address), 0, True)
        stream.send(SetMemberState((StateGroup(self.group, (state,)),)))
        self.log.write("said", s=self.name, d=director, what="draining")

    def drain(self) -> None:
        """Announce the drain to all directors; ``register`` repeats it after a reconnection."""
        self.draining = True
        for director, stream in list(self.streams.items()):
            with contextlib.suppress(OSError):
                self.send_drain(director, stream)

    def deregister(self) -> None:
        """Deregister the server from all directors, as a purposeful departure."""
        members = MemberGroup(self.group, (Member.at(*self.address),))
        for director, stream in list(self.streams.items()):
            with contextlib.suppress(OSError):
                stream.send(Deregistration((members,), reason=PURPOSEFUL))
                self.log.write("said", s=self.name, d=director, what="gone")

    def break_streams(self) -> None:
        """Close the streams; while the run lasts, the server reconnects."""
        for stream in list(self.streams.values()):
            stream.close()

    def end(self) -> None:
        """Close the streams after the end of a run."""
        self.break_streams()
        self.streams.clear()
