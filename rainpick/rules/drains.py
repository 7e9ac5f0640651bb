"""The rule "drains kept": no attempt goes to a server once the grace after its drain has passed."""

from __future__ import annotations

from rainpick.rules.logs import LogEvent
from rainpick.rules.timeline import Timeline
from rainpick.rules.verdict import Limits, Rule


def check_drains(events: list[LogEvent], limits: Limits, timeline: Timeline) -> Rule:
    """Check the rule over a day, for the attempts of proxies that are joined to a director.

    The grace begins when this director is informed of the drain, or at the proxy's join if the join is later.
    With ``limits.gone_binds`` the same holds for servers that are gone.
    """
    rule = Rule("drains kept")
    bound_states = ("draining", "gone") if limits.gone_binds else ("draining",)
    for event in events:
        if event["k"] != "try":
            continue
        session = timeline.session_at(event["p"], event["t"])
        if session is None:
            continue
        state, since = timeline.known[session.director].state(event["s"], event["t"])
        if state in bound_states:
            late_us = event["t"] - max(since, session.begin)
            text = f"sent to {event['s']} {late_us / 1e6:.2f} s after its director was told: {state}"
            rule.measure(late_us / limits.grace, event["p"], event["t"], text)
    return rule
