"""The auditor on hand-written logs: it reports a breach of a rule exactly when the rule is broken."""

import json
from dataclasses import replace

import pytest

from rainpick.rules import Limits, audit, read_logs

SECOND_US = 1_000_000
ROUTES = {
    "lookup": {"importance": 1, "effect": "repeatable", "window": 0},
    "commit": {"importance": 5, "effect": "keyed", "window": SECOND_US},
    "record": {"importance": 2, "effect": "mutating", "window": 0},
}
LIMITS = Limits(
    bare=2 * SECOND_US,
    grace=2 * SECOND_US,
    warm_after=10 * SECOND_US,
    start_capacity=0.2,
    fall_multiple=3.0,
    fall=SECOND_US,
    pending=100,
    lines_per_s=1000.0,
    head=6,
    messages_most=3,
    messages_over=10 * SECOND_US,
    member_grace=SECOND_US,
    gone_binds=True,
    routes=ROUTES,
)


def start_event(server, t=0.0, born=-100.0, pod=0):
    return {
        "k": "start",
        "s": server,
        "t": int(t * SECOND_US),
        "born": int(born * SECOND_US),
        "pod": pod,
        "capacity": 2.0,
    }


def state_event(server, t, what):
    return {"k": "said", "s": server, "d": 0, "t": int(t * SECOND_US), "what": what}


def event(kind, t, **fields):
    return {"k": kind, "t": int(t * SECOND_US), **fields}


BASE_EVENTS = [
    start_event("a"),
    start_event("b", pod=1),
    state_event("a", 0, "ready"),
    state_event("b", 0, "ready"),
    event("joined", 1, p="e", d=0),
    event("weights", 1.1, p="e", m=[["a", 5, 0], ["b", 5, 0]]),
]


def audit_with(*extra_events, limits=LIMITS):
    verdict = audit(sorted([*BASE_EVENTS, *extra_events], key=lambda entry: entry["t"]), limits)
    return {rule.name: len(rule.breaches) for rule in verdict.rules if rule.breaches}, verdict


EMPTIED_TABLE = event("weights", 5, p="e", m=[["a", 0, 0], ["b", 0, 0]])


@pytest.mark.parametrize(
    "extra_events, expected",
    [
        ([EMPTIED_TABLE, event("weights", 6.9, p="e", m=[["a", 1, 0]])], {}),
        ([EMPTIED_TABLE, event("weights", 7.1, p="e", m=[["a", 1, 0]])], {"a line to pick": 1}),
        (
            [
                EMPTIED_TABLE,
                event("left", 6, p="e"),
                event("joined", 9, p="e", d=0),
                event("weights", 10, p="e", m=[["a", 1, 0]]),
            ],
            {},
        ),
        (
            [
                EMPTIED_TABLE,
                state_event("a", 4, "draining"),
                state_event("b", 4, "draining"),
                event("mark", 20, what="end"),
            ],
            {},
        ),
        ([EMPTIED_TABLE, event("mark", 20, what="end")], {"a line to pick": 1}),
    ],
)
def test_a_table_may_be_empty_for_two_seconds_while_a_warm_server_is_ready(extra_events, expected):
    assert audit_with(*extra_events)[0] == expected


def retry(t, after, to, route="commit", first=3.0):
    return event("again", t, p="e", id="c", r=route, s=to, after=[after], first=int(first * SECOND_US))


@pytest.mark.parametrize(
    "extra_events, expected",
    [
        ([start_event("c", pod=0), retry(3.5, "a", "c")], {}),
        ([retry(3.5, "a", "b")], {"no effect twice": 1}),
        ([start_event("c", pod=0), retry(4.5, "a", "c")], {"no effect twice": 1}),
        ([start_event("c", pod=0), retry(3.5, "a", "c", "record")], {"no effect twice": 1}),
        ([retry(3.5, "a", "b", "lookup")], {}),
        (
            [
                start_event("c", pod=0),
                retry(3.5, "a", "c"),
                event("effect", 3.6, s="a", id="c", r="commit"),
                event("effect", 3.7, s="c", id="c", r="commit"),
            ],
            {"no effect twice": 1},
        ),
    ],
)
def test_a_retry_outside_its_pod_or_window_or_a_second_effect_is_a_breach(extra_events, expected):
    assert audit_with(*extra_events)[0] == expected


def attempt(t, server="a", proxy="e"):
    return event("try", t, p=proxy, s=server, id=f"x{t}", r="lookup")


@pytest.mark.parametrize(
    "extra_events, expected",
    [
        ([state_event("a", 5, "draining"), attempt(6.9)], {}),
        ([state_event("a", 5, "draining"), attempt(7.1)], {"drains kept": 1}),
        ([state_event("a", 5, "draining"), state_event("a", 6, "gone"), attempt(7.1)], {"drains kept": 1}),
        ([state_event("a", 5, "draining"), state_event("a", 6, "ready"), attempt(9)], {}),
        ([event("lost", 5, s="a", d=0), attempt(7.9)], {}),
        ([event("lost", 5, s="a", d=0), attempt(8.1)], {"drains kept": 1}),
        ([event("lost", 5, s="a", d=0), state_event("a", 5.5, "ready"), attempt(9)], {}),
        ([event("killed", 4.9, d=0), event("lost", 5, s="a", d=0), attempt(9)], {}),
        ([state_event("a", 5, "draining"), event("left", 6, p="e"), attempt(9)], {}),
        (
            [
                state_event("a", 5, "draining"),
                event("left", 6, p="e"),
                event("joined", 8, p="e", d=0),
                attempt(9.9),
            ],
            {},
        ),
        (
            [
                state_event("a", 5, "draining"),
                event("left", 6, p="e"),
                event("joined", 8, p="e", d=0),
                attempt(10.1),
            ],
            {"drains kept": 1},
        ),
    ],
)
def test_an_attempt_later_than_the_grace_after_a_drain_is_a_breach(extra_events, expected):
    assert audit_with(*extra_events)[0] == expected


def test_gone_without_a_drain_is_no_breach_if_the_endpoint_list_may_be_wrong():
    limits = replace(LIMITS, gone_binds=False)
    assert audit_with(state_event("a", 5, "gone"), attempt(9), limits=limits)[0] == {}
    assert audit_with(state_event("a", 5, "draining"), attempt(9), limits=limits)[0] == {"drains kept": 1}


def received_attempts(server, begin, end, interval, work):
    count = int((end - begin) / interval)
    return [
        event("call", begin + step * interval, s=server, id=f"w{step}", r="lookup", w=work)
        for step in range(count)
    ]


@pytest.mark.parametrize("work, expected", [(50_000, False), (200_000, True)])
def test_work_beyond_the_budget_of_a_server_warming_up_is_a_breach(work, expected):
    """At its start the server does 0.4 s of work per second; the limit is 1.2 s, three times as much."""
    breaches = audit_with(start_event("c", 20, 20), *received_attempts("c", 20.01, 21, 0.05, work))[0]
    assert bool(breaches) == expected


def test_a_server_that_fell_over_is_a_breach_at_any_measured_load():
    assert audit_with(event("stop", 9, s="a", how="fell"))[0] == {"no cold server pushed over": 1}


def test_work_for_a_warm_server_is_unlimited():
    assert audit_with(*received_attempts("a", 2, 4, 0.01, 900_000))[0] == {}


def weight_messages(*times):
    return [event("weights", t, p="e", m=[["a", 3, 0]]) for t in times]


@pytest.mark.parametrize(
    "extra_events, expected",
    [
        (weight_messages(2, 3), {}),
        (weight_messages(2, 3, 4), {"a short queue": 1}),
        (weight_messages(2, 3, 11.2), {}),
        ([event("status", 3, d=0, lines_most=100)], {}),
        ([event("status", 3, d=0, lines_most=101)], {"a short queue": 1}),
        (
            [
                *weight_messages(2, 3),
                event("left", 3.5, p="e"),
                event("joined", 4, p="e", d=0),
                *weight_messages(5, 6, 7),
            ],
            {},
        ),
    ],
)
def test_more_messages_or_waiting_entries_than_allowed_are_a_breach(extra_events, expected):
    assert audit_with(*extra_events)[0] == expected


def test_service_is_weighted_by_importance():
    rows = (2, "lookup", True), (3, "commit", True), (4, "commit", False), (99, "lookup", False)
    asked = [
        event("asked", t, p="e", id=f"q{t}", r=route, out="answered", took=9, good=good)
        for t, route, good in rows
    ]
    verdict = audit_with(event("mark", 1.5, what="begin"), event("mark", 50, what="end"), *asked)[1]
    assert verdict.service_ratio() == 6 / 11 and verdict.service["lookup"]["asked"] == 1


def test_logs_are_merged_by_time_and_a_truncated_line_is_skipped(tmp_path):
    complete = [json.dumps(event("x", t)) for t in (2, 5)]
    (tmp_path / "a.jsonl").write_text("\n".join([*complete, '{"k": "tr']))
    (tmp_path / "b.jsonl").write_text(json.dumps(event("y", 3)) + "\n")
    assert [entry["t"] // SECOND_US for entry in read_logs(tmp_path)] == [2, 3, 5]
