"""The rule "a line to pick": a joined proxy has a server with weight while a warm server is ready."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from rainpick.rules.logs import LogEvent
from rainpick.rules.timeline import KnownServers, Timeline
from rainpick.rules.verdict import Limits, Rule

EVENT_KINDS = frozenset({"weights", "standing", "left"})  # events that change a table or end a session


class Span(NamedTuple):
    """A span of time in microseconds."""

    begin: int
    end: int

    def overlap(self, other: Span) -> int:
        """Return the overlap of two spans in microseconds; negative if they are disjoint."""
        return min(self.end, other.end) - max(self.begin, other.begin)


def warm_span(run: LogEvent, known: list[KnownServers], warm_after_us: int, end: int) -> Span:
    """Return the span of a run in which its server is warm and usable.

    The span ends with the run, or when the first director is informed that the server is draining or gone.
    """
    unusable_from = [at for servers in known for at in servers.unusable_times(run["s"]) if at >= run["t"]]
    return Span(run["born"] + warm_after_us, min([run.get("end", end), *unusable_from]))


class EmptyTableCheck:
    """Tracks the table of each proxy through the day, and measures how long tables are empty."""

    def __init__(self, limits: Limits, timeline: Timeline, end: int):
        self.rule, self.limit_us, self.timeline = Rule("a line to pick"), limits.bare, timeline
        self.end = end
        known = list(timeline.known.values())
        self.warm_spans = [
            warm_span(run, known, limits.warm_after, end) for runs in timeline.runs.values() for run in runs
        ]
        self.tables: dict[str, dict[str, int]] = defaultdict(dict)  # weights by proxy and server
        self.empty_since: dict[str, int] = {}  # time at which a proxy's table became empty, by proxy

    def update(self, event: LogEvent) -> None:
        """Handle an event of one of ``EVENT_KINDS``; events must arrive in order of time.

        The end of a session ends the measurement of an empty table; another one begins at once.
        """
        if event["k"] != "left":
            self.update_table(event["p"], event)
        elif event["p"] in self.empty_since:
            self.measure(event["p"], event["t"])
            self.empty_since[event["p"]] = event["t"]

    def update_table(self, proxy: str, event: LogEvent) -> None:
        """Apply the entries that a proxy has read."""
        self.rule.checked += 1
        table = self.tables[proxy]
        for server, weight, *_ in event["m"]:
            if weight:
                table[server] = weight
            else:
                table.pop(server, None)
        if not table:
            self.empty_since.setdefault(proxy, event["t"])
        elif proxy in self.empty_since:
            self.measure(proxy, event["t"])

    def measure(self, proxy: str, until: int) -> None:
        """End the time in which a proxy's table was empty, and measure it.

        The measured value is the longest time within the session in which one server was warm. Nothing is
        measured if the proxy was not joined to a director.
        """
        since = self.empty_since.pop(proxy)
        session = self.timeline.session_at(proxy, until - 1)
        if session is None:
            return
        empty = Span(max(since, session.begin), until)
        longest = max((empty.overlap(span) for span in self.warm_spans), default=0)
        if longest > 0:
            ratio = longest / self.limit_us
            self.rule.measure(ratio, proxy, until, f"no line to pick for {longest / 1e6:.2f} s")

    def finish(self) -> Rule:
        """Measure the tables that are empty at the end of the day."""
        for proxy in list(self.empty_since):
            self.measure(proxy, self.end)
        return self.rule


def check_empty_tables(events: list[LogEvent], limits: Limits, timeline: Timeline, end: int) -> Rule:
    """Check the rule over a day that lasts until ``end``."""
    check = EmptyTableCheck(limits, timeline, end)
    for event in events:
        if event["k"] in EVENT_KINDS:
            check.update(event)
    return check.finish()
