"""Data stored by the text of commit ec54d34 is read as it was then; ``stored/README.md`` says what it is.

The expected data is never made anew. Few names of the code are used here; all are imported at the top.
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
NAMES = re.compile(r"\b[A-Za-z_]\w*(?=[=(])")  # of types and fields, where a step is shown to people
NOW_US, WALL_US = 50_000_000, 1_790_000_000_000_000  # the clocks at which the list cache was written


def expected(name):
    """The committed bytes."""
    return (EXPECTED / name).read_bytes()


def rainpick(*words, code=0):
    """What the command line prints, byte for byte."""
    environment = os.environ | {"COLUMNS": "160", "NO_COLOR": "1", "PYTHONUTF8": "1"}
    command = [sys.executable, "-m", "rainpick", *map(str, words)]
    found = subprocess.run(command, capture_output=True, env=environment)
    assert found.returncode == code, found.stderr.decode()
    return found.stdout


def as_json(value):
    """Values in the form of the committed JSON: 1 and 1.0 differ in it, the order of keys does not count."""
    return (json.dumps(value, indent=1, sort_keys=True) + "\n").encode()


def export_lines(name):
    """The lines of a committed export behind its head."""
    return [json.loads(line) for line in expected(f"{name}-export.jsonl").splitlines()][1:]


def plain(value):
    """A value of a step as the export writes it."""
    if isinstance(value, bytes):
        return base64.b64encode(value).decode()
    if isinstance(value, tuple):
        return [plain(one) for one in value]
    if isinstance(value, dict):
        return {name: plain(one) for name, one in value.items()}
    return value


# Records


def test_the_records_hold_every_type_and_every_field():
    """Of the data itself: what a life says of its types is what stands in the exports."""
    (life,) = [line for line in read(RECORDS["each"]) if line.kind == 1]
    assert b"ServerMet" in life.payload and b"mean_us" in life.payload
    rows = [row for line in export_lines("each") for row in line.get("events", []) + line.get("orders", [])]
    kinds = {row[0] for row in rows}
    assert len(kinds) == 26 and all(kind.encode() in life.payload for kind in kinds)


def test_a_recorded_day_gives_the_same_orders_again():
    day, slices = [replay_incarnation(life, steps) for life, steps in read_incarnations(read(RECORDS["day"]))]
    assert (day.steps, day.orders, day.differing, day.missing) == (123, 129, 0, None)
    assert (slices.steps, slices.orders, slices.differing, slices.missing) == (18, 31, 0, None)


@ALL_RECORDS
def test_every_step_is_read_to_the_end_with_the_values_of_the_export(name):
    found = []
    for life, steps in read_incarnations(read(RECORDS[name])):
        found.append(plain(tuple(life)[:6]))
        for step in steps:
            if isinstance(step, MissingSteps):
                found.append(step.reason)
            else:
                now, events, orders = step
                found.append(
                    [now, [plain(tuple(row)) for row in events], [plain(tuple(row)) for row in orders]]
                )
    wanted = []
    for line in export_lines(name):
        if "life" in line:
            wanted.append([value for field, value in line["life"].items() if field != "types"])
        elif "lost" in line:
            wanted.append(f"{line['lost']} steps were not recorded")
        else:
            wanted.append([line["now"], *([row[1:] for row in line[part]] for part in ("events", "orders"))])
    assert as_json(found) == as_json(wanted)


@ALL_RECORDS
def test_the_replay_on_the_command_line(name):
    """The orders of ``each`` are not the module's: the exit code and the first difference say so."""
    found = rainpick("replay", RECORDS[name], "--json", code=int(name == "each"))
    wanted = expected(f"{name}-replay.json")
    assert NAMES.sub("", found.decode()) == NAMES.sub("", wanted.decode())


def test_the_replay_names_the_types_as_they_were():
    assert rainpick("replay", RECORDS["each"], "--json", code=1) == expected("each-replay.json")


@ALL_RECORDS
def test_the_export_is_the_same_bytes(name):
    assert rainpick("record", "export", RECORDS[name]) == expected(f"{name}-export.jsonl")


@ALL_RECORDS
def test_an_export_is_imported_replayed_and_exported_again(name, tmp_path):
    folder = tmp_path / "record"
    rainpick("record", "import", EXPECTED / f"{name}-export.jsonl", folder)
    again = [
        (one.steps, one.orders, one.differing)
        for one in (replay_incarnation(*both) for both in read_incarnations(read(folder)))
    ]
    before = [
        (one.steps, one.orders, one.differing)
        for one in (replay_incarnation(*both) for both in read_incarnations(read(RECORDS[name])))
    ]
    assert again == before
    assert rainpick("record", "export", folder) == expected(f"{name}-export.jsonl")


@pytest.mark.parametrize("name", ["day", "each"])
def test_what_is_written_now_is_what_was_written_then(name, tmp_path):
    """So a program of that text reads records of today, too: one may have to go back to it."""
    rainpick("record", "import", EXPECTED / f"{name}-export.jsonl", tmp_path / "record")
    assert list(read(tmp_path / "record")) == list(read(RECORDS[name]))


@pytest.mark.parametrize(
    "name, second, what",
    [
        ("fleet", 5, "fleet"),
        ("server", 9, "server=127.0.0.1:9000"),
        ("table", 15, "table=0"),
        ("proxy", 15, "proxy=1"),
    ],
)
def test_a_moment_is_inspected(name, second, what):
    words = ["replay", RECORDS["day"], "--life", 0, "--until", second, "--inspect", what]
    assert rainpick(*words) == expected(f"inspect-{name}.txt")
    assert rainpick(*words, "--json") == expected(f"inspect-{name}.json")


@pytest.mark.parametrize("name", ["day", "each"])
def test_lives_are_listed_and_blocks_verified(name):
    assert rainpick("record", "ls", RECORDS[name]) == expected(f"{name}-ls.txt")
    assert rainpick("record", "verify", RECORDS[name]) == expected(f"{name}-verify.txt")


SHOWN = pytest.mark.parametrize("name, words", [("day", ["--from", "2", "--until", "8"]), ("each", [])])


@SHOWN
def test_steps_are_shown_with_the_values_that_they_had(name, words):
    found = rainpick("record", "show", RECORDS[name], *words)
    assert NAMES.sub("", found.decode()) == NAMES.sub("", expected(f"{name}-show.txt").decode())


@SHOWN
def test_steps_are_shown_with_the_names_that_they_had(name, words):
    assert rainpick("record", "show", RECORDS[name], *words) == expected(f"{name}-show.txt")


# The list


@pytest.fixture
def every_setting():
    """The settings of the file that has every key."""
    return load(STORED / "settings" / "settings.json5")


def test_the_list_cache_is_read(every_setting):
    found = read_cache(
        str(STORED / "list" / "cache.json"), every_setting, NOW_US + 5_000_000, WALL_US + 9_000_000
    )
    assert as_json(found) == expected("cache-read.json")


def test_the_list_cache_is_written_with_the_same_bytes(every_setting, tmp_path):
    rows = json.loads((STORED / "list" / "entries.json").read_text())
    servers = tuple(Endpoint(*values, tuple(address), state) for *values, address, state in rows)
    cache = ListCache(str(tmp_path / "cache.json"), every_setting)
    cache.enqueue(servers, NOW_US, WALL_US)
    cache.close()
    cache.thread.join()
    assert (tmp_path / "cache.json").read_bytes() == (STORED / "list" / "cache.json").read_bytes()


def test_the_operators_list_is_read(every_setting):
    found = read_list(str(STORED / "list" / "list.json5"), every_setting, 200_000_000)
    assert as_json(found) == expected("list-read.json")


# The auditor


@pytest.mark.parametrize("name", ["played", "broken"])
def test_logs_of_a_day_are_judged_as_they_were(name):
    assert rainpick("audit", STORED / "audit" / name, "--json", code=1) == expected(f"audit-{name}.json")


def test_the_audit_reads_every_log_of_the_folder(tmp_path):
    """Of the data itself: without the servers' log nobody knows their pods, and no rule seems broken."""
    shutil.copytree(STORED / "audit" / "played", tmp_path / "played")
    (tmp_path / "played" / "fleet.jsonl").unlink()
    assert rainpick("audit", tmp_path / "played", "--json") != expected("audit-played.json")


# Settings


def key_paths(tree, path=()):
    """The paths of all keys of nested settings; lists count by their place."""
    rows = tree.items() if isinstance(tree, dict) else enumerate(tree) if isinstance(tree, list) else ()
    for name, value in rows:
        yield (*path, name)
        yield from key_paths(value, (*path, name))


def test_settings_with_every_key_are_loaded_with_the_same_values(every_setting):
    assert as_json(every_setting.model_dump(mode="json", by_alias=True)) == expected("settings.json")


def test_the_module_is_given_the_same_map_of_settings(every_setting):
    assert as_json(decision_settings(every_setting)) == expected("plain-map.json")


def test_a_scenario_with_every_key_is_loaded_with_the_same_values():
    scenario = load(STORED / "settings" / "scenario.json5", Scenario)
    assert as_json(scenario.model_dump(mode="json", by_alias=True)) == expected("scenario.json")


@pytest.mark.parametrize("name", ["settings", "scenario"])
def test_every_key_of_the_file_stands_in_the_committed_form(name):
    """Of the data itself: no key is lost on the way from the file to the loaded form."""
    said = set(key_paths(json5.loads((STORED / "settings" / f"{name}.json5").read_text())))
    assert said <= set(key_paths(json.loads(expected(f"{name}.json"))))


def test_a_settings_file_is_good_on_the_command_line(tmp_path):
    """The list file that the settings name is looked for where the command runs."""
    text = (STORED / "settings" / "settings.json5").read_text()
    (tmp_path / "settings.json5").write_text(
        text.replace('"list.json5"', json.dumps(str(STORED / "list/list.json5")))
    )
    assert rainpick("config", "check", tmp_path / "settings.json5").endswith(b": good\n")


def test_operators_words_are_read_from_lines():
    found = translate_lines((STORED / "settings" / "operators.txt").read_text())
    assert as_json(found) == expected("operators-lines.json")


def test_operators_words_are_read_from_nested_settings():
    found = translate_nested(json.loads((STORED / "settings" / "operators.json").read_text()))
    assert as_json(found) == expected("operators-nested.json")
