"""Sums of the load reports of all proxies, forwarded to ``Director`` at a limited rate. No I/O."""

from __future__ import annotations

from collections import OrderedDict, defaultdict, deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from rainpick import model
from rainpick.director.addresses import Key
from rainpick.director.reports import FreshnessFilter, Point, Verdict

RATE_SMOOTHING = 8  # the moving average gives a new rate the weight 1 / RATE_SMOOTHING
Report = model.ServerLoadReport | model.RouteLoadReport


class ServerKey(NamedTuple):
    """Key of a sum over the attempts at a server by all proxies of a zone."""

    zone: int
    server: Key


class RouteKey(NamedTuple):
    """Key of a sum over the requests of a route at one proxy."""

    proxy: int
    route: str


class Reporter(NamedTuple):
    """The number and zone of a joined proxy that reports."""

    number: int
    zone: int


class PointSum:
    """The sum of the fresh points of one key since its last forwarded report, over one or more periods."""

    __slots__ = ("answered", "dropped", "took_us", "start_ns", "end_ns")

    def __init__(self) -> None:
        self.answered = 0
        self.dropped = 0
        self.took_us = 0  # total duration of the answered requests or attempts
        self.start_ns, self.end_ns = 1 << 62, 0  # the interval that the points cover, empty at first

    def add(self, point: Point) -> None:
        """Add a point and extend the covered interval by its period."""
        self.answered += point.answered
        self.dropped += point.dropped
        self.took_us += point.took_us
        self.start_ns = min(self.start_ns, point.start_ns)
        self.end_ns = max(self.end_ns, point.end_ns)

    def interval_us(self) -> int:
        """Return the length of the covered interval in microseconds, at least 1."""
        return max(1, (self.end_ns - self.start_ns) // 1000)

    def server_report(self, key: ServerKey) -> model.ServerLoadReport:
        """Return the sum as an event for ``Director``."""
        attempts = self.answered + self.dropped
        mean_us = self.took_us // self.answered if self.answered else 0
        return model.ServerLoadReport(
            key.server, key.zone, attempts, self.dropped, mean_us, self.interval_us(), ()
        )

    def route_report(self, proxy: int, route: int) -> model.RouteLoadReport:
        """Return the sum as an event for ``Director``; ``route`` is the route's index."""
        requests = self.answered + self.dropped
        return model.RouteLoadReport(proxy, route, requests, self.dropped, self.interval_us())


class ReportedRates:
    """The requests a second of each reporter, as a moving average over its reports."""

    def __init__(self) -> None:
        self.per_s: dict[str, float] = {}  # requests a second by LB UID

    def add(self, points: Iterable[Point]) -> None:
        """Update the rates with the fresh points of one report; only points of routes count requests."""
        sums: dict[str, PointSum] = {}
        for point in points:
            if point.route is not None:
                sums.setdefault(point.reporter, PointSum()).add(point)
        for reporter, total in sums.items():
            rate = (total.answered + total.dropped) * 1e9 / (total.end_ns - total.start_ns)
            old = self.per_s.get(reporter)
            self.per_s[reporter] = rate if old is None else old + (rate - old) / RATE_SMOOTHING


class LoadAggregator:
    """Sums of fresh points by (zone, server) and (proxy, route), forwarded at a limited rate.

    Once a report period all sums become due. A limited number of them is forwarded each second, the oldest
    first; the others accumulate further points. A proxy that sends too many reports creates no further sums,
    so it does not delay the sums of other proxies.
    """

    def __init__(
        self, freshness_filter: FreshnessFilter, routes: Iterable[str], period_us: int, reports_per_s: float
    ):
        self.freshness_filter = freshness_filter
        self.route_indexes = {name: index for index, name in enumerate(routes)}
        self.period_us = period_us
        self.reports_per_s = reports_per_s
        self.sums: OrderedDict[ServerKey | RouteKey, PointSum] = OrderedDict()  # oldest first
        self.due: deque[ServerKey | RouteKey] = deque()  # keys of the sums to forward, oldest first
        self.next_period_us: int | None = None  # time when all sums become due; None until ``collect`` runs
        # The number of reports that may be forwarded, and the time at which it was computed.
        self.credit, self.credit_us = 0.0, 0
        self.verdicts: dict[Verdict, int] = dict.fromkeys(Verdict, 0)  # number of points by verdict
        self.forwarded_reports = 0
        self.rates = ReportedRates()

    def add_report(
        self,
        points: list[Point],
        wall_ns: int,
        reporters: Mapping[str, Reporter],
        known_servers: Mapping[Key, object],
    ) -> dict[str, int]:
        """Classify the points of one report and add the fresh ones; return the count of points by verdict.

        ``reporters`` has the joined proxies among the reporters of these points, by UID. The keys of
        ``known_servers`` are the listed servers.
        """
        verdicts: dict[str, int] = defaultdict(int)
        offsets_ns = self.clock_offsets_ns(points, wall_ns, reporters)
        fresh: list[Point] = []
        for point in points:
            reporter = reporters.get(point.reporter)
            if reporter is None or not self.is_known(point, known_servers):
                verdict = Verdict.UNKNOWN
            else:
                verdict = self.freshness_filter.classify(point, wall_ns, offsets_ns[point.reporter])
                if verdict is Verdict.FRESH:
                    self.add_point(sum_key(point, reporter), point)
                    fresh.append(point)
            verdicts[verdict] += 1
            self.verdicts[verdict] += 1
        self.rates.add(fresh)
        return verdicts

    def add_point(self, key: ServerKey | RouteKey, point: Point) -> None:
        """Add a fresh point to its sum."""
        total = self.sums.get(key)
        if total is None:
            total = self.sums[key] = PointSum()
        total.add(point)

    def clock_offsets_ns(
        self, points: list[Point], wall_ns: int, reporters: Mapping[str, Reporter]
    ) -> dict[str, int]:
        """Return the clock offset of each joined reporter, estimated from its newest point."""
        newest_ns: dict[str, int] = {}
        for point in points:
            if point.reporter in reporters:
                newest_ns[point.reporter] = max(point.end_ns, newest_ns.get(point.reporter, point.end_ns))
        return {
            reporter: self.freshness_filter.clock_offset_ns(reporter, end_ns, wall_ns)
            for reporter, end_ns in newest_ns.items()
        }

    def is_known(self, point: Point, known_servers: Mapping[Key, object]) -> bool:
        """Return whether a point is about a listed server or about a route of the settings."""
        if point.server:
            return point.server in known_servers
        return point.route in self.route_indexes

    def due_us(self, now: int) -> int | None:
        """Return the time at which ``collect`` has a report to return; None if there are no sums."""
        if self.due:
            missing_credit = 1 - self.credit
            return max(now, self.credit_us + int(missing_credit / self.reports_per_s * 1e6) + 1)
        if not self.sums:
            return None
        return now if self.next_period_us is None else self.next_period_us

    def collect(self, now: int) -> list[Report]:
        """Remove the sums that are due and may be forwarded now; return them as reports."""
        self.start_period(now)
        reports: list[Report] = []
        while self.due and self.credit >= 1:
            key = self.due.popleft()
            total = self.sums.pop(key)
            self.credit -= 1
            if isinstance(key, ServerKey):
                reports.append(total.server_report(key))
            else:
                reports.append(total.route_report(key.proxy, self.route_indexes[key.route]))
        self.forwarded_reports += len(reports)
        return reports

    def start_period(self, now: int) -> None:
        """Add the credit earned since the last call; at the end of a period, make all sums due."""
        if self.next_period_us is None:
            self.next_period_us = now + self.period_us
        earned = (now - self.credit_us) * self.reports_per_s / 1e6
        self.credit = min(self.reports_per_s * self.period_us / 1e6, self.credit + earned)
        self.credit_us = now
        if now >= self.next_period_us:
            waiting = set(self.due)
            self.due.extend(key for key in self.sums if key not in waiting)
            self.next_period_us = max(self.next_period_us + self.period_us, now)

    def forget(self, proxy: int) -> None:
        """Discard the sums over the requests of a proxy that has left."""
        keys = [key for key in self.sums if isinstance(key, RouteKey) and key.proxy == proxy]
        for key in keys:
            del self.sums[key]
            if key in self.due:
                self.due.remove(key)


def sum_key(point: Point, reporter: Reporter) -> ServerKey | RouteKey:
    """Return the key of the sum to which a point with a known server or route is added."""
    if point.server:
        return ServerKey(reporter.zone, point.server)
    return RouteKey(reporter.number, point.route or "")
