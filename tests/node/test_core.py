"""The core: what reaches the module, what of its orders leaves, and by which clock."""

import json
import time

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.decisions.send_queue import ChannelState
from rainpick.node.clock import Clock
from rainpick.node.commit_calls import CommitCall, MergedNonces, UnconfirmedCall
from rainpick.node.configuration import read_configuration
from rainpick.node.endpoint_discovery import parse_discovery_answer
from rainpick.node.event_loop import EventLoop
from rainpick.node.mailbox import Mailbox
from tests.node.platform import SETTINGS, VOCABULARY, configuration, entry

PLACE = ("127.0.0.1", 1)


class Module:
    """A double of the module: it notes what it hears and gives the orders that it is told to."""

    def __init__(self):
        self.heard, self.orders = [], []
        self.state = ChannelState(0, 0, 100.0, 20.0, 0, 0, 0.0, False)

    def step(self, now, events):
        self.heard += events
        return self.orders

    def channel(self):
        return self.state


def core(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration(PLACE, PLACE, PLACE)))
    known = parse_discovery_answer({"generation": 0, "reset": True, "instances": [entry(1)]}, VOCABULARY)
    sent = []
    made = EventLoop(read_configuration({"PROXY_CONFIG": str(path)}), known, Mailbox(), sent.append, Module)
    made.step(made.clock())
    return made, made.stepper.director, sent


def test_a_report_of_a_server_that_nobody_listed_is_dropped_and_counted(tmp_path):
    """Malformed, it names nobody, and would count among what the fleet answers and drops."""
    made, module, _ = core(tmp_path)
    told, spoilt = (model.ServerLoadReport(name, 0, 5, 5, 0, 500_000, ()) for name in ("s-0001", "s-ffff"))
    made.turn([], [spoilt, told, model.RouteLoadReport(1, 0, 3, 0, 500_000)])
    assert (
        module.heard[2:] == [told, model.RouteLoadReport(1, 0, 3, 0, 500_000)] and made.unknown_reports == 1
    )
    made.turn(
        [parse_discovery_answer({"generation": 1, "reset": False, "instances": [entry(0xFFFF)]}, VOCABULARY)],
        [spoilt],
    )
    assert module.heard[-1] == spoilt and made.unknown_reports == 1, "listed in the same turn it is known"


def test_only_what_the_relay_knows_leaves_as_a_call(tmp_path):
    made, module, sent = core(tmp_path)
    module.orders = [model.Subscribe(True), model.LogMessage("x"), model.SetTimer(0, 1000)]
    made.turn([], [model.RouteLoadReport(1, 0, 3, 0, 500_000)])
    assert sent == [], "no call without an order"
    module.orders = [
        model.Subscribe(True),
        model.SetWithdrawn("s-0001", True),
        model.RequestAcknowledgement(3, False),
    ]
    made.turn([], [model.RouteLoadReport(1, 0, 3, 0, 500_000)])
    assert sent == [CommitCall(model.RequestAcknowledgement(3, False), (model.SetWithdrawn("s-0001", True),))]


def test_nothing_is_stepped_when_nothing_came(tmp_path):
    made, _, _ = core(tmp_path)
    steps = made.stepper.steps
    made.turn([], [])
    assert made.stepper.steps == steps


def test_the_clock_is_unix_time_and_never_runs_backwards(monkeypatch):
    """Servers' starts are told in Unix time; a machine whose clock is set must not undo a ramp."""
    clock = Clock()
    assert abs(clock() - time.time_ns() // 1000) < 5_000_000
    before = clock()
    monkeypatch.setattr(time, "time_ns", lambda: 0)
    assert clock() >= before


OTHER = SETTINGS | {
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


def lives(tmp_path, name, settings):
    """A day of one director, a turn at a time: each turn gives the calls that it sent."""
    path = tmp_path / f"{name}.json"
    path.write_text(json.dumps(configuration(PLACE, PLACE, PLACE, settings=settings)))
    told, sent, now = read_configuration({"PROXY_CONFIG": str(path)}), [], [1_000_000_000]
    place = {"zone": settings["failureDomains"][0], "machineType": settings["machineTypes"][0]}
    servers = [entry(number, **place) for number in range(9)]
    known = parse_discovery_answer({"generation": 0, "reset": True, "instances": servers}, told.vocabulary)
    made = EventLoop(told, known, Mailbox(), sent.append, Director)
    made.clock = Clock(lambda: now[0], lambda: now[0])
    made.step(now[0])
    for turn in range(12):
        now[0] += 300_000
        made.stepped_us = 0
        change = entry(turn % 9, "Terminating" if turn % 2 else "Ready", started_ms=1_000 + turn, **place)
        news = parse_discovery_answer(
            {"generation": turn + 1, "reset": False, "instances": [change]}, told.vocabulary
        )
        heard = [
            model.ServerLoadReport(f"s-{number:04x}", 0, 20, turn, 40_000, 500_000, ()) for number in range(9)
        ]
        made.stepper.events += [model.ProxyJoined(turn, True, 10.0 + turn, 0)]
        made.turn([news], heard)
        yield list(sent)


def test_directors_of_different_customers_in_one_process_share_nothing(tmp_path):
    """What one holds, or reads from its settings, must not show in what the other orders."""
    alone = [list(lives(tmp_path, "one", SETTINGS))[-1], list(lives(tmp_path, "two", OTHER))[-1]]
    *_, together = zip(lives(tmp_path, "one", SETTINGS), lives(tmp_path, "two", OTHER), strict=True)
    assert list(together) == alone
    assert alone[0] and alone[1] and alone[0] != alone[1]


def test_words_of_a_load_report_that_nobody_has_heard_of_are_read_by_their_name(tmp_path):
    told = configuration(PLACE, PLACE, PLACE, settings=SETTINGS | {"stats": {"names": ["heat", "busy"]}})
    path = tmp_path / "config.json"
    path.write_text(json.dumps(told))
    assert read_configuration({"PROXY_CONFIG": str(path)}).vocabulary.load_metrics == ("heat", "util")


def test_a_call_in_doubt_is_told_to_the_module_with_all_that_its_mark_stands_for(tmp_path):
    made, module, _ = core(tmp_path)
    made.turn([MergedNonces(7, (5, 6)), UnconfirmedCall(7), UnconfirmedCall(9)], [])
    assert module.heard[2:] == [
        model.Retransmitted(5),
        model.Retransmitted(6),
        model.Retransmitted(7),
        model.Retransmitted(9),
    ]


def test_a_takeover_and_what_nears_its_grace_are_logged(tmp_path, capsys):
    made, module, _ = core(tmp_path)
    busy = module.state._replace(takeover=True, unbound=7, backlog=19, grace_used=0.85)
    for state in (module.state, busy, busy, module.state):
        module.state, made.channel_monitor.due_us = state, 0
        made.turn([], [])
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert [line["event"] for line in lines] == [
        "takeover begins",
        "drains or bindings near the drain grace",
        "drains or bindings near the drain grace",
        "takeover ends",
    ]
    assert lines[0]["unbound"] == 7 and made.status()["channel_most"]["backlog"] == 19
