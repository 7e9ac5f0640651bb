"""The rule "no cold server pushed over": limits the work sent to a server that is warming up."""

from __future__ import annotations

from collections import defaultdict, deque

from rainpick.rules.logs import LogEvent
from rainpick.rules.timeline import Timeline
from rainpick.rules.verdict import Breach, Limits, Rule

# A server withstands this multiple of the work of the newest attempt, in addition to its ``work_budget``.
SLACK_ATTEMPTS = 4


def work_budget(run: LogEvent, age_us: int, limits: Limits) -> float:
    """Return the work in microseconds that a server withstands within ``limits.fall``, by its age."""
    age = age_us / limits.warm_after
    fraction = limits.start_capacity + (1 - limits.start_capacity) * age
    budget: float = limits.fall_multiple * fraction * run["capacity"] * limits.fall
    return budget


def check_cold_servers(events: list[LogEvent], limits: Limits, timeline: Timeline) -> Rule:
    """Check the rule over a day: the work that servers receive while warming up, and failures under load."""
    rule = Rule("no cold server pushed over")
    windows: dict[str, deque[tuple[int, float]]] = defaultdict(deque)  # time and work of attempts, by server
    for event in events:
        if event["k"] == "stop" and event["how"] == "fell":
            rule.breaches.append(Breach(event["t"], event["s"], "fell over"))
        if event["k"] != "call":
            continue
        run = timeline.run_at(event["s"], event["t"])
        if run is None or event["t"] - run["born"] >= limits.warm_after:
            continue
        window = windows[event["s"]]
        window.append((event["t"], event["w"]))
        while window[0][0] <= max(event["t"] - limits.fall, run["t"] - 1):
            window.popleft()
        budget = work_budget(run, event["t"] - run["born"], limits) + SLACK_ATTEMPTS * event["w"]
        ratio = sum(work for _, work in window) / budget
        rule.measure(ratio, event["s"], event["t"], f"sent {ratio:.2f} of what it stands")
    return rule
