"""Takes in load reports from both frontends, within the event loop's thread."""

from __future__ import annotations

import time

from rainpick.director.context import Context
from rainpick.director.evidence import Evidence, Reporter
from rainpick.director.messages import LoadReportReceived
from rainpick.director.proxies import Proxies
from rainpick.director.reports import Point, Verdict
from rainpick.director.sessions import ProxySession, Sessions

MAX_REPORTERS_LOGGED = 3


class ReportIntake:
    """Pairs points with the proxies that report them and adds them to the evidence."""

    def __init__(self, context: Context, sessions: Sessions, proxies: Proxies, evidence: Evidence):
        self.context = context
        self.sessions = sessions
        self.proxies = proxies
        self.evidence = evidence
        self.reports = 0  # received

    def receive_otlp(self, query: LoadReportReceived) -> None:
        """Handle an OTLP export; it may carry points of several reporters."""
        points = query.batch.points
        sessions = (self.sessions.by_uid.get(point.reporter) for point in points)
        reporters = {session.uid: self.reporter(session) for session in sessions if session}
        query.reply(self.add(points, query.wall_ns, reporters))

    def receive_mqtt(self, session: ProxySession, points: list[Point]) -> None:
        """Handle a report that a proxy published on its own topic."""
        self.add(points, time.time_ns(), {session.uid: self.reporter(session)})

    def reporter(self, session: ProxySession) -> Reporter:
        """A proxy as its reports are summed."""
        return Reporter(session.number, self.proxies.place(session.uid).zone)

    def add(self, points: list[Point], wall_ns: int, reporters: dict[str, Reporter]) -> dict[str, int]:
        """Judge the points of a report and add the fresh ones; how many there were by verdict."""
        engine = self.context.engine
        known_servers = engine.listed if engine is not None else {}
        verdicts = self.evidence.add_report(points, wall_ns, reporters, known_servers)
        self.reports += 1
        if set(verdicts) - {Verdict.FRESH, Verdict.UNKNOWN}:
            names = sorted({point.reporter for point in points})[:MAX_REPORTERS_LOGGED]
            self.context.log.info("report not fresh", reporters=names, **verdicts)
        return verdicts
