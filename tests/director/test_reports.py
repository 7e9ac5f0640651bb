"""Load reports: fresh ones count once; late, doubled, overlapping and impossible ones do not."""

import pytest

from rainpick import model
from rainpick.director.evidence import Evidence, Reporter
from rainpick.director.proxies import Proxies
from rainpick.director.reports import Freshness, Point, Verdict
from tests.director.drive import settings

S = 1_000_000_000
A, B = ("127.0.0.1", 1), ("127.0.0.1", 2)
KNOWN = {A: None, B: None}
REPORTERS = {"edge-1": Reporter(1, 0), "edge-2": Reporter(2, 1), "edge-3": Reporter(3, 0)}
WALL = 1_700_000_000 * S


def point(end, reporter="edge-1", server=A, route=None, answered=4, dropped=1, span=S, **words):
    return Point(
        reporter,
        WALL + end - span,
        WALL + end,
        answered,
        dropped,
        200_000 * answered,
        server=None if route else server,
        route=route,
        **words,
    )


@pytest.fixture
def evidence():
    return Evidence(Freshness(3_000_000, 1_000_000, 1000), ["lookup", "commit"], 1_000_000, 1000.0)


def add(evidence, wall, *points):
    return evidence.add_report(list(points), WALL + wall, REPORTERS, KNOWN)


def collected(evidence, *times):
    return [report for now in times for report in evidence.collect(now)]


def test_proxies_of_a_zone_are_summed_and_handed_on_once_a_period(evidence):
    add(evidence, 2 * S, point(2 * S), point(2 * S, route="lookup"))
    add(evidence, 2 * S, point(2 * S, "edge-3", answered=6, dropped=0))
    add(evidence, 2 * S, point(2 * S, "edge-2"))
    assert collected(evidence, 0, 500_000) == []
    assert collected(evidence, 1_000_000) == [
        model.ServerLoadReport(A, 0, 11, 1, 200_000, 1_000_000, ()),
        model.RouteLoadReport(1, 0, 5, 1, 1_000_000),
        model.ServerLoadReport(A, 1, 5, 1, 200_000, 1_000_000, ()),
    ]
    assert collected(evidence, 2_000_000) == []


def test_the_same_period_twice_counts_once(evidence):
    assert add(evidence, 2 * S, point(2 * S)) == {Verdict.FRESH: 1}
    assert add(evidence, 3 * S, point(2 * S)) == {Verdict.DOUBLED: 1}
    assert sum(report.attempts for report in collected(evidence, 0, 1_000_000)) == 5


def test_a_period_that_overlaps_another_is_not_counted(evidence):
    add(evidence, 2 * S, point(2 * S))
    assert add(evidence, 3 * S, point(5 * S // 2)) == {Verdict.OVERLAPPING: 1}
    assert add(evidence, 3 * S, point(3 * S)) == {Verdict.FRESH: 1}


def test_out_of_order_but_recent_counts(evidence):
    add(evidence, 3 * S, point(3 * S))
    assert add(evidence, 3 * S, point(2 * S)) == {Verdict.FRESH: 1}


def test_a_point_from_ten_seconds_ago_is_late_even_as_the_first(evidence):
    assert add(evidence, 12 * S, point(2 * S)) == {Verdict.LATE: 1}
    assert add(evidence, 12 * S, point(2 * S)) == {Verdict.DOUBLED: 1}
    assert collected(evidence, 0, 1_000_000) == []


def test_a_clock_that_is_off_a_little_is_allowed_for_and_no_more(evidence):
    for second in range(2, 8):
        assert add(evidence, (second + 3) * S + 800_000_000, point(second * S)) == {Verdict.FRESH: 1}
    assert add(evidence, 9 * S, point(11 * S)) == {Verdict.AHEAD: 1}
    assert add(evidence, 9 * S, point(9 * S + S // 2)) == {Verdict.FRESH: 1}


def test_a_reporter_whose_clock_is_ahead_is_late_by_its_own_measure(evidence):
    """Its reports end 0.9 s in the director's future; one that comes 3 s after that is 3.9 s under way."""
    for second in range(2, 6):
        add(evidence, second * S - 900_000_000, point(second * S))
    assert add(evidence, 9 * S + 200_000_000, point(6 * S)) == {Verdict.LATE: 1}


def test_backwards_and_unknown_are_distinguished(evidence):
    assert add(evidence, 2 * S, point(2 * S, span=-S)) == {Verdict.BACKWARDS: 1}
    assert add(
        evidence, 2 * S, point(2 * S, "nobody"), point(2 * S, server=("x", 1)), point(2 * S, route="no such")
    ) == {"unknown": 3}


def test_counts_of_different_outcomes_are_different_streams(evidence):
    assert add(evidence, 2 * S, point(2 * S, outcomes="answered"), point(2 * S, outcomes="dropped")) == {
        Verdict.FRESH: 2
    }


def test_reports_are_handed_on_at_their_pace_the_oldest_first_and_add_up():
    evidence = Evidence(Freshness(3_000_000, 1_000_000, 1000), ["lookup"], 1_000_000, 2.0)
    for number in (1, 2, 3):
        add(evidence, 2 * S, point(2 * S, f"edge-{number}", route="lookup"))
    assert [report.proxy for report in collected(evidence, 0, 1_000_000)] == [1, 2]
    add(evidence, 3 * S, point(3 * S, "edge-3", route="lookup"), point(3 * S, "edge-1", route="lookup"))
    reports = collected(evidence, 2_000_000)
    counts = [(report.proxy, report.requests, report.interval_us) for report in reports]
    assert counts == [(3, 10, 2_000_000), (1, 5, 1_000_000)]
    assert evidence.due_us(2_000_000) is None


def test_requests_of_a_proxy_that_left_are_not_handed_on(evidence):
    add(evidence, 2 * S, point(2 * S, route="lookup"), point(2 * S, "edge-2", route="lookup"))
    evidence.forget(1)
    assert [report.proxy for report in collected(evidence, 0, 1_000_000)] == [2]


def test_memory_of_streams_is_bounded():
    freshness = Freshness(3_000_000, 1_000_000, 10)
    for port in range(100):
        freshness.judge(point(2 * S, server=("h", port)), WALL + 2 * S, 0)
        freshness.clock_offset_ns(f"edge-{port}", 0, 0)
    assert len(freshness.periods) == len(freshness.clocks) == 10


def test_rates_follow_what_is_reported(evidence):
    for second in range(2, 40):
        add(evidence, second * S, point(second * S, route="lookup", answered=30, dropped=10))
    assert 39 < evidence.rates.per_s["edge-1"] < 41


def test_proxies_have_the_same_numbers_at_every_director_and_distinct_ones():
    first, second = Proxies(settings()), Proxies(settings())
    names = ["edge-7", "east", "edge-12", "other-7", "edge-99999"]
    assert [first.number(name) for name in names] == [second.number(name) for name in names]
    assert first.number("edge-7") == 7 and first.number("edge-12") == 12
    assert len({first.number(name) for name in names}) == len(names)


def test_what_the_settings_know_of_a_proxy():
    proxies = Proxies(settings('proxies: {known: [{match: "edge-b*", zone: "b", rate: 9}], rate: 2}'))
    assert proxies.place("edge-b1") == (1, 9.0) and proxies.place("edge-a1") == (0, 2.0)
