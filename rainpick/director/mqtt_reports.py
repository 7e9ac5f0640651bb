"""Conversion of load reports over MQTT to points."""

from __future__ import annotations

from rainpick.director.reports import Point
from rainpick.publish import payloads
from rainpick.publish.payloads import LoadReport


def points_of(uid: str, report: LoadReport) -> list[Point]:
    """Return a point for each row of a report; ``PayloadError`` if a server in it is not an address."""
    period = uid, report.start_ns, report.end_ns
    points = []
    for attempt in report.attempts:
        answered, failed = counts(attempt.outcome, attempt.count)
        duration_us = int(attempt.total_s * 1e6) if attempt.outcome == "answered" else 0
        server = payloads.parse_address(attempt.server)
        points.append(Point(*period, answered, failed, duration_us, server=server, outcomes=attempt.outcome))
    for request in report.requests:
        answered, failed = counts(request.outcome, request.count)
        points.append(Point(*period, answered, failed, 0, route=request.route, outcomes=request.outcome))
    return points


def counts(outcome: str, count: int) -> tuple[int, int]:
    """Return the numbers of answered and failed requests or attempts."""
    return (count, 0) if outcome == "answered" else (0, count)
