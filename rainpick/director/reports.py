"""Load reports: their points, and which of them are fresh. Free of I/O.

Each point of a report covers a period of its series. Periods show which points are doubled, overlapping or
reordered; the age of a period, judged with what is known of the reporter's clock, shows which are late. Only
fresh points count: to the decisions, what they are told is how things are now.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from enum import StrEnum
from typing import NamedTuple

from rainpick.director.addresses import Key

REMEMBERED_PERIODS = 8  # of a series
REPORTS_PER_SPAN = 64  # how many reports of a reporter a span of its clock's estimate covers


class Verdict(StrEnum):
    """What a point is found to be; the values are in logs and on the status front."""

    FRESH = "fresh"
    DOUBLED = "doubled"  # the same period again
    OVERLAPPING = "overlapping"  # a period that shares time with an earlier one
    LATE = "late"
    AHEAD = "ahead"  # it ends in the future, further than clocks may be off
    BACKWARDS = "backwards"  # it ends before it begins
    UNKNOWN = "unknown"  # of a reporter that is not joined, or of a server or route that is not known


class Point(NamedTuple):
    """What a reporter counted in a period of its clock, in nanoseconds. ``server`` or ``route`` is set."""

    reporter: str
    start_ns: int
    end_ns: int
    answered: int
    dropped: int
    took_us: int  # the durations of all answered ones, summed
    server: Key | None = None
    route: str | None = None
    outcomes: str = ""  # which of the two counts this point has: a series of its own


class ClockEstimate:
    """How far a reporter's clock is off, plus the least time that its reports are under way.

    The smallest distance between arrival and end of period, over the current and the previous span of
    reports, is all that can be known of both together; it is trusted only as far as clocks may be off.
    """

    __slots__ = ("previous_min", "current_min", "count")

    def __init__(self) -> None:
        self.previous_min: int | None = None
        self.current_min: int | None = None
        self.count = 0  # of reports in the current span

    def add(self, distance_ns: int, max_skew_ns: int) -> int:
        """Take a report's distance into account; the estimate, within plus or minus ``max_skew_ns``."""
        current = distance_ns if self.current_min is None else min(self.current_min, distance_ns)
        self.current_min = current
        self.count += 1
        smallest = current if self.previous_min is None else min(current, self.previous_min)
        if self.count >= REPORTS_PER_SPAN:
            self.previous_min, self.current_min, self.count = current, None, 0
        return max(-max_skew_ns, min(max_skew_ns, smallest))


Series = tuple[str, Key | None, str | None, str]
Period = tuple[int, int]


class Freshness:
    """Judges points by their periods. Bounded: of series and reporters, the least recently seen go first."""

    def __init__(self, late_after_us: int, max_skew_us: int, max_series: int):
        self.late_after_ns = late_after_us * 1000
        self.max_skew_ns = max_skew_us * 1000
        self.max_series = max_series
        self.periods: OrderedDict[Series, deque[Period]] = OrderedDict()
        self.clocks: OrderedDict[str, ClockEstimate] = OrderedDict()

    def clock_offset_ns(self, reporter: str, end_ns: int, wall_ns: int) -> int:
        """The offset to judge a report's points by; to be called once for each report."""
        clock = self.clocks.setdefault(reporter, ClockEstimate())
        self.clocks.move_to_end(reporter)
        while len(self.clocks) > self.max_series:
            self.clocks.popitem(last=False)
        return clock.add(wall_ns - end_ns, self.max_skew_ns)

    def judge(self, point: Point, wall_ns: int, offset_ns: int) -> Verdict:
        """The verdict on a point that arrived at ``wall_ns``; its period is remembered."""
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
        # A late point is remembered as well: whether its double is found must not depend on chance.
        self.remember(series, period)
        late = wall_ns - point.end_ns - offset_ns > self.late_after_ns
        return Verdict.LATE if late else Verdict.FRESH

    def remember(self, series: Series, period: Period) -> None:
        """Remember a period of a series; forget the series that was seen least recently if there are many."""
        periods = self.periods.get(series)
        if periods is None:
            periods = self.periods[series] = deque(maxlen=REMEMBERED_PERIODS)
        self.periods.move_to_end(series)
        periods.append(period)
        while len(self.periods) > self.max_series:
            self.periods.popitem(last=False)
