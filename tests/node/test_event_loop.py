"""The event loop: events for the decisions, and commands for the relay."""

import json
import time

from rainpick import model
from rainpick.decisions.channel_progress import TransmissionResumed, TransmissionSuspended
from rainpick.decisions.director import Director
from rainpick.decisions.retransmission import RetransmissionRequested, Retransmit
from rainpick.decisions.send_queue import ChannelState
from rainpick.decisions.split_calls import NO_RECIPIENTS, BindRejected, CallSplit
from rainpick.node.clock import Clock
from rainpick.node.commit_calls import (
    CommitCall,
    MergedNonces,
    RejectedBind,
    Retransmission,
    SplitCall,
    UnconfirmedCall,
)
from rainpick.node.configuration import read_configuration
from rainpick.node.endpoint_discovery import parse_discovery_response
from rainpick.node.event_loop import EventLoop
from rainpick.node.mailbox import Mailbox
from rainpick.node.proxy_membership import StreamEvent, StreamOpened
from tests.node.platform_stubs import SETTINGS, VOCABULARY, configuration_tree, entry

ADDRESS = ("127.0.0.1", 1)


class StubDecisions:
    """A double of the decisions that records events and returns the commands set by the test."""

    def __init__(self):
        self.events, self.commands = [], []
        self.channel_state = ChannelState(0, 0, 100.0, 20.0, 0, 0, 0.0, False)

    def step(self, now, events):
        self.events += events
        return self.commands

    def channel(self):
        return self.channel_state


def make_loop(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration_tree(ADDRESS, ADDRESS, ADDRESS)))
    cached_list = parse_discovery_response(
        {"generation": 0, "reset": True, "instances": [entry(1)]}, VOCABULARY
    )
    calls = []
    loop = EventLoop(
        read_configuration({"PROXY_CONFIG": str(path)}), cached_list, Mailbox(), calls.append, StubDecisions
    )
    loop.step(loop.clock())
    return loop, loop.stepper.director, calls


def test_a_report_of_an_unlisted_server_is_dropped_and_counted(tmp_path):
    """Guards against counting a report with a wrong server name in the attempts of the fleet."""
    loop, decisions, _ = make_loop(tmp_path)
    listed, unlisted = (
        model.ServerLoadReport(name, 0, 5, 5, 0, 500_000, ()) for name in ("s-0001", "s-ffff")
    )
    loop.process_batch([], [unlisted, listed, model.RouteLoadReport(1, 0, 3, 0, 500_000)])
    assert decisions.events[3:] == [listed, model.RouteLoadReport(1, 0, 3, 0, 500_000)]
    assert loop.unknown_reports == 1
    loop.process_batch(
        [
            parse_discovery_response(
                {"generation": 1, "reset": False, "instances": [entry(0xFFFF)]}, VOCABULARY
            )
        ],
        [unlisted],
    )
    assert decisions.events[-1] == unlisted and loop.unknown_reports == 1, (
        "the report of a server listed in the same batch is accepted"
    )


def test_only_commands_for_the_relay_are_sent_as_a_call(tmp_path):
    loop, decisions, calls = make_loop(tmp_path)
    decisions.commands = [model.Subscribe(True), model.LogMessage("x"), model.SetTimer(0, 1000)]
    loop.process_batch([], [model.RouteLoadReport(1, 0, 3, 0, 500_000)])
    assert calls == [], "no call without commands for the relay"
    decisions.commands = [
        model.Subscribe(True),
        model.SetWithdrawn("s-0001", True),
        model.RequestAcknowledgement(3, False),
    ]
    loop.process_batch([], [model.RouteLoadReport(1, 0, 3, 0, 500_000)])
    assert calls == [
        CommitCall(model.RequestAcknowledgement(3, False), (model.SetWithdrawn("s-0001", True),))
    ]


def test_there_is_no_step_without_events(tmp_path):
    loop, _, _ = make_loop(tmp_path)
    steps = loop.stepper.step_count
    loop.process_batch([], [])
    assert loop.stepper.step_count == steps


def test_the_clock_starts_at_unix_time_and_never_runs_backwards(monkeypatch):
    """Guards against a wall clock step that cuts a slow start short, as start times are in Unix time."""
    clock = Clock()
    assert abs(clock() - time.time_ns() // 1000) < 5_000_000
    before = clock()
    monkeypatch.setattr(time, "time_ns", lambda: 0)
    assert clock() >= before


OTHER_SETTINGS = SETTINGS | {
    "grades": [
        {"name": name, "sloUs": 90_000, "hardLimitUs": 250_000, "repeat": "unsafe", "worth": worth}
        for name, worth in (("browse", 1.0), ("pay", 9.0), ("hold", 3.0))
    ],
    "failureDomains": ["x", "y", "z"],
    "machineTypes": ["old"],
    "stats": {"names": ["lat_ms"], "source": "pull"},
    "domain": SETTINGS["domain"]
    | {
        "proxyCount": 300,
        "head": 2.0,
        "linesPerS": 900.0,
        "pushesAllowed": 4,
        "countedOverUs": 10_000_000,
        "admit": "ratio",
    },
    "safety": SETTINGS["safety"] | {"warmAfterUs": 3_000_000, "startCapacity": 0.5},
}


def run_day(tmp_path, name, settings):
    """Run a scripted day of one director; after each batch, yield all calls so far."""
    path = tmp_path / f"{name}.json"
    path.write_text(json.dumps(configuration_tree(ADDRESS, ADDRESS, ADDRESS, settings=settings)))
    configuration, calls, now = read_configuration({"PROXY_CONFIG": str(path)}), [], [1_000_000_000]
    location = {"zone": settings["failureDomains"][0], "machineType": settings["machineTypes"][0]}
    servers = [entry(number, **location) for number in range(9)]
    cached_list = parse_discovery_response(
        {"generation": 0, "reset": True, "instances": servers}, configuration.vocabulary
    )
    loop = EventLoop(configuration, cached_list, Mailbox(), calls.append, Director)
    loop.clock = Clock(lambda: now[0], lambda: now[0])
    loop.step(now[0])
    for batch in range(12):
        now[0] += 300_000
        loop.last_step_us = 0
        change = entry(
            batch % 9, "Terminating" if batch % 2 else "Ready", started_ms=1_000 + batch, **location
        )
        response = parse_discovery_response(
            {"generation": batch + 1, "reset": False, "instances": [change]}, configuration.vocabulary
        )
        reports = [
            model.ServerLoadReport(f"s-{number:04x}", 0, 20, batch, 40_000, 500_000, ())
            for number in range(9)
        ]
        loop.stepper.pending_events += [model.ProxyJoined(batch, True, 10.0 + batch, 0)]
        loop.process_batch([response], reports)
        yield list(calls)


def test_directors_with_different_settings_in_one_process_share_no_state(tmp_path):
    """Guards against state or settings of one director that affect the commands of the other."""
    alone = [list(run_day(tmp_path, "one", SETTINGS))[-1], list(run_day(tmp_path, "two", OTHER_SETTINGS))[-1]]
    *_, together = zip(
        run_day(tmp_path, "one", SETTINGS), run_day(tmp_path, "two", OTHER_SETTINGS), strict=True
    )
    assert list(together) == alone
    assert alone[0] and alone[1] and alone[0] != alone[1]


def test_unknown_load_metrics_are_read_by_their_names_in_the_settings(tmp_path):
    tree = configuration_tree(
        ADDRESS, ADDRESS, ADDRESS, settings=SETTINGS | {"stats": {"names": ["heat", "busy"]}}
    )
    path = tmp_path / "config.json"
    path.write_text(json.dumps(tree))
    assert read_configuration({"PROXY_CONFIG": str(path)}).vocabulary.load_metrics == ("heat", "util")


def test_an_unconfirmed_call_is_reported_to_the_decisions_with_all_merged_nonces(tmp_path):
    loop, decisions, _ = make_loop(tmp_path)
    loop.process_batch([MergedNonces(7, (5, 6)), UnconfirmedCall(7), UnconfirmedCall(9)], [])
    assert decisions.events[3:] == [
        RetransmissionRequested(7, (5, 6, 7)),
        RetransmissionRequested(9, (9,)),
    ]


def test_a_split_call_is_reported_to_the_decisions_with_its_replies(tmp_path):
    loop, decisions, _ = make_loop(tmp_path)
    first, later = NO_RECIPIENTS._replace(any_proxy=True), NO_RECIPIENTS._replace(bound=frozenset({3}))
    loop.process_batch([MergedNonces(7, (5,)), SplitCall(7, first, later), SplitCall(9, later, first)], [])
    assert decisions.events[-2:] == [CallSplit(7, (5, 7), first, later), CallSplit(9, (9,), later, first)]


def test_a_rejected_bind_is_reported_to_the_decisions_with_all_merged_nonces(tmp_path):
    loop, decisions, _ = make_loop(tmp_path)
    loop.process_batch([MergedNonces(7, (5,)), RejectedBind(7, 3)], [])
    assert decisions.events[-1:] == [BindRejected((5, 7), 3)]


def test_whether_calls_reach_the_channel_is_reported_to_the_decisions(tmp_path):
    loop, decisions, _ = make_loop(tmp_path)
    loop.process_batch([TransmissionSuspended(), TransmissionResumed()], [])
    assert decisions.events[-2:] == [TransmissionSuspended(), TransmissionResumed()]


def test_an_allowed_retransmission_is_sent_and_its_nonce_acknowledges_the_previous_ones(tmp_path):
    """Guards against lines that stay counted: the relay acknowledges only attempts that it executed."""
    loop, decisions, sent = make_loop(tmp_path)
    decisions.commands = [Retransmit(7, 30), model.ClearTable(1)]
    loop.process_batch([MergedNonces(7, (5,)), UnconfirmedCall(7)], [])
    assert sent == [Retransmission(7, 30), CommitCall(None, (model.ClearTable(1),))]
    join, acknowledged = model.ProxyJoined(1, True, 1.0, 0), model.Acknowledged(1, 30, 0)
    loop.process_batch([StreamOpened(1), StreamEvent(1, join), StreamEvent(1, acknowledged)], [])
    assert decisions.events[-3:] == [model.Acknowledged(1, nonce, 0) for nonce in (5, 7, 30)]


def test_a_takeover_and_a_near_deadline_are_logged(tmp_path, capsys):
    loop, decisions, _ = make_loop(tmp_path)
    taking_over = decisions.channel_state._replace(takeover=True, unbound=7, backlog=19, grace_used=0.85)
    for state in (decisions.channel_state, taking_over, taking_over, decisions.channel_state):
        decisions.channel_state, loop.channel_monitor.due_us = state, 0
        loop.process_batch([], [])
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert [line["event"] for line in lines] == [
        "takeover begins",
        "drains or bindings near the drain grace",
        "drains or bindings near the drain grace",
        "takeover ends",
    ]
    assert lines[0]["unbound"] == 7 and loop.status()["channel_most"]["backlog"] == 19
