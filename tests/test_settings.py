"""Settings: each fault is named with its file, path, value and what is allowed."""

import json

import pytest

from rainpick.settings import SettingsError, load, parse, plain_map, schema

GOOD = '{routes: [{name: "a", slo_time: "1s", time_limit: "2s"}], %s}'


def fault(text):
    with pytest.raises(SettingsError) as flaw:
        parse(GOOD % text, "x.json5")
    return str(flaw.value)


@pytest.mark.parametrize(
    "text, expected",
    [
        ("channel: {lines_per_s: 0}", "x.json5: channel.lines_per_s: 0: Input should be greater than 0"),
        ("chanel: {}", "x.json5: chanel: {}: there is no such setting"),
        (
            'listen: {sasp: "here"}',
            "x.json5: listen.sasp: 'here': an address is \"HOST:PORT\" with a port of 0",
        ),
        ('rules: {bare: "2 days"}', "x.json5: rules.bare: '2 days': a duration is text with a unit"),
        ('director: {zone: "q"}', "director.zone: 'q' is not one of zones ['local']"),
        ("director: {number: 1}", "director.number: 1 must be under director.of"),
        ('fleet: {servers: [{match: "10.0.0.0/33"}]}', "'10.0.0.0/33' is not HOST"),
        ('fleet: {servers: [{match: "10.0.0.1", weight: 99}]}', "fleet.servers.0.weight: 99.0 is over"),
        ('listen: {sasp: "127.0.0.1:1", otlp: "127.0.0.1:1"}', "two fronts have the same address"),
        ("channel: {pending_lines: 5}", "pending_lines has no room"),
        ("a: 1, a: 2", "Duplicate key"),
        ("}", "x.json5: "),
    ],
)
def test_faults_are_named(text, expected):
    assert expected in fault(text)


def test_all_faults_of_a_file_are_told_at_once(tmp_path):
    path = tmp_path / "s.json5"
    path.write_text('{routes: [{name: "a", slo_time: 1, time_limit: "2s"}], zones: 3}')
    with pytest.raises(SettingsError) as flaw:
        load(path)
    assert str(flaw.value).count(f"{path}: ") == 2


@pytest.mark.parametrize("data", [b"", b"[]", b"{routes: \xff}", b"[" * 5000, b"{routes: []}"])
def test_what_is_no_settings_file_is_told_plainly(tmp_path, data):
    path = tmp_path / "s.json5"
    path.write_bytes(data)
    with pytest.raises(SettingsError, match="s.json5: "):
        load(path)


def test_a_missing_file_is_told_plainly(tmp_path):
    with pytest.raises(SettingsError, match="No such file"):
        load(tmp_path / "none")


def test_the_module_gets_a_plain_map_in_whole_microseconds():
    found = plain_map(parse(GOOD % 'rules: {warm_after: "12s"}, channel: {messages_most: 12}'))
    assert found["rules.warm_after_us"] == 12_000_000 and found["proxies.pushes_allowed"] == 12
    assert found["routes.0.slo_time_us"] == 1_000_000 and found["routes.count"] == 1


def test_the_schema_is_json_and_names_every_part():
    text = json.dumps(schema())
    parts = "director", "listen", "fleet", "channel", "rules", "sasp", "otlp"
    assert all(f'"{part}"' in text for part in parts)
