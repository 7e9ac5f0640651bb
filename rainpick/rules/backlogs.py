"""The rule "a short queue": limits the entries that wait in a director, and the messages to a proxy."""

from __future__ import annotations

from collections import defaultdict, deque

from rainpick.rules.logs import LogEvent
from rainpick.rules.timeline import Timeline
from rainpick.rules.verdict import Limits, Rule


def measure_pending(rule: Rule, event: LogEvent, limits: Limits) -> None:
    """Measure the highest number of waiting entries that the director's status reports."""
    pending = event["lines_most"]
    text = f"{pending} lines waited, {limits.pending} may"
    rule.measure(pending / limits.pending, f"director {event['d']}", event["t"], text)


def check_backlogs(events: list[LogEvent], limits: Limits, timeline: Timeline) -> Rule:
    """Check the rule over a day. A message counts when the proxy reads it, from the proxy's join on."""
    rule = Rule("a short queue")
    windows: dict[str, deque[int]] = defaultdict(deque)  # times at which messages were read, by proxy
    for event in events:
        if event["k"] == "status" and event.get("lines_most") is not None:
            measure_pending(rule, event, limits)
        elif event["k"] == "weights" and limits.messages_most:
            window, session = windows[event["p"]], timeline.session_at(event["p"], event["t"])
            window.append(event["t"])
            # Messages sent before the join, which may be read around the time of the join, do not count.
            begin = max(event["t"] - limits.messages_over, session.begin if session else 0)
            while window and window[0] <= begin:
                window.popleft()
            text = f"{len(window)} messages within the span, {limits.messages_most} may be"
            rule.measure(len(window) / limits.messages_most, event["p"], event["t"], text)
    return rule
