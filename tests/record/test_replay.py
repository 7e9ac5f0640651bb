"""Replays with the recorded settings give the same commands; changed settings show as differences."""

import json
import os
import subprocess
import sys

from click.testing import CliRunner

from rainpick import model
from rainpick.cli import main
from rainpick.record.incarnations import MissingSteps
from rainpick.record.steps import (
    RecordKind,
    Step,
    encode_incarnation,
    encode_step,
)
from rainpick.store import Log
from tests.record.recorded_day import INCARNATION, record_day, replay_all


def test_a_replay_with_unchanged_modules_gives_the_same_commands(tmp_path):
    drive = record_day(tmp_path)
    (result,) = replay_all(tmp_path)
    assert result.differing == 0 and result.missing is None
    assert result.steps == drive.engine.stepper.step_count > 50
    assert result.commands == drive.engine.stepper.commands_issued


def test_a_replay_does_not_depend_on_the_hash_seed(tmp_path):
    record_day(tmp_path)
    for seed in ("1", "77"):
        command = [sys.executable, "-m", "rainpick", "replay", str(tmp_path), "--json"]
        completed = subprocess.run(
            command, text=True, capture_output=True, env={**os.environ, "PYTHONHASHSEED": seed}
        )
        assert completed.returncode == 0, completed.stderr
        assert json.loads(completed.stdout)[0]["differing"] == 0


def test_a_changed_setting_shows_in_the_first_difference_and_in_the_shares(tmp_path):
    record_day(tmp_path)
    (result,) = replay_all(tmp_path, setting_overrides={"rules.warm_after_us": 12_000_000}, compare=True)
    assert result.differing and result.first_difference.recorded and result.first_difference.replayed
    share_changes = {change.server: change for change in result.comparison.share_changes}
    assert share_changes["127.0.0.1:9009"].replayed < share_changes["127.0.0.1:9009"].recorded


def test_a_setting_that_affects_the_first_commands_differs_from_the_first_steps_on(tmp_path):
    record_day(tmp_path)
    (result,) = replay_all(tmp_path, setting_overrides={"proxies.pending_max": 1})
    assert (
        result.first_difference.now == replay_all(tmp_path)[0].incarnation.now + 1_000_000
        or result.first_difference.step < 5
    )


def test_all_incarnations_of_a_record_are_replayed(tmp_path):
    record_day(tmp_path)
    record_day(tmp_path, seconds=3)
    results = replay_all(tmp_path)
    assert len(results) == 2 and not any(result.differing for result in results)
    assert results[0].steps > results[1].steps


def test_steps_after_missing_steps_are_not_replayed(tmp_path):
    record_day(tmp_path)
    log = Log(tmp_path, sync=False)
    log.append(9, RecordKind.LOST, b"5")
    log.append(
        10, RecordKind.STEP, encode_step(Step(99_000_000, [model.TimerFired(0)], [model.LogMessage("never")]))
    )
    log.close()
    (result,) = replay_all(tmp_path)
    assert result.missing == MissingSteps("5 steps were not recorded") and result.differing == 0


def test_steps_before_an_incomplete_last_block_are_replayed(tmp_path):
    record_day(tmp_path)
    (path,) = tmp_path.glob("*.seg")
    path.write_bytes(path.read_bytes() + b"RPBK half a block")
    (result,) = replay_all(tmp_path)
    assert result.missing is None and result.differing == 0


def test_the_incarnation_after_a_missing_segment_is_replayed(tmp_path):
    log = Log(tmp_path, max_segment_bytes=600, sync=False)
    log.append(1, RecordKind.INCARNATION, encode_incarnation(INCARNATION))
    for number in range(40):
        step = Step(number, [model.Started(7, {})] if not number else [model.TimerFired(0)], [])
        log.append(number, RecordKind.STEP, encode_step(step))
        log.flush()
    log.close()
    record_day(tmp_path)
    segments = sorted(tmp_path.glob("*.seg"))
    assert len(segments) > 4
    segments[2].unlink()
    results = replay_all(tmp_path)
    assert len(results) == 2 and "gap" in results[0].missing.reason and results[0].steps < 40
    assert results[1].missing is None and results[1].differing == 0
    verify = CliRunner().invoke(main, ["record", "verify", str(tmp_path)])
    assert verify.exit_code == 1 and "gap: first=3 last=3" in verify.output
