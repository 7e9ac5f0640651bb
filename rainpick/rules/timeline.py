"""What the rules are judged against: what directors knew of servers, sessions of proxies, runs of servers."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from rainpick.rules.logs import LogEvent
from rainpick.rules.verdict import Limits

KINDS = frozenset({"said", "joined", "left", "start", "stop"})  # of the events that a timeline is built of
STILL_OPEN = 1 << 62  # the end of a session that has not ended


class KnownState(NamedTuple):
    """What a director knew of a server at a moment.

    ``since`` is when it learnt that the server is usable, or that it is not: going from draining to gone
    does not change it.
    """

    state: str
    since: int


class KnownServers:
    """What one director was told of each server, in order of time."""

    def __init__(self) -> None:
        self.times: dict[str, list[int]] = defaultdict(list)
        self.states: dict[str, list[str]] = defaultdict(list)

    def add(self, server: str, at: int, state: str) -> None:
        """Insert what the director was told at a time."""
        index = bisect_right(self.times[server], at)
        self.times[server].insert(index, at)
        self.states[server].insert(index, state)

    def state(self, server: str, at: int) -> KnownState:
        """Find what the director knew of a server at a time; the state is ``unknown`` before any news."""
        index = bisect_right(self.times[server], at) - 1
        if index < 0:
            return KnownState("unknown", 0)
        states = self.states[server]
        state, usable = states[index], states[index] == "ready"
        while index > 0 and (states[index - 1] == "ready") == usable:
            index -= 1
        return KnownState(state, self.times[server][index])

    def unusable_times(self, server: str) -> list[int]:
        """List when the director was told that a server is draining or gone."""
        told = zip(self.times[server], self.states[server], strict=True)
        return [at for at, state in told if state != "ready"]

    def hears_within(self, server: str, begin: int, end: int) -> bool:
        """Whether the director was told anything of a server after ``begin`` and until ``end``."""
        times = self.times[server]
        index = bisect_right(times, begin)
        return index < len(times) and times[index] <= end


@dataclass(slots=True)
class Session:
    """A span of time in which a proxy was joined to a director."""

    director: int
    begin: int
    end: int = STILL_OPEN


@dataclass(slots=True)
class Timeline:
    """The history of a day, as the logs of its peers show it."""

    known: dict[int, KnownServers] = field(default_factory=lambda: defaultdict(KnownServers))  # by director
    sessions: dict[str, list[Session]] = field(default_factory=lambda: defaultdict(list))  # by proxy
    runs: dict[str, list[LogEvent]] = field(default_factory=lambda: defaultdict(list))
    """By server, its ``start`` events; ``end`` is added to those that a ``stop`` ended."""

    def session_at(self, proxy: str, at: int) -> Session | None:
        """Find the latest session of a proxy that was open at a time."""
        sessions = reversed(self.sessions[proxy])
        return next((session for session in sessions if session.begin <= at < session.end), None)

    def run_at(self, server: str, at: int) -> LogEvent | None:
        """Find the run of a server that was the latest to begin by a time."""
        return next((run for run in reversed(self.runs[server]) if run["t"] <= at), None)

    def add(self, event: LogEvent) -> None:
        """Add an event of one of ``KINDS``, in order of time."""
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
    """Build the timeline of events that are in order of time."""
    timeline = Timeline()
    for event in events:
        if event["k"] in KINDS:
            timeline.add(event)
    if limits.gone_binds:
        add_disconnections(timeline, events, limits.member_grace)
    return timeline


def add_disconnections(timeline: Timeline, events: Iterable[LogEvent], grace_us: int) -> None:
    """Count a server as gone when the grace after a broken stream has passed without news of it.

    A director that is down learns nothing of a stream that breaks with it.
    """
    down: set[int] = set()
    for event in events:
        if event["k"] == "killed":
            down.add(event["d"])
        elif event["k"] == "revived":
            down.discard(event["d"])
        elif event["k"] == "lost" and event["d"] not in down:
            known, gone_at = timeline.known[event["d"]], event["t"] + grace_us
            if not known.hears_within(event["s"], event["t"], gone_at):
                known.add(event["s"], gone_at, "gone")
