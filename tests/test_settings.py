"""Settings files: loading, errors, and conversion to the settings of the decision modules."""

import json

import pytest

from rainpick.settings import SettingsError, decision_settings, json_schema, load, parse

MINIMAL = '{routes: [{name: "a", slo_time: "1s", time_limit: "2s"}], %s}'


def error_text(text):
    with pytest.raises(SettingsError) as error:
        parse(MINIMAL % text, "x.json5")
    return str(error.value)


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
def test_an_error_states_the_path_the_value_and_what_is_allowed(text, expected):
    assert expected in error_text(text)


def test_all_errors_of_a_file_are_reported_at_once(tmp_path):
    path = tmp_path / "s.json5"
    path.write_text('{routes: [{name: "a", slo_time: 1, time_limit: "2s"}], zones: 3}')
    with pytest.raises(SettingsError) as error:
        load(path)
    assert str(error.value).count(f"{path}: ") == 2


@pytest.mark.parametrize("data", [b"", b"[]", b"{routes: \xff}", b"[" * 5000, b"{routes: []}"])
def test_a_file_without_valid_settings_raises_a_settings_error(tmp_path, data):
    path = tmp_path / "s.json5"
    path.write_bytes(data)
    with pytest.raises(SettingsError, match="s.json5: "):
        load(path)


def test_a_missing_file_raises_a_settings_error(tmp_path):
    with pytest.raises(SettingsError, match="No such file"):
        load(tmp_path / "none")


def test_decision_settings_are_a_flat_map_with_whole_microseconds():
    flat = decision_settings(parse(MINIMAL % 'rules: {warm_after: "12s"}, channel: {messages_most: 12}'))
    assert flat["rules.warm_after_us"] == 12_000_000 and flat["proxies.pushes_allowed"] == 12
    assert flat["routes.0.slo_time_us"] == 1_000_000 and flat["routes.count"] == 1


def test_the_schema_is_json_and_contains_every_part():
    text = json.dumps(json_schema())
    parts = "director", "listen", "fleet", "channel", "rules", "sasp", "otlp"
    assert all(f'"{part}"' in text for part in parts)
