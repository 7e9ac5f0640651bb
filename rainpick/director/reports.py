"""Points of load reports, and the check whether they are fresh. Does no I/O.

A series consists of the points of one reporter with the same server or route and the same outcome. Each
point covers a period. Equal and overlapping periods of a series show duplicate and overlapping points. The
age of a period, corrected by the estimated clock offset of the reporter, shows whether its point is late.
Only fresh points count, because ``Director`` treats reports as the current state.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from enum import StrEnum
from typing import NamedTuple

from rainpick.director.addresses import Key

REMEMBERED_PERIODS = 8  # newest periods remembered for each series
REPORTS_PER_SPAN = 64  # reports of a reporter in one span of its clock offset estimate


class Verdict(StrEnum):
    """The classification of a point; the values appear in logs and in the status document."""

    FRESH = "fresh"
    DOUBLED = "doubled"  # a point of its series had the same period
    OVERLAPPING = "overlapping"  # its period overlaps that of an earlier point of its series
    LATE = "late"  # its period ended too long ago
    AHEAD = "ahead"  # its period ends further in the future than the largest allowed clock skew
    BACKWARDS = "backwards"  # its period does not end after it begins
    UNKNOWN = "unknown"  # its reporter is not joined, or its server or route is unknown


class Point(NamedTuple):
    """The attempts at a server, or the requests of a route, that a reporter counted in a period.

    The period is in nanoseconds by the reporter's clock. Either ``server`` or ``route`` is set.
    """

    reporter: str
    start_ns: int
    end_ns: int
    answered: int
    dropped: int
    took_us: int  # total duration of the answered requests or attempts
    server: Key | None = None
    route: str | None = None
    outcomes: str = ""  # the outcome that this point counts; each outcome is a separate series


class ClockOffsetEstimate:
    """An estimate of a reporter's clock offset plus the shortest delay of its reports.

    The offset and the delay can't be measured separately. The estimate is the smallest difference between the
    arrival of a report and the end of its period, over the current and the previous span of reports. It is
    limited to the largest allowed clock skew.
    """

    __slots__ = ("previous_min", "current_min", "count")

    def __init__(self) -> None:
        self.previous_min: int | None = None  # smallest difference in the previous span
        self.current_min: int | None = None  # smallest difference in the current span
        self.count = 0  # reports in the current span

    def add(self, difference_ns: int, max_skew_ns: int) -> int:
        """Add a report's difference; return the estimate, within plus or minus ``max_skew_ns``."""
        current = difference_ns if self.current_min is None else min(self.current_min, difference_ns)
        self.current_min = current
        self.count += 1
        smallest = current if self.previous_min is None else min(current, self.previous_min)
        if self.count >= REPORTS_PER_SPAN:
            self.previous_min, self.current_min, self.count = current, None, 0
        return max(-max_skew_ns, min(max_skew_ns, smallest))


Series = tuple[str, Key | None, str | None, str]  # reporter, server, route, outcome
Period = tuple[int, int]  # start and end in nanoseconds


class FreshnessFilter:
    """Classifies points by their periods.

    Memory is bounded: beyond ``max_series``, the least recently used series and reporters are removed.
    """

    def __init__(self, late_after_us: int, max_skew_us: int, max_series: int):
        self.late_after_ns = late_after_us * 1000
        self.max_skew_ns = max_skew_us * 1000
        self.max_series = max_series
        self.periods: OrderedDict[Series, deque[Period]] = OrderedDict()
        self.clocks: OrderedDict[str, ClockOffsetEstimate] = OrderedDict()

    def clock_offset_ns(self, reporter: str, end_ns: int, wall_ns: int) -> int:
        """Add a report to the clock offset estimate of its reporter; return the estimate.

        Must be called once for each report. ``end_ns`` is the end of its newest period, ``wall_ns`` its
        arrival.
        """
        clock = self.clocks.setdefault(reporter, ClockOffsetEstimate())
        self.clocks.move_to_end(reporter)
        while len(self.clocks) > self.max_series:
            self.clocks.popitem(last=False)
        return clock.add(wall_ns - end_ns, self.max_skew_ns)

    def classify(self, point: Point, wall_ns: int, offset_ns: int) -> Verdict:
        """Return the verdict on a point that arrived at ``wall_ns``, and record its period."""
        if point.end_ns <= point.start_ns:
            return Verdict.BACKWARDS
        if wall_ns - point.end_ns < -self.max_skew_ns:
            return Verdict.AHEAD
        series = (point.reporter, point.server, point.route, point.outcomes)
        period = (point.start_ns, point.end_ns)
        for earlier in self.periods.get(series, ()):
            if earlier == period:
                return Verdict.DOUBLED
            if earlier[0] < point.end_ns and point.start_ns < earlier[1]:
                return Verdict.OVERLAPPING
        # A late point is recorded as well, so that its duplicates are always detected.
        self.record_period(series, period)
        late = wall_ns - point.end_ns - offset_ns > self.late_after_ns
        return Verdict.LATE if late else Verdict.FRESH

    def record_period(self, series: Series, period: Period) -> None:
        """Record a period of a series; remove the least recently used series beyond the limit."""
        periods = self.periods.get(series)
        if periods is None:
            periods = self.periods[series] = deque(maxlen=REMEMBERED_PERIODS)
        self.periods.move_to_end(series)
        periods.append(period)
        while len(self.periods) > self.max_series:
            self.periods.popitem(last=False)
