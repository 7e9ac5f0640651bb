"""A recorded day gives the same orders again, exactly; with another setting it says what would be other."""

import json
import os
import subprocess
import sys
import time

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from rainpick import model
from rainpick.record.incarnations import MissingSteps, read_incarnations
from rainpick.record.recorder import Recorder
from rainpick.record.replay import replay_incarnation
from rainpick.record.schema import CODES
from rainpick.record.steps import (
    Incarnation,
    RecordKind,
    Step,
    StepError,
    read_step,
    write_incarnation,
    write_step,
)
from rainpick.store import Log, read
from tests.director.drive import Drive, server
from tests.loopback.help import MemberEnd, ProxyEnd, running, status
from tests.waiting import until

INCARNATION = Incarnation(0, "e", "m", 1_000_000, 0, {})


def lived(folder, seconds=20):
    """A director under a virtual clock, its steps recorded: drains, reports, a loss, joins."""
    drive = Drive('rules: {warm_after: "6s"}, proxies: {count: 1}')
    log = Log(folder, sync=False)
    log.append(1, RecordKind.INCARNATION, write_incarnation(INCARNATION))
    drive.engine.stepper.watch = lambda now, *parts: log.append(
        now, RecordKind.STEP, write_step(Step(now, *parts))
    )
    for number in range(4):
        drive.join(number)
    drive.run(2)
    drive.listed(server(1, model.EndpointState.DRAINING))
    drive.run(1)
    drive.listed(server(9, started_us=drive.now), server(2, model.EndpointState.GONE))
    drive.run(2)
    for tries in (30, 30):
        drive.engine.met([model.ServerLoadReport(("127.0.0.1", 9000), 0, tries, 29, 90_000, 1_000_000, ())])
        drive.engine.met([model.ServerLoadReport(("127.0.0.1", 9003), 0, 60, 0, 50_000, 1_000_000, ())])
        drive.run(1)
    drive.left(2)
    drive.run(seconds)
    log.close()
    return drive


def replay_all(folder, *module, **options):
    """The results of all incarnations in a record."""
    return [
        replay_incarnation(incarnation, steps, *module, **options)
        for incarnation, steps in read_incarnations(read(folder))
    ]


def test_the_same_day_again_has_not_one_order_different(tmp_path):
    drive = lived(tmp_path)
    (one,) = replay_all(tmp_path)
    assert one.differing == 0 and one.missing is None and one.steps == drive.engine.stepper.steps > 50
    assert one.orders == drive.engine.stepper.ordered


def test_in_another_process_with_another_hash_seed_too(tmp_path):
    lived(tmp_path)
    for seed in ("1", "77"):
        command = [sys.executable, "-m", "rainpick", "replay", str(tmp_path), "--json"]
        found = subprocess.run(
            command, text=True, capture_output=True, env={**os.environ, "PYTHONHASHSEED": seed}
        )
        assert found.returncode == 0 and json.loads(found.stdout)[0]["differing"] == 0, found.stderr


def test_another_setting_is_told_by_its_first_difference_and_by_weights(tmp_path):
    lived(tmp_path)
    (one,) = replay_all(tmp_path, changes={"rules.warm_after_us": 12_000_000}, compare=True)
    assert one.differing and one.first_difference.recorded and one.first_difference.replayed
    changes = {change.server: change for change in one.comparison.share_changes}
    assert changes["127.0.0.1:9009"].replayed < changes["127.0.0.1:9009"].recorded


def test_a_setting_that_alters_the_very_first_decision(tmp_path):
    lived(tmp_path)
    (one,) = replay_all(tmp_path, changes={"proxies.pending_max": 1})
    assert (
        one.first_difference.now == replay_all(tmp_path)[0].incarnation.now + 1_000_000
        or one.first_difference.step < 5
    )


def test_several_lives_in_one_record(tmp_path):
    lived(tmp_path)
    lived(tmp_path, seconds=3)
    found = replay_all(tmp_path)
    assert len(found) == 2 and not any(one.differing for one in found) and found[0].steps > found[1].steps


def test_after_a_hole_nothing_of_that_life_is_replay_all(tmp_path):
    lived(tmp_path)
    log = Log(tmp_path, sync=False)
    log.append(9, RecordKind.LOST, b"5")
    log.append(
        10, RecordKind.STEP, write_step(Step(99_000_000, [model.TimerFired(0)], [model.LogMessage("never")]))
    )
    log.close()
    (one,) = replay_all(tmp_path)
    assert one.missing == MissingSteps("5 steps were not recorded") and one.differing == 0


def test_a_torn_end_loses_the_end_and_nothing_else(tmp_path):
    lived(tmp_path)
    (path,) = tmp_path.glob("*.seg")
    path.write_bytes(path.read_bytes() + b"RPBK half a block")
    (one,) = replay_all(tmp_path)
    assert one.missing is None and one.differing == 0


values = st.one_of(
    st.integers(-(2**63), 2**63 - 1), st.floats(allow_nan=False), st.text(max_size=5), st.booleans()
)
addresses = st.tuples(st.text(max_size=9), st.integers(0, 65535))


@given(
    st.dictionaries(st.text(max_size=9), values | st.lists(values, max_size=3).map(tuple)),
    addresses,
    st.floats(allow_nan=False),
    st.integers(0, 2**62),
)
@hypothesis_settings(max_examples=100, deadline=None, derandomize=True)
def test_every_type_is_read_back_as_it_was(settings, address, number, now):
    entry = model.Endpoint(number, 1, now, 2, 3, address, model.EndpointState.READY)
    some = [
        model.Started(now, settings),
        model.EndpointUpdate(model.UpdateKind.FULL, (entry, entry), 7),
        model.ServerLoadReport(address, 1, 2, 3, 4, 5, (number,)),
        model.SetWeight(3, address, number),
        model.PeerMessageReceived(1, b"x\xff"),
        model.SendPeerMessage(None, b""),
        model.FetchEndpoints(),
    ]
    step = Step(now, some, some[::-1])
    assert read_step(write_step(step)) == step


def test_every_type_of_the_interface_can_be_recorded():
    named = {one for one in vars(model).values() if isinstance(one, type) and hasattr(one, "_fields")}
    assert named - {model.Endpoint} == CODES.keys()


@pytest.mark.parametrize("data", [b"", b"\x93\x01\x90", b"\x93\x01\x91\x91\xcc\xff\x90", b"\xc1"])
def test_bytes_that_are_no_step_are_told(data):
    with pytest.raises(StepError):
        read_step(data)


def test_a_live_director_is_recorded_over_sockets_and_replays_exactly(tmp_path):
    folder = tmp_path / "day"
    for _ in range(2):  # two lives in one record
        with running(f'record: {{folder: "{folder}", sync: false}}') as daemon:
            fleet = MemberEnd(daemon, 9001, 9002, 9003)
            proxy = ProxyEnd(daemon, "edge-1")
            proxy.until(lambda held: len(held) == 3)
            fleet.quiesce(9002)
            proxy.until(lambda held: len(held) == 2)
            assert status(daemon)["record"]["lost"] == 0
    found = replay_all(folder)
    assert len(found) == 2
    assert all(one.differing == 0 and one.missing is None and one.orders > 5 for one in found)


def test_a_slow_disk_never_holds_up_the_core_and_what_is_lost_is_counted(tmp_path, monkeypatch):
    monkeypatch.setattr("rainpick.record.recorder.QUEUE_MOST", 8)
    recorder = Recorder(tmp_path, INCARNATION, 1 << 20, 0, 0, False)
    slow = recorder.store.append
    recorder.store.append = lambda *words: (time.sleep(0.05), slow(*words))
    begin = time.monotonic()
    for now in range(100):
        recorder.step(now, [model.TimerFired(now)], [])
    assert time.monotonic() - begin < 0.1 and recorder.lost > 50
    recorder.store.append = slow
    until(lambda: recorder.queue.empty())
    recorder.step(1000, [], [])
    recorder.close()
    ((_, steps),) = read_incarnations(read(tmp_path))
    holes = [one for one in steps if isinstance(one, MissingSteps)]
    assert holes and "were not recorded" in holes[-1].reason
