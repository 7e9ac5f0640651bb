"""The rule "a short queue": limits the table entries that wait in a director, and messages to a proxy."""

from __future__ import annotations

from collections import defaultdict, deque

from rainpick.rules.logs import LogEvent
from rainpick.rules.timeline import Timeline
from rainpick.rules.verdict import Limits, Rule


def measure_pending(rule: Rule, event: LogEvent, limits: Limits) -> None:
    """Measure the highest number of waiting entries in a director's status against the limit."""
    pending = event["lines_most"]
    text = f"{pending} lines waited, {limits.pending} may"
    rule.measure(pending / limits.pending, f"director {event['d']}", event["t"], text)


def check_backlogs(events: list[LogEvent], limits: Limits, timeline: Timeline) -> Rule:
    """Check the rule over a day. A message counts at the time at which the proxy reads it."""
    rule = Rule("a short queue")
    windows: dict[str, deque[int]] = defaultdict(deque)  # times at which messages were read, by proxy
    for event in events:
        if event["k"] == "status" and event.get("lines_most") is not None:
            measure_pending(rule, event, limits)
        elif event["k"] == "weights" and limits.messages_most:
            window, session = windows[event["p"]], timeline.session_at(event["p"], event["t"])
            window.append(event["t"])
            # Messages read up to the join belong to an earlier stream. A message read after the join counts,
            # even if the director sent it before.
            begin = max(event["t"] - limits.messages_over, session.begin if session else 0)
            while window and window[0] <= begin:
                window.popleft()
            text = f"{len(window)} messages within the span, {limits.messages_most} may be"
            rule.measure(len(window) / limits.messages_most, event["p"], event["t"], text)
    return rule
