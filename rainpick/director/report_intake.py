"""Receives load reports from the OTLP and MQTT frontends, in the event loop's thread."""

from __future__ import annotations

import time

from rainpick.director.context import Context
from rainpick.director.load_aggregator import LoadAggregator, Reporter
from rainpick.director.messages import LoadReportReceived
from rainpick.director.proxies import Proxies
from rainpick.director.reports import Point, Verdict
from rainpick.director.sessions import ProxySession, Sessions

MAX_REPORTERS_LOGGED = 3


class ReportIntake:
    """Finds the joined proxies that reported the points, and adds the points to the aggregator."""

    def __init__(self, context: Context, sessions: Sessions, proxies: Proxies, aggregator: LoadAggregator):
        self.context = context
        self.sessions = sessions
        self.proxies = proxies
        self.aggregator = aggregator
        self.reports = 0  # number of received reports

    def receive_otlp(self, query: LoadReportReceived) -> None:
        """Add the points of an OTLP export, which may have several reporters; reply with their verdicts."""
        points = query.batch.points
        sessions = (self.sessions.by_uid.get(point.reporter) for point in points)
        reporters = {session.uid: self.reporter(session) for session in sessions if session}
        query.reply(self.add(points, query.wall_ns, reporters))

    def receive_mqtt(self, session: ProxySession, points: list[Point]) -> None:
        """Add the points of a report that a proxy published on its own topic."""
        self.add(points, time.time_ns(), {session.uid: self.reporter(session)})

    def reporter(self, session: ProxySession) -> Reporter:
        """Return the number and zone of a proxy."""
        return Reporter(session.number, self.proxies.attributes(session.uid).zone)

    def add(self, points: list[Point], wall_ns: int, reporters: dict[str, Reporter]) -> dict[str, int]:
        """Add the points of a report to the aggregator; return the number of points by verdict."""
        engine = self.context.engine
        known_servers = engine.listed if engine is not None else {}
        verdicts = self.aggregator.add_report(points, wall_ns, reporters, known_servers)
        self.reports += 1
        if set(verdicts) - {Verdict.FRESH, Verdict.UNKNOWN}:
            names = sorted({point.reporter for point in points})[:MAX_REPORTERS_LOGGED]
            self.context.log.info("report not fresh", reporters=names, **verdicts)
        return verdicts
