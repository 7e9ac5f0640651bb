"""Load reports that proxies publish over MQTT, as points of evidence."""

from __future__ import annotations

from rainpick.director.reports import Point
from rainpick.publish import payloads
from rainpick.publish.payloads import LoadReport


def points_of(uid: str, report: LoadReport) -> list[Point]:
    """A point for each row of a report; ``PayloadError`` if a server in it is no address."""
    period = uid, report.start_ns, report.end_ns
    points = []
    for row in report.attempts:
        answered, failed = counts(row.outcome, row.count)
        duration_us = int(row.total_s * 1e6) if row.outcome == "answered" else 0
        server = payloads.parse_address(row.server)
        points.append(Point(*period, answered, failed, duration_us, server=server, outcomes=row.outcome))
    for call in report.requests:
        answered, failed = counts(call.outcome, call.count)
        points.append(Point(*period, answered, failed, 0, route=call.route, outcomes=call.outcome))
    return points


def counts(outcome: str, count: int) -> tuple[int, int]:
    """How many were answered, and how many failed."""
    return (count, 0) if outcome == "answered" else (0, count)
