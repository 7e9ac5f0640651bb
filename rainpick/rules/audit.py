"""Audits a day against the five rules of ``docs/rules.md``, using the logs of the simulated peers.

The audit uses no internal state of a director. A director counts as informed of a server's state when the
server has received the reply to its registration, or has sent its drain or deregistration, for which it does
not await a reply. A proxy holds the weights that it has read.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from rainpick.rules.backlogs import check_backlogs
from rainpick.rules.cold_servers import check_cold_servers
from rainpick.rules.drains import check_drains
from rainpick.rules.duplicate_effects import check_duplicate_effects
from rainpick.rules.empty_tables import check_empty_tables
from rainpick.rules.logs import LogEvent
from rainpick.rules.timeline import build_timeline
from rainpick.rules.verdict import Limits, RouteService, Verdict

# Names of the retry counters in the verdict, by the kind of log event that they count.
RETRY_COUNTERS = {"again": "sent by proxies", "repeat": "dropped by servers"}


def audit(events: Iterable[LogEvent], limits: Limits) -> Verdict:
    """Audit a day, given its log events sorted by time."""
    events = list(events)
    timeline = build_timeline(events, limits)
    begin, end = day_span(events)
    rules = [
        check_empty_tables(events, limits, timeline, end),
        check_duplicate_effects(events, limits, timeline),
        check_drains(events, limits, timeline),
        check_cold_servers(events, limits, timeline),
        check_backlogs(events, limits, timeline),
    ]
    counters = (RETRY_COUNTERS[event["k"]] for event in events if event["k"] in RETRY_COUNTERS)
    return Verdict(rules, measure_service(events, limits, begin, end), dict(Counter(counters)), (begin, end))


def day_span(events: list[LogEvent]) -> tuple[int, int]:
    """Return begin and end of the day: the times of its ``mark`` events, else of its first and last event."""
    if not events:
        return 0, 0
    marks: dict[str, int] = {event["what"]: event["t"] for event in events if event["k"] == "mark"}
    first: int = events[0]["t"]
    last: int = events[-1]["t"]
    return marks.get("begin", first), marks.get("end", last)


def measure_service(events: list[LogEvent], limits: Limits, begin: int, end: int) -> dict[str, RouteService]:
    """Count each route's requests that were due within the day, and those answered within the SLO time."""
    service: dict[str, RouteService] = {
        name: {"asked": 0, "good": 0, "importance": route["importance"], "took": []}
        for name, route in limits.routes.items()
    }
    for event in events:
        if event["k"] == "asked" and begin <= event["t"] <= end:
            route = service[event["r"]]
            route["asked"] += 1
            route["good"] += event["good"]
            route["took"].append(event["took"])
    return service
