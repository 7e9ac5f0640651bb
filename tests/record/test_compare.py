"""Comparison of a replay with its record, inspection, the HTML page, and the options of a replay."""

import json

import pytest
from click.testing import CliRunner

from rainpick import model
from rainpick.cli import main
from rainpick.record import inspect
from rainpick.record.compare import Comparison
from rainpick.record.incarnations import select_incarnation
from rainpick.record.series import MIN_POINTS, TimeSeries
from rainpick.record.view import FleetView
from rainpick.store import read
from tests.record.recorded_day import record_day

ONE, TWO = ("10.0.0.1", 1), ("10.0.0.1", 2)
SETTINGS = {
    "proxies.pending_max": 100,
    "proxies.pushes_allowed": 4,
    "proxies.counted_over_us": 10_000_000,
    "rules.drain_grace_us": 2_000_000,
    "rules.warm_after_us": 10_000_000,
    "rules.start_capacity": 0.2,
}


def entry(address, state=model.EndpointState.READY, started_us=0, weight=1.0):
    return model.Endpoint(weight, 0, started_us, 0, 0, address, state)


def fleet_view():
    view = FleetView(SETTINGS)
    view.apply_events(
        0,
        [
            model.EndpointUpdate(model.UpdateKind.CACHED, (entry(ONE), entry(TWO)), 1),
            model.ProxyJoined(7, True, 1.0, 0),
        ],
    )
    view.apply_commands(
        0,
        [
            model.SetWeight(0, ONE, 1.0),
            model.SetWeight(0, TWO, 1.0),
            model.BindProxy(0, 1, 7),
            model.RequestAcknowledgement(1, False),
        ],
    )
    return view


def test_a_view_counts_ejections_weight_changes_messages_and_throttling():
    view = fleet_view()
    view.apply_events(
        1_000_000,
        [
            model.Acknowledged(7, 1, 5),
            model.EndpointUpdate(model.UpdateKind.DELTA, (entry(ONE, model.EndpointState.DRAINING),), 2),
        ],
    )
    view.apply_commands(2_000_000, [model.SetWithdrawn(ONE, True), model.RequestAcknowledgement(2, False)])
    assert (
        view.limits.approaches["drain"].fraction == 0.5
        and view.limits.approaches["drain"].subject == "10.0.0.1:1"
    )
    view.apply_commands(2_500_000, [model.SetWithdrawn(TWO, True), model.RequestAcknowledgement(3, False)])
    view.apply_commands(
        2_700_000,
        [
            model.SetWithdrawn(TWO, False),
            model.SetWeight(0, TWO, 0.25),
            model.RequestAcknowledgement(4, False),
        ],
    )
    view.apply_events(2_800_000, [])
    view.apply_commands(
        2_800_000,
        [
            model.SetWeight(0, TWO, 0.5),
            model.SetAdmission(0, 1, 20.0, model.RetryPolicy.NO_RETRY),
            model.RequestAcknowledgement(5, False),
        ],
    )
    view.apply_events(5_800_000, [])
    counts = view.counts
    assert (counts["ejections"], counts["returns"], counts["drains and losses told"]) == (1, 1, 1)
    assert (counts["lines laid"], counts["weights lowered"], counts["weights raised"]) == (2, 1, 1)
    assert counts["messages"] == 5 and counts["throttled further"] == 1 and view.throttled_us == 3_000_000
    assert (
        view.limits.approaches["messages"].fraction == 5 / 4
        and view.limits.approaches["queue"].fraction == view.unacknowledged_lines / 100 > 0
    )


def test_a_weight_in_slow_start_is_relative_to_the_capacity_at_that_age():
    view = fleet_view()
    view.apply_events(
        20_000_000, [model.EndpointUpdate(model.UpdateKind.DELTA, (entry(TWO, started_us=20_000_000),), 2)]
    )
    view.apply_commands(20_000_000, [])
    # The full weight is published at a fifth of the capacity, five times what the server can handle.
    assert view.limits.approaches["cold"].fraction == pytest.approx(5.0)
    view.apply_commands(20_000_000, [model.SetWeight(0, TWO, 0.1)])
    assert view.limits.approaches["cold"].fraction == pytest.approx(5.0)


def test_a_drain_is_complete_when_the_last_table_drops_the_server():
    view = fleet_view()
    view.apply_commands(0, [model.SetWeight(1, ONE, 1.0)])
    view.apply_events(
        0, [model.EndpointUpdate(model.UpdateKind.DELTA, (entry(ONE, model.EndpointState.DRAINING),), 2)]
    )
    view.apply_commands(500_000, [model.SetWeight(0, ONE, 0.0)])
    assert "drain" not in view.limits.approaches
    view.apply_commands(1_000_000, [model.SetWeight(1, ONE, 0.0)])
    assert view.limits.approaches["drain"].fraction == 0.5


def test_shares_follow_weights_withdrawals_and_proxies():
    view = fleet_view()
    assert view.shares() == {ONE: 0.5, TWO: 0.5}
    view.apply_commands(1, [model.SetWeight(0, ONE, 3.0)])
    assert view.shares() == {ONE: 0.75, TWO: 0.25}
    view.apply_commands(2, [model.SetWithdrawn(ONE, True)])
    assert view.shares() == {TWO: 1.0}
    view.apply_events(3, [model.ProxyLeft(7)])
    assert view.shares() == {}


def test_a_replay_is_valid_until_too_many_requests_are_diverted():
    comparison = Comparison(0, SETTINGS, SETTINGS)
    first = [
        model.SetWeight(0, ONE, 1.0),
        model.SetWeight(0, TWO, 1.0),
        model.BindProxy(0, 1, 7),
        model.RequestAcknowledgement(1, False),
    ]
    comparison.apply(0, [model.ProxyJoined(7, True, 1.0, 0)], first, first)
    for second in range(1, 20):
        comparison.apply(second * 1_000_000, [], [], [])
    assert comparison.result().valid_until_s is None
    comparison.apply(20_000_000, [], [], [model.SetWithdrawn(ONE, True)])
    for second in range(21, 40):
        comparison.apply(second * 1_000_000, [], [], [])
    found = comparison.result()
    # Half of the requests are diverted from 20 s on. The mean over 10 s exceeds a fifth with 5 such samples.
    assert found.valid_until_s == 24 and 0.2 < found.diverted < 0.3
    assert {row.server for row in found.share_changes} == {"10.0.0.1:1", "10.0.0.1:2"}


def test_a_long_series_keeps_its_size_and_its_means():
    series = TimeSeries(0)
    for second in range(10_000):
        series.add(second * 1_000_000, second % 2)
    points = series.points()
    assert MIN_POINTS <= len(points) <= 2 * MIN_POINTS and all(value == 0.5 for _, value in points)


def test_the_product_of_the_factors_is_the_percentage(tmp_path):
    record_day(tmp_path)
    incarnation, steps = select_incarnation(lambda: read(tmp_path), -1)
    director = inspect.replay_director_until(incarnation, steps, incarnation.now + 6_000_000)
    before = {address: vars(server_state).copy() for address, server_state in director.fleet.servers.items()}
    for address, server_state in director.fleet.servers.items():
        found = inspect.server(director, f"{address[0]}:{address[1]}")
        product = 1.0
        for _, multiplier in found["because"]:
            product *= multiplier
        assert (
            product
            == pytest.approx(found["percentage"])
            == pytest.approx(inspect.percentage(director, server_state, director.conditions()))
        )
    cold = dict(inspect.server(director, "127.0.0.1:9009")["because"])
    assert 0 < cold["it has just started"] < 1 and cold["the server is eased"] == 1.0
    assert dict(inspect.server(director, "127.0.0.1:9001")["because"])["its state on the list"] == 0.0
    # Inspection must not change a server: computing the percentage would end a complete recovery.
    assert all(
        vars(server_state) == before[address] for address, server_state in director.fleet.servers.items()
    )
    server_state = director.fleet.servers["127.0.0.1", 9003]
    server_state.recovering_since_us = director.fleet.clock.now - 60_000_000
    inspect.server(director, "127.0.0.1:9003")
    assert server_state.recovering_since_us == director.fleet.clock.now - 60_000_000


def test_inspection_replays_up_to_the_requested_time_and_no_further(tmp_path):
    record_day(tmp_path)
    seconds = []
    for until_s in (1, 3, 5):
        incarnation, steps = select_incarnation(lambda: read(tmp_path), 0)
        director = inspect.replay_director_until(incarnation, steps, incarnation.now + until_s * 1_000_000)
        seconds.append((director.now - incarnation.now) / 1e6)
    assert seconds == sorted(seconds) and seconds[0] <= 1 and seconds[1] <= 3 and seconds[2] <= 5
    fleet = inspect.fleet(director)
    assert fleet["proxies"] == 4 and fleet["servers"]["ready"] >= 2
    assert inspect.table(director, 0)["told"] and inspect.proxy(director, 1)["table"] == 0


@pytest.mark.parametrize(
    "arguments, reason",
    [
        (("--inspect", "server=nowhere:1"), "no server 'nowhere:1' is held; there are 127.0.0.1:9000"),
        (("--inspect", "table=99"), "there is no table 99"),
        (("--inspect", "proxy=55"), "proxy 55 has not joined"),
        (("--inspect", "moon"), "'moon' is not fleet"),
        (
            ("--inspect", "fleet", "--life", "4"),
            "incarnations in the record: 1 (numbered from 0); there is no number 4",
        ),
        (("--inspect", "fleet", "--until", "-1"), "nothing was recorded before"),
        (("--set", "a"), "NAME=VALUE"),
        (("--module", "/nowhere.py"), "nowhere.py"),
    ],
)
def test_a_wrong_argument_of_replay_is_an_error_with_its_reason(tmp_path, arguments, reason):
    record_day(tmp_path)
    found = CliRunner().invoke(main, ["replay", str(tmp_path), *arguments])
    assert found.exit_code == 2 and reason in found.output


def test_the_page_contains_charts_and_loads_no_other_files(tmp_path):
    record_day(tmp_path / "day")
    page = tmp_path / "page.html"
    arguments = [
        "replay",
        str(tmp_path / "day"),
        "--set",
        "rules.warm_after_us=20000000",
        "--html",
        str(page),
    ]
    assert CliRunner().invoke(main, arguments).exit_code == 1
    text = page.read_text()
    assert text.count("<svg") >= 3 and "Calls that would go elsewhere" in text
    assert "127.0.0.1:9009" in text
    assert not [word for word in ("<script", " src=", "href=", "@import", "url(") if word in text]


def test_a_settings_file_replaces_the_recorded_settings(tmp_path):
    record_day(tmp_path / "day")
    path = tmp_path / "s.json5"
    path.write_text(
        '{routes: [{name: "lookup", slo_time: "500ms", time_limit: "2s"}], zones: ["a", "b"], '
        'machines: ["x", "y"], rules: {warm_after: "20s"}, proxies: {count: 1}}'
    )
    found = CliRunner().invoke(main, ["replay", str(tmp_path / "day"), "--settings", str(path), "--json"])
    assert found.exit_code == 1 and json.loads(found.output)[0]["first"]["instead"]
