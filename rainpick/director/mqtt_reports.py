"""Load reports that proxies publish over MQTT, as points of evidence."""

from __future__ import annotations

from rainpick.director.reports import Point
from rainpick.publish import payloads
from rainpick.publish.payloads import Met


def points_of(uid: str, report: Met) -> list[Point]:
    """A point for each row of a report; ``PayloadError`` if a server in it is no address."""
    period = uid, report.start_ns, report.end_ns
    points = []
    for row in report.tries:
        answered, failed = counts(row.outcome, row.count)
        duration_us = int(row.seconds * 1e6) if row.outcome == "answered" else 0
        server = payloads.key(row.server)
        points.append(Point(*period, answered, failed, duration_us, server=server, outcomes=row.outcome))
    for call in report.calls:
        answered, failed = counts(call.outcome, call.count)
        points.append(Point(*period, answered, failed, 0, route=call.route, outcomes=call.outcome))
    return points


def counts(outcome: str, count: int) -> tuple[int, int]:
    """How many were answered, and how many failed."""
    return (count, 0) if outcome == "answered" else (0, count)
