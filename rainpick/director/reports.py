"""Load reports: which of them are fresh, and what the decisions are told of them. Free of I/O.

Each point of a report covers a period of its stream. Periods tell doubled, overlapping and reordered points
apart; the age of a period, judged with what is known of the reporter's clock, tells late ones. Only fresh
ones count: the decisions have no word for old evidence, and to them what is heard is how things are now.
"""

from __future__ import annotations

from collections import OrderedDict, defaultdict, deque
from collections.abc import Iterable
from typing import NamedTuple

from rainpick import model

Key = tuple[str, int]
VERDICTS = FRESH, DOUBLED, OVERLAPPING, LATE, AHEAD, BACKWARDS = (
    "fresh",
    "doubled",
    "overlapping",
    "late",
    "ahead",
    "backwards",
)
PERIODS = 8  # of a stream, that are remembered
CLOCKS = 64  # reports of a reporter by which its clock is judged


class Point(NamedTuple):
    """What a reporter met in a period. ``server`` or ``route`` is set; times are nanoseconds of its clock."""

    reporter: str
    start_ns: int
    end_ns: int
    answered: int
    dropped: int
    took_us: int  # all answered ones together
    server: Key | None = None
    route: str | None = None
    outcomes: str = ""  # which of the two counts this point brings: it is a stream of its own


class Clock:
    """How far a reporter's clock is off, and the least time that its reports are under way, taken together.

    The smallest distance between arrival and end of period, over the last two spans of reports, is what can
    be told of both; it is trusted only as far as clocks may be off.
    """

    __slots__ = ("last", "now", "count")

    def __init__(self) -> None:
        self.last: int | None = None
        self.now: int | None = None
        self.count = 0

    def offset(self, distance_ns: int, most_ns: int) -> int:
        self.now = distance_ns if self.now is None else min(self.now, distance_ns)
        self.count += 1
        least = self.now if self.last is None else min(self.now, self.last)
        if self.count >= CLOCKS:
            self.last, self.now, self.count = self.now, None, 0
        return max(-most_ns, min(most_ns, least))


class Freshness:
    """Judges points by their periods."""

    def __init__(self, late_after_us: int, skew_most_us: int, streams_most: int):
        self.late_ns, self.skew_ns, self.most = late_after_us * 1000, skew_most_us * 1000, streams_most
        self.periods: OrderedDict[tuple, deque[tuple[int, int]]] = OrderedDict()
        self.clocks: OrderedDict[str, Clock] = OrderedDict()

    def arrived(self, reporter: str, end_ns: int, wall_ns: int) -> int:
        """The offset to judge a report's points by; once for each report."""
        clock = self.clocks.setdefault(reporter, Clock())
        self.clocks.move_to_end(reporter)
        while len(self.clocks) > self.most:
            self.clocks.popitem(last=False)
        return clock.offset(wall_ns - end_ns, self.skew_ns)

    def judge(self, point: Point, wall_ns: int, offset_ns: int) -> str:
        if point.end_ns <= point.start_ns:
            return BACKWARDS
        if wall_ns - point.end_ns < -self.skew_ns:
            return AHEAD
        stream = (point.reporter, point.server, point.route, point.outcomes)
        periods = self.periods.get(stream)
        if periods is not None:
            for start_ns, end_ns in periods:
                if (start_ns, end_ns) == (point.start_ns, point.end_ns):
                    return DOUBLED
                if start_ns < point.end_ns and point.start_ns < end_ns:
                    return OVERLAPPING
        # A late point is remembered as well: its double must not be told from it by chance.
        if periods is None:
            periods = self.periods[stream] = deque(maxlen=PERIODS)
        self.periods.move_to_end(stream)
        periods.append((point.start_ns, point.end_ns))
        while len(self.periods) > self.most:
            self.periods.popitem(last=False)
        return LATE if wall_ns - point.end_ns - offset_ns > self.late_ns else FRESH


class Sum:
    """A line of reports that waits to be told: sums over one or more periods."""

    __slots__ = ("answered", "dropped", "took_us", "start_ns", "end_ns")

    def __init__(self) -> None:
        self.answered = self.dropped = self.took_us = 0
        self.start_ns, self.end_ns = 1 << 62, 0

    def add(self, point: Point) -> None:
        self.answered += point.answered
        self.dropped += point.dropped
        self.took_us += point.took_us
        self.start_ns, self.end_ns = min(self.start_ns, point.start_ns), max(self.end_ns, point.end_ns)

    def span_us(self) -> int:
        return max(1, (self.end_ns - self.start_ns) // 1000)


class Evidence:
    """What all proxies reported, summed by (zone, server) and (proxy, route), told at a bounded pace.

    Once a report period all sums become due; so many lines a second are told, the oldest first, and what
    waits adds up. A proxy that floods costs its own lines and nobody else's.
    """

    def __init__(self, freshness: Freshness, routes: Iterable[str], every_us: int, lines_per_s: float):
        self.freshness, self.routes = freshness, {name: place for place, name in enumerate(routes)}
        self.every_us, self.lines_per_s = every_us, lines_per_s
        self.sums: OrderedDict[tuple, Sum] = OrderedDict()
        self.due: deque[tuple] = deque()
        self.next_us: int | None = None
        self.credit, self.credit_us = 0.0, 0
        self.counts: dict[str, int] = dict.fromkeys(VERDICTS, 0)
        self.unknown = 0  # points of reporters that are not joined, or of things that are not known
        self.told = 0
        self.rates: dict[str, float] = {}  # by reporter: calls a second, smoothed

    def take(
        self,
        points: list[Point],
        wall_ns: int,
        places: dict[str, tuple[int, int]],
        known: dict[Key, model.Endpoint],
    ) -> dict[str, int]:
        """Judge and sum the points of one report. ``places``: proxy number and zone by joined reporter."""
        verdicts: dict[str, int] = defaultdict(int)
        offsets: dict[str, int] = {}
        calls: dict[str, list[float]] = {}
        for reporter in {point.reporter for point in points}:
            end_ns = max(point.end_ns for point in points if point.reporter == reporter)
            if reporter in places:
                offsets[reporter] = self.freshness.arrived(reporter, end_ns, wall_ns)
        for point in points:
            place = places.get(point.reporter)
            strange = point.server not in known if point.server else point.route not in self.routes
            if place is None or strange:
                verdicts["unknown"] += 1
                self.unknown += 1
                continue
            verdict = self.freshness.judge(point, wall_ns, offsets[point.reporter])
            verdicts[verdict] += 1
            self.counts[verdict] += 1
            if verdict != FRESH:
                continue
            number, zone = place
            line = ("server", zone, point.server) if point.server else ("calls", number, point.route)
            self.sums.setdefault(line, Sum()).add(point)
            if point.route is not None:
                row = calls.setdefault(point.reporter, [0, point.start_ns, point.end_ns])
                row[0] += point.answered + point.dropped
                row[1], row[2] = min(row[1], point.start_ns), max(row[2], point.end_ns)
        for reporter, (count, start_ns, end_ns) in calls.items():
            rate = count * 1e9 / (end_ns - start_ns)
            old = self.rates.get(reporter)
            self.rates[reporter] = rate if old is None else old + (rate - old) / 8
        return verdicts

    def due_us(self, now: int) -> int | None:
        """When ``tell`` has something to say."""
        if self.due:
            return max(now, self.credit_us + int((1 - self.credit) / self.lines_per_s * 1e6) + 1)
        if not self.sums:
            return None
        return now if self.next_us is None else self.next_us

    def tell(self, now: int) -> list:
        """``ServerLoadReport`` and ``RouteLoadReport`` lines that may be told now."""
        if self.next_us is None:
            self.next_us = now + self.every_us
        self.credit = min(
            self.lines_per_s * self.every_us / 1e6,
            self.credit + (now - self.credit_us) * self.lines_per_s / 1e6,
        )
        self.credit_us = now
        if now >= self.next_us:
            waiting = set(self.due)
            self.due.extend(line for line in self.sums if line not in waiting)
            self.next_us = max(self.next_us + self.every_us, now)
        found = []
        while self.due and self.credit >= 1:
            kind, place, what = line = self.due.popleft()
            total = self.sums.pop(line)
            self.credit -= 1
            if kind == "server":
                tries = total.answered + total.dropped
                mean_us = total.took_us // total.answered if total.answered else 0
                found.append(
                    model.ServerLoadReport(what, place, tries, total.dropped, mean_us, total.span_us(), ())
                )
            else:
                found.append(
                    model.RouteLoadReport(
                        place,
                        self.routes[what],
                        total.answered + total.dropped,
                        total.dropped,
                        total.span_us(),
                    )
                )
        self.told += len(found)
        return found

    def forget(self, number: int) -> None:
        """A proxy has left: what it reported of its calls is not told any more."""
        for line in [line for line in self.sums if line[0] == "calls" and line[1] == number]:
            del self.sums[line]
            if line in self.due:
                self.due.remove(line)
