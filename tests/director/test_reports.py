"""Load reports: only fresh points count, and each of them counts once."""

import pytest

from rainpick import model
from rainpick.director.load_aggregator import LoadAggregator, Reporter
from rainpick.director.proxies import Proxies
from rainpick.director.reports import FreshnessFilter, Point, Verdict
from tests.director.engine_driver import settings

S = 1_000_000_000
A, B = ("127.0.0.1", 1), ("127.0.0.1", 2)
KNOWN = {A: None, B: None}
REPORTERS = {"edge-1": Reporter(1, 0), "edge-2": Reporter(2, 1), "edge-3": Reporter(3, 0)}
WALL = 1_700_000_000 * S


def point(end, reporter="edge-1", server=A, route=None, answered=4, dropped=1, span=S, **options):
    return Point(
        reporter,
        WALL + end - span,
        WALL + end,
        answered,
        dropped,
        200_000 * answered,
        server=None if route else server,
        route=route,
        **options,
    )


@pytest.fixture
def aggregator():
    return LoadAggregator(
        FreshnessFilter(3_000_000, 1_000_000, 1000), ["lookup", "commit"], 1_000_000, 1000.0
    )


def add(aggregator, wall, *points):
    return aggregator.add_report(list(points), WALL + wall, REPORTERS, KNOWN)


def collected(aggregator, *times):
    return [report for now in times for report in aggregator.collect(now)]


def test_attempts_are_summed_by_zone_and_forwarded_once_a_period(aggregator):
    """Guards against a report for each proxy or point in place of one sum a period."""
    add(aggregator, 2 * S, point(2 * S), point(2 * S, route="lookup"))
    add(aggregator, 2 * S, point(2 * S, "edge-3", answered=6, dropped=0))
    add(aggregator, 2 * S, point(2 * S, "edge-2"))
    assert collected(aggregator, 0, 500_000) == []
    assert collected(aggregator, 1_000_000) == [
        model.ServerLoadReport(A, 0, 11, 1, 200_000, 1_000_000, ()),
        model.RouteLoadReport(1, 0, 5, 1, 1_000_000),
        model.ServerLoadReport(A, 1, 5, 1, 200_000, 1_000_000, ()),
    ]
    assert collected(aggregator, 2_000_000) == []


def test_duplicate_period_counts_once(aggregator):
    """Guards against counting a retransmitted report twice."""
    assert add(aggregator, 2 * S, point(2 * S)) == {Verdict.FRESH: 1}
    assert add(aggregator, 3 * S, point(2 * S)) == {Verdict.DOUBLED: 1}
    assert sum(report.attempts for report in collected(aggregator, 0, 1_000_000)) == 5


def test_overlapping_period_is_not_counted(aggregator):
    """Guards against counting the shared time of two periods twice."""
    add(aggregator, 2 * S, point(2 * S))
    assert add(aggregator, 3 * S, point(5 * S // 2)) == {Verdict.OVERLAPPING: 1}
    assert add(aggregator, 3 * S, point(3 * S)) == {Verdict.FRESH: 1}


def test_recent_point_out_of_order_is_counted(aggregator):
    """Guards against dropping a point only because a later period has arrived before it."""
    add(aggregator, 3 * S, point(3 * S))
    assert add(aggregator, 3 * S, point(2 * S)) == {Verdict.FRESH: 1}


def test_first_point_of_a_reporter_can_be_late(aggregator):
    """Guards against taking the age of a reporter's first point for its clock offset.

    The point is 10 s old, beyond the largest skew of 1 s and the limit of 3 s. Its duplicate is still
    detected.
    """
    assert add(aggregator, 12 * S, point(2 * S)) == {Verdict.LATE: 1}
    assert add(aggregator, 12 * S, point(2 * S)) == {Verdict.DOUBLED: 1}
    assert collected(aggregator, 0, 1_000_000) == []


def test_clock_offset_is_corrected_up_to_the_allowed_skew(aggregator):
    """Guards against rejecting points because of a clock offset within the allowed skew of 1 s."""
    for second in range(2, 8):
        assert add(aggregator, (second + 3) * S + 800_000_000, point(second * S)) == {Verdict.FRESH: 1}
    assert add(aggregator, 9 * S, point(11 * S)) == {Verdict.AHEAD: 1}
    assert add(aggregator, 9 * S, point(9 * S + S // 2)) == {Verdict.FRESH: 1}


def test_lateness_is_measured_by_the_reporters_clock_offset(aggregator):
    """Guards against a late point that looks recent because its reporter's clock is ahead.

    The reports end 0.9 s in the director's future, so a report that arrives 3 s after the end of its period
    was under way for 3.9 s.
    """
    for second in range(2, 6):
        add(aggregator, second * S - 900_000_000, point(second * S))
    assert add(aggregator, 9 * S + 200_000_000, point(6 * S)) == {Verdict.LATE: 1}


def test_backwards_and_unknown_points_are_distinguished(aggregator):
    """Guards against a wrong verdict on points that can't be counted."""
    assert add(aggregator, 2 * S, point(2 * S, span=-S)) == {Verdict.BACKWARDS: 1}
    assert add(
        aggregator,
        2 * S,
        point(2 * S, "nobody"),
        point(2 * S, server=("x", 1)),
        point(2 * S, route="no such"),
    ) == {"unknown": 3}


def test_each_outcome_is_a_separate_series(aggregator):
    """Guards against taking points of different outcomes in one period for duplicates."""
    assert add(aggregator, 2 * S, point(2 * S, outcomes="answered"), point(2 * S, outcomes="dropped")) == {
        Verdict.FRESH: 2
    }


def test_reports_are_forwarded_at_a_limited_rate_oldest_first():
    """Guards against lost or starved sums when more are due than may be forwarded.

    With 2 reports a second, the third sum waits for the next second and accumulates further points.
    """
    aggregator = LoadAggregator(FreshnessFilter(3_000_000, 1_000_000, 1000), ["lookup"], 1_000_000, 2.0)
    for number in (1, 2, 3):
        add(aggregator, 2 * S, point(2 * S, f"edge-{number}", route="lookup"))
    assert [report.proxy for report in collected(aggregator, 0, 1_000_000)] == [1, 2]
    add(aggregator, 3 * S, point(3 * S, "edge-3", route="lookup"), point(3 * S, "edge-1", route="lookup"))
    reports = collected(aggregator, 2_000_000)
    counts = [(report.proxy, report.requests, report.interval_us) for report in reports]
    assert counts == [(3, 10, 2_000_000), (1, 5, 1_000_000)]
    assert aggregator.due_us(2_000_000) is None


def test_requests_of_a_proxy_that_left_are_not_forwarded(aggregator):
    """Guards against route reports for a proxy that ``Director`` no longer knows."""
    add(aggregator, 2 * S, point(2 * S, route="lookup"), point(2 * S, "edge-2", route="lookup"))
    aggregator.forget(1)
    assert [report.proxy for report in collected(aggregator, 0, 1_000_000)] == [2]


def test_remembered_series_and_clocks_are_bounded():
    """Guards against memory that grows with the number of series and reporters."""
    freshness_filter = FreshnessFilter(3_000_000, 1_000_000, 10)
    for port in range(100):
        freshness_filter.classify(point(2 * S, server=("h", port)), WALL + 2 * S, 0)
        freshness_filter.clock_offset_ns(f"edge-{port}", 0, 0)
    assert len(freshness_filter.periods) == len(freshness_filter.clocks) == 10


def test_smoothed_rate_follows_the_reports(aggregator):
    """Guards against a request rate that does not converge to the reported 40 requests a second."""
    for second in range(2, 40):
        add(aggregator, second * S, point(second * S, route="lookup", answered=30, dropped=10))
    assert 39 < aggregator.rates.per_s["edge-1"] < 41


def test_proxy_numbers_are_distinct_and_equal_at_every_director():
    """Guards against proxies that share a number, or whose number depends on the director."""
    first, second = Proxies(settings()), Proxies(settings())
    uids = ["edge-7", "east", "edge-12", "other-7", "edge-99999"]
    assert [first.number(uid) for uid in uids] == [second.number(uid) for uid in uids]
    assert first.number("edge-7") == 7 and first.number("edge-12") == 12
    assert len({first.number(uid) for uid in uids}) == len(uids)


def test_zone_and_rate_of_a_proxy_come_from_the_settings():
    """Guards against ignoring a matching entry of ``proxies.known``, or the defaults."""
    proxies = Proxies(settings('proxies: {known: [{match: "edge-b*", zone: "b", rate: 9}], rate: 2}'))
    assert proxies.attributes("edge-b1") == (1, 9.0) and proxies.attributes("edge-a1") == (0, 2.0)
