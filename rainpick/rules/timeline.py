"""The timeline of a day: the server states that directors knew, sessions of proxies, runs of servers."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from rainpick.rules.logs import LogEvent
from rainpick.rules.verdict import Limits

EVENT_KINDS = frozenset({"said", "joined", "left", "start", "stop"})  # kinds that ``Timeline.add`` handles
STILL_OPEN = 1 << 62  # ``Session.end`` of a session that has not ended


class KnownState(NamedTuple):
    """The state of a server that a director knew at a time.

    ``since`` is the time at which the director was informed that the server became usable (ready) or
    unusable (draining or gone). A change from draining to gone does not change ``since``.
    """

    state: str
    since: int


class KnownServers:
    """The states of each server that one director received, in order of time."""

    def __init__(self) -> None:
        self.times: dict[str, list[int]] = defaultdict(list)
        self.states: dict[str, list[str]] = defaultdict(list)

    def add(self, server: str, at: int, state: str) -> None:
        """Insert a state that the director received at a time."""
        index = bisect_right(self.times[server], at)
        self.times[server].insert(index, at)
        self.states[server].insert(index, state)

    def state(self, server: str, at: int) -> KnownState:
        """Return the state of a server as known at a time; ``unknown`` before the first received state."""
        index = bisect_right(self.times[server], at) - 1
        if index < 0:
            return KnownState("unknown", 0)
        states = self.states[server]
        state, usable = states[index], states[index] == "ready"
        while index > 0 and (states[index - 1] == "ready") == usable:
            index -= 1
        return KnownState(state, self.times[server][index])

    def unusable_times(self, server: str) -> list[int]:
        """List the times at which the director was informed that a server is draining or gone."""
        received = zip(self.times[server], self.states[server], strict=True)
        return [at for at, state in received if state != "ready"]

    def is_updated_within(self, server: str, begin: int, end: int) -> bool:
        """Return whether the director received a state of a server after ``begin`` and until ``end``."""
        times = self.times[server]
        index = bisect_right(times, begin)
        return index < len(times) and times[index] <= end


@dataclass(slots=True)
class Session:
    """A period in which a proxy was joined to a director."""

    director: int
    begin: int
    end: int = STILL_OPEN


@dataclass(slots=True)
class Timeline:
    """The history of a day, taken from the logs of its peers."""

    known: dict[int, KnownServers] = field(default_factory=lambda: defaultdict(KnownServers))  # by director
    sessions: dict[str, list[Session]] = field(default_factory=lambda: defaultdict(list))  # by proxy
    runs: dict[str, list[LogEvent]] = field(default_factory=lambda: defaultdict(list))
    """``start`` events by server. A ``stop`` event sets ``end`` in the latest of its server."""

    def session_at(self, proxy: str, at: int) -> Session | None:
        """Return the latest session of a proxy that was open at a time; None if there is none."""
        sessions = reversed(self.sessions[proxy])
        return next((session for session in sessions if session.begin <= at < session.end), None)

    def run_at(self, server: str, at: int) -> LogEvent | None:
        """Return the latest run of a server that began at or before a time; None if there is none."""
        return next((run for run in reversed(self.runs[server]) if run["t"] <= at), None)

    def add(self, event: LogEvent) -> None:
        """Add an event of one of ``EVENT_KINDS``; events must arrive in order of time."""
        match event["k"]:
            case "said":
                self.known[event["d"]].add(event["s"], event["t"], event["what"])
            case "joined":
                self.sessions[event["p"]].append(Session(event["d"], event["t"]))
            case "left" if self.sessions[event["p"]]:
                session = self.sessions[event["p"]][-1]
                session.end = min(session.end, event["t"])
            case "start":
                self.runs[event["s"]].append(event)
            case "stop" if self.runs[event["s"]]:
                self.runs[event["s"]][-1]["end"] = event["t"]


def build_timeline(events: list[LogEvent], limits: Limits) -> Timeline:
    """Build the timeline from log events sorted by time.

    With ``limits.gone_binds``, servers also count as gone when their streams have been broken for too long.
    """
    timeline = Timeline()
    for event in events:
        if event["k"] in EVENT_KINDS:
            timeline.add(event)
    if limits.gone_binds:
        add_disconnections(timeline, events, limits.member_grace)
    return timeline


def add_disconnections(timeline: Timeline, events: Iterable[LogEvent], grace_us: int) -> None:
    """Add the state ``gone`` at the end of the grace after a broken stream.

    Nothing is added if the director received a state of the server within the grace, or was down when the
    stream broke.
    """
    down: set[int] = set()
    for event in events:
        if event["k"] == "killed":
            down.add(event["d"])
        elif event["k"] == "revived":
            down.discard(event["d"])
        elif event["k"] == "lost" and event["d"] not in down:
            known, gone_at = timeline.known[event["d"]], event["t"] + grace_us
            if not known.is_updated_within(event["s"], event["t"], gone_at):
                known.add(event["s"], gone_at, "gone")
