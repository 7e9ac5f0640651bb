"""The rule "no effect twice": a retried request never takes effect twice."""

from __future__ import annotations

from collections import defaultdict

from rainpick.rules.logs import LogEvent
from rainpick.rules.timeline import Timeline
from rainpick.rules.verdict import Breach, Limits, Rule

FORBIDDEN_RATIO = 2  # measured ratio of a retry that is never allowed; a ratio above 1 is a breach


def measure_retry(rule: Rule, event: LogEvent, limits: Limits, pods: dict[str, int]) -> None:
    """Measure a proxy's retry according to the effect of its route.

    A ``mutating`` request may not be retried, a ``keyed`` one only in the same pod and within the route's
    window, a ``repeatable`` one without limits.
    """
    route = limits.routes[event["r"]]
    request = f"{event['r']} {event['id']}"
    if route["effect"] == "mutating":
        rule.measure(FORBIDDEN_RATIO, event["p"], event["t"], f"{request} repeated: it may never be")
    elif route["effect"] == "keyed":
        tried_pods = {pods.get(server) for server in event["after"]}
        if tried_pods != {pods.get(event["s"])}:
            rule.measure(FORBIDDEN_RATIO, event["p"], event["t"], f"{request} repeated outside its pod")
        else:
            ratio = (event["t"] - event["first"]) / route["window"]
            rule.measure(ratio, event["p"], event["t"], f"{request} repeated after its window")


def check_duplicate_effects(events: list[LogEvent], limits: Limits, timeline: Timeline) -> Rule:
    """Check the rule over a day. A second effect is a breach only if a proxy retried the request.

    Retries by a client itself may take effect again.
    """
    rule = Rule("no effect twice")
    pods = {server: runs[-1]["pod"] for server, runs in timeline.runs.items()}
    retried: set[str] = set()
    effects: dict[str, list[LogEvent]] = defaultdict(list)
    for event in events:
        if event["k"] == "again":
            retried.add(event["id"])
            measure_retry(rule, event, limits, pods)
        elif event["k"] == "effect":
            effects[event["id"]].append(event)
    for request, occurrences in effects.items():
        rule.checked += 1
        if len(occurrences) > 1 and request in retried:
            second = occurrences[1]
            text = f"{request} took effect {len(occurrences)} times"
            rule.breaches.append(Breach(second["t"], second["s"], text))
    return rule
