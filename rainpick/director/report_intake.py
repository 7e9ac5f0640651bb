"""Takes in load reports from both frontends, within the event loop's thread."""

from __future__ import annotations

import time

from rainpick.director.context import Context
from rainpick.director.messages import LoadReportReceived
from rainpick.director.proxies import Proxies
from rainpick.director.reports import FRESH, Evidence, Point
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
        reporters = dict(self.number_and_zone(session) for session in sessions if session)
        query.reply(self.add(points, query.wall_ns, reporters))

    def receive_mqtt(self, session: ProxySession, points: list[Point]) -> None:
        """Handle a report that a proxy published on its own topic."""
        self.add(points, time.time_ns(), dict([self.number_and_zone(session)]))

    def number_and_zone(self, session: ProxySession) -> tuple[str, tuple[int, int]]:
        """A proxy's UID; its number and its zone."""
        return session.uid, (session.number, self.proxies.place(session.uid)[0])

    def add(self, points: list[Point], wall_ns: int, reporters: dict[str, tuple[int, int]]) -> dict[str, int]:
        """Judge the points of a report and add the fresh ones; how many there were by verdict."""
        engine = self.context.engine
        known_servers = engine.listed if engine is not None else {}
        verdicts = self.evidence.take(points, wall_ns, reporters, known_servers)
        self.reports += 1
        if set(verdicts) - {FRESH, "unknown"}:
            names = sorted({point.reporter for point in points})[:MAX_REPORTERS_LOGGED]
            self.context.log.info("report not fresh", reporters=names, **verdicts)
        return verdicts
