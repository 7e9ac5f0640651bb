"""Whole days on loopback: the rules are kept, and the audit detects directors with injected faults."""

import contextlib
import itertools
import json
import secrets

import pytest

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.director.daemon import Daemon
from rainpick.settings import Settings, parse
from rainpick.simulated_peers.day import Day, LocalPeers
from rainpick.simulated_peers.scenario import Scenario

SMALL_DAY = """{
  name: "test", length: "6s", servers: 6, proxies: 4, calls_per_s: 60, zones: ["a", "b"],
  routes: [
    {name: "lookup", share: 0.7, work: "20ms", slo_time: "400ms", time_limit: "1s"},
    {name: "commit", share: 0.3, work: "20ms", slo_time: "400ms", time_limit: "1s", importance: 5,
     effect: "keyed", repeat_window: "1s"},
  ],
  settings: {rules: {warm_after: "3s", drain_grace: "1.5s", bare: "1s"}, %s},
  %s
}"""


class InProcessDirector:
    """A director in the test's process.

    ``director_factory`` creates the ``Director`` of the decision modules, or a substitute with a fault.
    """

    def __init__(self, director_factory, settings, folder):
        self.settings, self.director_factory = Settings.model_validate(settings), director_factory
        self.start()

    def start(self):
        self.daemon = Daemon(self.settings, director_factory=self.director_factory)
        self.daemon.start()

    def close(self):
        with contextlib.suppress(OSError):
            self.daemon.stop()
        assert self.daemon.event_loop.failure is None


def play(tmp_path, settings="", fields="", director_factory=Director):
    """Run a small day; return the verdict, at most two breaches of each broken rule, and the log events."""
    scenario = parse(SMALL_DAY % (settings, fields), "day", Scenario)
    day = Day(
        scenario,
        tmp_path / "day",
        lambda settings, folder: InProcessDirector(director_factory, settings, folder),
        LocalPeers,
    )
    verdict = day.play()
    broken = {rule.name: rule.breaches[:2] for rule in verdict.rules if rule.breaches}
    return (
        verdict,
        broken,
        [
            json.loads(line)
            for path in sorted((tmp_path / "day").glob("*.jsonl"))
            for line in path.read_text().splitlines()
        ],
    )


DEPLOY = (
    'events: [{at: "1s", do: "deploy", servers: {every: 3}, stagger: "300ms", notice: "1.7s", down: "200ms"}]'
)
DRAIN_ONE_SERVER = 'events: [{at: "1s", do: "drain", servers: [0]}]'


def test_a_deploy_keeps_all_five_rules(tmp_path):
    verdict, broken, _ = play(tmp_path, fields=DEPLOY)
    assert not broken and verdict.service_ratio() > 0.95
    assert all(rule.checked for rule in verdict.rules if rule.name != "drains kept")


class NoWithdrawals(Director):
    """A faulty director that sends no withdrawals and no weights of 0."""

    def step(self, now, events):
        return [
            command
            for command in super().step(now, events)
            if not (
                type(command) is model.SetWithdrawn or type(command) is model.SetWeight and not command.weight
            )
        ]


def test_a_director_without_withdrawals_breaks_the_rule_on_drains(tmp_path):
    assert set(play(tmp_path, fields=DRAIN_ONE_SERVER, director_factory=NoWithdrawals)[1]) == {"drains kept"}


class WithdrawsAll(Director):
    """A faulty director that withdraws all servers in each step later than two seconds after its first."""

    def step(self, now, events):
        commands = super().step(now, events)
        if now - self.first_step_us(now) > 2_000_000:
            commands += [model.SetWithdrawn(server, True) for server in self.fleet.servers]
        return commands

    def first_step_us(self, now):
        self.started_us = getattr(self, "started_us", now)
        return self.started_us


def test_a_director_that_withdraws_all_servers_breaks_the_rule_on_empty_tables(tmp_path):
    assert "a line to pick" in play(tmp_path, director_factory=WithdrawsAll)[1]


class SkipsSlowStart(Director):
    """A faulty director that treats every ready server as warm, and raises the weights of cold servers."""

    def start(self, now, event):
        commands = super().start(now, event)
        self.original_weight = self.assignment.weight
        self.assignment.weight = self.weight
        self.fleet.is_warm = lambda server: server.status == model.EndpointState.READY
        return commands

    def weight(self, server, table):
        is_cold = server.endpoint.started_us > self.now - 3_000_000
        return self.original_weight(server, table) * (50 if is_cold else 1)


def test_a_director_that_skips_slow_starts_breaks_the_rule_on_cold_servers(tmp_path):
    fields = (
        DEPLOY.replace("{every: 3}", "[0]")
        + ', machines: [{name: "one", slots: 1, speed: 0.6, weight: 1}], pick: "lottery"'
    )
    broken = play(tmp_path, "fleet: {weight_most: 64}", fields, SkipsSlowStart)[1]
    assert "no cold server pushed over" in broken


class Floods(Director):
    """A faulty director that sends 40 weight updates in each step."""

    def step(self, now, events):
        self.steps = getattr(self, "steps", 0) + 1
        server = next(iter(self.fleet.servers), None) if self.steps > 1 else None
        flood = [model.SetWeight(0, server, 1 + self.steps % 5)] * 40 if server else []
        return super().step(now, events) + flood


def test_a_director_that_floods_its_proxies_breaks_the_rule_on_backlogs(tmp_path):
    settings = 'channel: {lines_per_s: 100, pending_lines: 250, messages_most: 6, messages_over: "10s"}'
    assert set(play(tmp_path, settings, director_factory=Floods)[1]) == {"a short queue"}


def test_commits_retried_in_their_pod_take_effect_once(tmp_path):
    """Guards against duplicate effects: slow servers cause retries while the first attempt is in progress."""
    fields = (
        'repeat: "same_pod", client_repeats: 0, try_share: 0.25, '
        'events: [{at: "1s", do: "slow", servers: [0, 2], factor: 20, for: "3s"}]'
    )
    verdict, broken, events = play(tmp_path, fields=fields)
    assert not broken and verdict.retries["dropped by servers"] > 0
    retried = {event["id"] for event in events if event["k"] == "again" and event["r"] == "commit"}
    effects = [event["id"] for event in events if event["k"] == "effect"]
    assert retried & set(effects) and len(set(effects)) == len(effects)


def test_commits_retried_anywhere_break_the_rule_on_duplicate_effects(tmp_path):
    fields = (
        'repeat: "anywhere", client_repeats: 0, try_share: 0.25, '
        'events: [{at: "1s", do: "slow", servers: [0, 2], factor: 20, for: "3s"}]'
    )
    assert set(play(tmp_path, fields=fields)[1]) == {"no effect twice"}


def weights_read(events, server):
    """Return the weights that proxies read for a server, with the seconds since the day began."""
    begin = next(event["t"] for event in events if event["k"] == "mark")
    return [
        ((event["t"] - begin) / 1e6, weight)
        for event in sorted(events, key=lambda entry: entry["t"])
        if event["k"] == "weights"
        for name, weight, _ in event["m"]
        if name == server
    ]


def test_the_weight_of_a_slow_server_falls_and_rises_again(tmp_path):
    """A server slows down for some seconds; SASP clients must read a lower weight, then a higher one."""
    fields = (
        'length: "34s", repeat: "same_pod", try_share: 0.4, events: '
        '[{at: "2s", do: "slow", servers: [1], factor: 14, for: "7s"}]'
    )
    text = (SMALL_DAY % ("proxies: {ejects_after: 0}", fields)).replace('length: "6s",', "")
    scenario = parse(text, "day", Scenario)
    day = Day(
        scenario,
        tmp_path / "day",
        lambda settings, folder: InProcessDirector(Director, settings, folder),
        LocalPeers,
    )
    verdict = day.play()
    events = [
        json.loads(line)
        for path in (tmp_path / "day").glob("*.jsonl")
        for line in path.read_text().splitlines()
    ]
    slow = next(event["s"] for event in events if event["k"] == "start" and event["n"] == 1)
    samples = weights_read(events, slow)
    highest = max(weight for second, weight in samples if second < 2)
    lowest = min(weight for second, weight in samples if 2 < second < 14)
    assert lowest < 0.8 * highest, samples
    assert samples[-1][1] > lowest, samples
    assert verdict.passed and verdict.service_ratio() > scenario.goal, verdict.service_ratio()


def test_a_deploy_over_sasp_and_mqtt_keeps_all_five_rules(tmp_path):
    verdict, broken, events = play(tmp_path, fields=DEPLOY + ', fronts: ["mqtt", "sasp"]')
    assert not broken and verdict.service_ratio() > 0.95
    assert {event["p"] for event in events if event["k"] == "weights"} == {
        f"edge-{number}" for number in range(4)
    }


def test_broken_streams_and_late_or_duplicate_reports_break_no_rule(tmp_path):
    fields = (
        'events: [{at: "1s", do: "break_streams"}, {at: "1s", do: "double_reports", for: "3s"}, '
        '{at: "2s", do: "break_member_streams", servers: "all"}, '
        '{at: "3500ms", do: "break_streams", proxies: [0, 1]}]'
    )
    verdict, broken, events = play(tmp_path, fields=fields)
    assert not broken and verdict.service_ratio() > 0.95
    assert sum(event["k"] == "joined" for event in events) == 4 + 4 + 2


@pytest.mark.parametrize(
    "text, expected",
    [
        ('events: [{at: "9s", do: "drain"}]', "after the end"),
        ('events: [{at: "1s", do: "lose_zone"}]', "requires a zone"),
        ('events: [{at: "1s", do: "lose_zone", zone: "q"}]', "'q' is not one of"),
        ('events: [{at: "1s", do: "dance"}]', "Input should be 'slow'"),
        ('events: [{at: "1s", do: "kill_director", director: 3}]', "no director 3"),
    ],
)
def test_an_inconsistent_scenario_is_rejected(text, expected):
    with pytest.raises(Exception, match=expected):
        parse(SMALL_DAY % ("", text), "day", Scenario)


def test_directors_never_get_the_same_port(tmp_path, monkeypatch):
    """Guards against directors with the same port, one of which then ends.

    A port that a director has not bound yet looks free, so it was once drawn for two directors.
    """
    draws = itertools.chain(range(20_100, 20_104), range(20_100, 20_104), itertools.count(20_104))
    monkeypatch.setattr(secrets, "choice", lambda ports: next(draws))
    launched = []
    scenario = parse(SMALL_DAY % ("", "directors: 2"), "day", Scenario)
    day = Day(scenario, tmp_path, launch=lambda settings, folder: launched.append(settings["listen"]))
    monkeypatch.setattr(day, "wait_for_status", lambda condition, holds: None)
    day.start_directors()
    addresses = [address for listen in launched for address in listen.values()]
    assert len(launched) == 2 and len(set(addresses)) == len(addresses)
