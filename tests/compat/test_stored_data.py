"""Data that commit ec54d34 stored is read with the same result; ``stored/README.md`` describes the data.

The expected data is never regenerated. The tests use few names of the program, all of them imported here.
"""

import base64
import json
import os
import re
import shutil
import subprocess
import sys
from pathlib import Path

import json5
import pytest

from rainpick.director.list_files import ListCache, read_cache, read_list
from rainpick.model import Endpoint
from rainpick.operator_settings import translate_lines, translate_nested
from rainpick.record.incarnations import MissingSteps, read_incarnations
from rainpick.record.replay import replay_incarnation
from rainpick.settings import decision_settings, load
from rainpick.simulated_peers.scenario import Scenario
from rainpick.store import read

STORED = Path(__file__).parent / "stored"
EXPECTED = STORED / "expected"
RECORDS = {
    "day": STORED / "record" / "day",
    "each": STORED / "record" / "each",
    "without-types": Path(__file__).parents[1] / "record" / "samples" / "without-types",
}
ALL_RECORDS = pytest.mark.parametrize("name", RECORDS)
NAMES = re.compile(r"\b[A-Za-z_]\w*(?=[=(])")  # names of types and fields in printed steps
NOW_US, WALL_US = 50_000_000, 1_790_000_000_000_000  # clock readings when the list cache was written


def expected(name):
    """Return the bytes of a committed file in ``stored/expected``."""
    return (EXPECTED / name).read_bytes()


def rainpick(*arguments, code=0):
    """Run a ``rainpick`` command, check its exit code, and return the bytes of its output."""
    environment = os.environ | {"COLUMNS": "160", "NO_COLOR": "1", "PYTHONUTF8": "1"}
    command = [sys.executable, "-m", "rainpick", *map(str, arguments)]
    completed = subprocess.run(command, capture_output=True, env=environment)
    assert completed.returncode == code, completed.stderr.decode()
    return completed.stdout


def as_json(value):
    """Encode as in the committed JSON files: 1 and 1.0 differ, and keys are sorted."""
    return (json.dumps(value, indent=1, sort_keys=True) + "\n").encode()


def export_lines(name):
    """Return the decoded lines of a committed export after its header."""
    return [json.loads(line) for line in expected(f"{name}-export.jsonl").splitlines()][1:]


def export_form(value):
    """Convert a value of a step to the form of an export."""
    if isinstance(value, bytes):
        return base64.b64encode(value).decode()
    if isinstance(value, tuple):
        return [export_form(item) for item in value]
    if isinstance(value, dict):
        return {name: export_form(item) for name, item in value.items()}
    return value


# Records


def test_the_records_hold_every_type_and_every_field():
    """Checks the data itself: an incarnation declares the types that are in the exports."""
    (incarnation,) = [record for record in read(RECORDS["each"]) if record.kind == 1]
    assert b"ServerMet" in incarnation.payload and b"mean_us" in incarnation.payload
    rows = [row for line in export_lines("each") for row in line.get("events", []) + line.get("orders", [])]
    type_names = {row[0] for row in rows}
    assert len(type_names) == 26 and all(name.encode() in incarnation.payload for name in type_names)


def test_the_replay_of_a_recorded_day_gives_the_same_commands():
    day, slices = [
        replay_incarnation(incarnation, steps)
        for incarnation, steps in read_incarnations(read(RECORDS["day"]))
    ]
    assert (day.steps, day.commands, day.differing, day.missing) == (123, 129, 0, None)
    assert (slices.steps, slices.commands, slices.differing, slices.missing) == (18, 31, 0, None)


@ALL_RECORDS
def test_all_steps_are_decoded_to_the_values_in_the_export(name):
    actual = []
    for incarnation, steps in read_incarnations(read(RECORDS[name])):
        actual.append(export_form(tuple(incarnation)[:6]))
        for step in steps:
            if isinstance(step, MissingSteps):
                actual.append(step.reason)
            else:
                now, events, commands = step
                actual.append(
                    [
                        now,
                        [export_form(tuple(row)) for row in events],
                        [export_form(tuple(row)) for row in commands],
                    ]
                )
    expected_data = []
    for line in export_lines(name):
        if "life" in line:
            expected_data.append([value for field, value in line["life"].items() if field != "types"])
        elif "lost" in line:
            expected_data.append(f"{line['lost']} steps were not recorded")
        else:
            expected_data.append(
                [line["now"], *([row[1:] for row in line[part]] for part in ("events", "orders"))]
            )
    assert as_json(actual) == as_json(expected_data)


@ALL_RECORDS
def test_the_replay_command_prints_the_same_values(name):
    """The commands in ``each`` are not those of the decision modules, so the replay reports a difference."""
    actual = rainpick("replay", RECORDS[name], "--json", code=int(name == "each"))
    expected_data = expected(f"{name}-replay.json")
    assert NAMES.sub("", actual.decode()) == NAMES.sub("", expected_data.decode())


def test_the_replay_command_prints_the_same_type_names():
    assert rainpick("replay", RECORDS["each"], "--json", code=1) == expected("each-replay.json")


@ALL_RECORDS
def test_an_export_has_the_same_bytes(name):
    assert rainpick("record", "export", RECORDS[name]) == expected(f"{name}-export.jsonl")


@ALL_RECORDS
def test_an_imported_export_has_the_same_replay_and_the_same_export(name, tmp_path):
    folder = tmp_path / "record"
    rainpick("record", "import", EXPECTED / f"{name}-export.jsonl", folder)
    again = [
        (result.steps, result.commands, result.differing)
        for result in (replay_incarnation(*incarnation) for incarnation in read_incarnations(read(folder)))
    ]
    before = [
        (result.steps, result.commands, result.differing)
        for result in (
            replay_incarnation(*incarnation) for incarnation in read_incarnations(read(RECORDS[name]))
        )
    ]
    assert again == before
    assert rainpick("record", "export", folder) == expected(f"{name}-export.jsonl")


@pytest.mark.parametrize("name", ["day", "each"])
def test_imported_records_have_the_stored_bytes_of_the_original(name, tmp_path):
    """An earlier version can then read records of this version, which a downgrade requires."""
    rainpick("record", "import", EXPECTED / f"{name}-export.jsonl", tmp_path / "record")
    assert list(read(tmp_path / "record")) == list(read(RECORDS[name]))


@pytest.mark.parametrize(
    "name, second, subject",
    [
        ("fleet", 5, "fleet"),
        ("server", 9, "server=127.0.0.1:9000"),
        ("table", 15, "table=0"),
        ("proxy", 15, "proxy=1"),
    ],
)
def test_the_inspection_of_a_point_in_time_prints_the_same_state(name, second, subject):
    arguments = ["replay", RECORDS["day"], "--life", 0, "--until", second, "--inspect", subject]
    assert rainpick(*arguments) == expected(f"inspect-{name}.txt")
    assert rainpick(*arguments, "--json") == expected(f"inspect-{name}.json")


@pytest.mark.parametrize("name", ["day", "each"])
def test_incarnations_are_listed_and_blocks_verified_with_the_same_output(name):
    assert rainpick("record", "ls", RECORDS[name]) == expected(f"{name}-ls.txt")
    assert rainpick("record", "verify", RECORDS[name]) == expected(f"{name}-verify.txt")


SHOWN_RECORDS = pytest.mark.parametrize(
    "name, options", [("day", ["--from", "2", "--until", "8"]), ("each", [])]
)


@SHOWN_RECORDS
def test_steps_are_printed_with_the_same_values(name, options):
    actual = rainpick("record", "show", RECORDS[name], *options)
    assert NAMES.sub("", actual.decode()) == NAMES.sub("", expected(f"{name}-show.txt").decode())


@SHOWN_RECORDS
def test_steps_are_printed_with_the_same_names(name, options):
    assert rainpick("record", "show", RECORDS[name], *options) == expected(f"{name}-show.txt")


# The endpoint list


@pytest.fixture
def settings_with_every_key():
    """Return the settings of a file with every key."""
    return load(STORED / "settings" / "settings.json5")


def test_the_list_cache_is_read(settings_with_every_key):
    actual = read_cache(
        str(STORED / "list" / "cache.json"), settings_with_every_key, NOW_US + 5_000_000, WALL_US + 9_000_000
    )
    assert as_json(actual) == expected("cache-read.json")


def test_the_list_cache_is_written_with_the_same_bytes(settings_with_every_key, tmp_path):
    rows = json.loads((STORED / "list" / "entries.json").read_text())
    servers = tuple(Endpoint(*values, tuple(address), state) for *values, address, state in rows)
    cache = ListCache(str(tmp_path / "cache.json"), settings_with_every_key)
    cache.enqueue(servers, NOW_US, WALL_US)
    cache.close()
    cache.thread.join()
    assert (tmp_path / "cache.json").read_bytes() == (STORED / "list" / "cache.json").read_bytes()


def test_the_operators_list_is_read(settings_with_every_key):
    actual = read_list(str(STORED / "list" / "list.json5"), settings_with_every_key, 200_000_000)
    assert as_json(actual) == expected("list-read.json")


# The auditor


@pytest.mark.parametrize("name", ["played", "broken"])
def test_the_audit_of_a_day_has_the_same_verdict(name):
    assert rainpick("audit", STORED / "audit" / name, "--json", code=1) == expected(f"audit-{name}.json")


def test_the_audit_reads_every_log_of_the_folder(tmp_path):
    """Checks the data itself: without the servers' log their pods are unknown and no breach is found."""
    shutil.copytree(STORED / "audit" / "played", tmp_path / "played")
    (tmp_path / "played" / "fleet.jsonl").unlink()
    assert rainpick("audit", tmp_path / "played", "--json") != expected("audit-played.json")


# Settings


def key_paths(tree, path=()):
    """Yield the paths of all keys of nested settings; list elements have their index as key."""
    rows = tree.items() if isinstance(tree, dict) else enumerate(tree) if isinstance(tree, list) else ()
    for name, value in rows:
        yield (*path, name)
        yield from key_paths(value, (*path, name))


def test_settings_with_every_key_are_loaded_with_the_same_values(settings_with_every_key):
    assert as_json(settings_with_every_key.model_dump(mode="json", by_alias=True)) == expected(
        "settings.json"
    )


def test_the_decision_settings_are_the_same_map(settings_with_every_key):
    assert as_json(decision_settings(settings_with_every_key)) == expected("plain-map.json")


def test_a_scenario_with_every_key_is_loaded_with_the_same_values():
    scenario = load(STORED / "settings" / "scenario.json5", Scenario)
    assert as_json(scenario.model_dump(mode="json", by_alias=True)) == expected("scenario.json")


@pytest.mark.parametrize("name", ["settings", "scenario"])
def test_every_key_of_the_settings_file_is_in_the_expected_data(name):
    """Checks the data itself: no key of the file is missing in the loaded settings."""
    keys = set(key_paths(json5.loads((STORED / "settings" / f"{name}.json5").read_text())))
    assert keys <= set(key_paths(json.loads(expected(f"{name}.json"))))


def test_config_check_accepts_a_settings_file_with_every_key(tmp_path):
    """The path of the list file is replaced, since it is relative to the working directory of the command."""
    text = (STORED / "settings" / "settings.json5").read_text()
    (tmp_path / "settings.json5").write_text(
        text.replace('"list.json5"', json.dumps(str(STORED / "list/list.json5")))
    )
    assert rainpick("config", "check", tmp_path / "settings.json5").endswith(b": good\n")


def test_operators_settings_are_translated_from_lines():
    actual = translate_lines((STORED / "settings" / "operators.txt").read_text())
    assert as_json(actual) == expected("operators-lines.json")


def test_operators_settings_are_translated_from_nested_json():
    actual = translate_nested(json.loads((STORED / "settings" / "operators.json").read_text()))
    assert as_json(actual) == expected("operators-nested.json")
