"""The auditor on logs written by hand: it names each rule when it is broken, and only then."""

import json
from dataclasses import replace

import pytest

from rainpick.rules import Limits, audit, read_logs

S = 1_000_000
ROUTES = {
    "lookup": {"importance": 1, "effect": "repeatable", "window": 0},
    "commit": {"importance": 5, "effect": "keyed", "window": S},
    "record": {"importance": 2, "effect": "mutating", "window": 0},
}
LIMITS = Limits(
    bare=2 * S,
    grace=2 * S,
    warm_after=10 * S,
    start_capacity=0.2,
    fall_multiple=3.0,
    fall=S,
    pending=100,
    lines_per_s=1000.0,
    head=6,
    messages_most=3,
    messages_over=10 * S,
    member_grace=S,
    gone_binds=True,
    routes=ROUTES,
)


def start(server, t=0.0, born=-100.0, pod=0):
    return {"k": "start", "s": server, "t": int(t * S), "born": int(born * S), "pod": pod, "capacity": 2.0}


def said(server, t, what):
    return {"k": "said", "s": server, "d": 0, "t": int(t * S), "what": what}


def event(kind, t, **fields):
    return {"k": kind, "t": int(t * S), **fields}


BASE = [
    start("a"),
    start("b", pod=1),
    said("a", 0, "ready"),
    said("b", 0, "ready"),
    event("joined", 1, p="e", d=0),
    event("weights", 1.1, p="e", m=[["a", 5, 0], ["b", 5, 0]]),
]


def judge(*more, limits=LIMITS):
    verdict = audit(sorted([*BASE, *more], key=lambda one: one["t"]), limits)
    return {rule.name: len(rule.breaches) for rule in verdict.rules if rule.breaches}, verdict


SHUT = event("weights", 5, p="e", m=[["a", 0, 0], ["b", 0, 0]])


@pytest.mark.parametrize(
    "more, broken",
    [
        ([SHUT, event("weights", 6.9, p="e", m=[["a", 1, 0]])], {}),
        ([SHUT, event("weights", 7.1, p="e", m=[["a", 1, 0]])], {"a line to pick": 1}),
        (
            [
                SHUT,
                event("left", 6, p="e"),
                event("joined", 9, p="e", d=0),
                event("weights", 10, p="e", m=[["a", 1, 0]]),
            ],
            {},
        ),
        ([SHUT, said("a", 4, "draining"), said("b", 4, "draining"), event("mark", 20, what="end")], {}),
        ([SHUT, event("mark", 20, what="end")], {"a line to pick": 1}),
    ],
)
def test_a_line_to_pick(more, broken):
    assert judge(*more)[0] == broken


def again(t, after, to, route="commit", first=3.0):
    return event("again", t, p="e", id="c", r=route, s=to, after=[after], first=int(first * S))


@pytest.mark.parametrize(
    "more, broken",
    [
        ([start("c", pod=0), again(3.5, "a", "c")], {}),
        ([again(3.5, "a", "b")], {"no effect twice": 1}),
        ([start("c", pod=0), again(4.5, "a", "c")], {"no effect twice": 1}),
        ([start("c", pod=0), again(3.5, "a", "c", "record")], {"no effect twice": 1}),
        ([again(3.5, "a", "b", "lookup")], {}),
        (
            [
                start("c", pod=0),
                again(3.5, "a", "c"),
                event("effect", 3.6, s="a", id="c", r="commit"),
                event("effect", 3.7, s="c", id="c", r="commit"),
            ],
            {"no effect twice": 1},
        ),
    ],
)
def test_no_effect_twice(more, broken):
    assert judge(*more)[0] == broken


def sent(t, server="a", proxy="e"):
    return event("try", t, p=proxy, s=server, id=f"x{t}", r="lookup")


@pytest.mark.parametrize(
    "more, broken",
    [
        ([said("a", 5, "draining"), sent(6.9)], {}),
        ([said("a", 5, "draining"), sent(7.1)], {"drains kept": 1}),
        ([said("a", 5, "draining"), said("a", 6, "gone"), sent(7.1)], {"drains kept": 1}),
        ([said("a", 5, "draining"), said("a", 6, "ready"), sent(9)], {}),
        ([event("lost", 5, s="a", d=0), sent(7.9)], {}),
        ([event("lost", 5, s="a", d=0), sent(8.1)], {"drains kept": 1}),
        ([event("lost", 5, s="a", d=0), said("a", 5.5, "ready"), sent(9)], {}),
        ([event("killed", 4.9, d=0), event("lost", 5, s="a", d=0), sent(9)], {}),
        ([said("a", 5, "draining"), event("left", 6, p="e"), sent(9)], {}),
        ([said("a", 5, "draining"), event("left", 6, p="e"), event("joined", 8, p="e", d=0), sent(9.9)], {}),
        (
            [said("a", 5, "draining"), event("left", 6, p="e"), event("joined", 8, p="e", d=0), sent(10.1)],
            {"drains kept": 1},
        ),
    ],
)
def test_drains_kept(more, broken):
    assert judge(*more)[0] == broken


def test_where_the_list_may_be_wrong_gone_alone_does_not_bind():
    limits = replace(LIMITS, gone_binds=False)
    assert judge(said("a", 5, "gone"), sent(9), limits=limits)[0] == {}
    assert judge(said("a", 5, "draining"), sent(9), limits=limits)[0] == {"drains kept": 1}


def calls(server, begin, end, every, work):
    count = int((end - begin) / every)
    return [
        event("call", begin + step * every, s=server, id=f"w{step}", r="lookup", w=work)
        for step in range(count)
    ]


@pytest.mark.parametrize("work, broken", [(50_000, False), (200_000, True)])
def test_no_cold_server_pushed_over(work, broken):
    """At its start it can do 0.4 of a second's work in a second; three times that is 1.2."""
    found = judge(start("c", 20, 20), *calls("c", 20.01, 21, 0.05, work))[0]
    assert bool(found) == broken


def test_a_server_that_fell_over_is_a_breach_whatever_was_counted():
    assert judge(event("stop", 9, s="a", how="fell"))[0] == {"no cold server pushed over": 1}


def test_warm_servers_may_be_sent_anything():
    assert judge(*calls("a", 2, 4, 0.01, 900_000))[0] == {}


def pushes(*times):
    return [event("weights", t, p="e", m=[["a", 3, 0]]) for t in times]


@pytest.mark.parametrize(
    "more, broken",
    [
        (pushes(2, 3), {}),
        (pushes(2, 3, 4), {"a short queue": 1}),
        (pushes(2, 3, 11.2), {}),
        ([event("status", 3, d=0, lines_most=100)], {}),
        ([event("status", 3, d=0, lines_most=101)], {"a short queue": 1}),
        ([*pushes(2, 3), event("left", 3.5, p="e"), event("joined", 4, p="e", d=0), *pushes(5, 6, 7)], {}),
    ],
)
def test_a_short_queue(more, broken):
    assert judge(*more)[0] == broken


def test_service_is_importance_within_the_slo_time():
    rows = (2, "lookup", True), (3, "commit", True), (4, "commit", False), (99, "lookup", False)
    asked = [
        event("asked", t, p="e", id=f"q{t}", r=route, out="answered", took=9, good=good)
        for t, route, good in rows
    ]
    verdict = judge(event("mark", 1.5, what="begin"), event("mark", 50, what="end"), *asked)[1]
    assert verdict.share() == 6 / 11 and verdict.service["lookup"]["asked"] == 1


def test_logs_are_merged_by_time_and_a_cut_line_is_passed_over(tmp_path):
    whole = [json.dumps(event("x", t)) for t in (2, 5)]
    (tmp_path / "a.jsonl").write_text("\n".join([*whole, '{"k": "tr']))
    (tmp_path / "b.jsonl").write_text(json.dumps(event("y", 3)) + "\n")
    assert [one["t"] // S for one in read_logs(tmp_path)] == [2, 3, 5]
