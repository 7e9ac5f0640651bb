"""Recording of a live director, and the loss of steps on a slow or full disk."""

import errno
import time

from rainpick import model
from rainpick.record.incarnations import MissingSteps, read_incarnations
from rainpick.record.recorder import Recorder
from rainpick.record.steps import Step
from rainpick.store import Record, read
from tests.loopback.harness import MemberClient, ProxyClient, fetch_status, running_director
from tests.record.recorded_day import INCARNATION, replay_all
from tests.waiting import wait_until


def test_the_record_of_a_live_director_is_replayed_with_the_same_commands(tmp_path):
    folder = tmp_path / "day"
    for _ in range(2):  # two incarnations in one record
        with running_director(f'record: {{folder: "{folder}", sync: false}}') as daemon:
            fleet = MemberClient(daemon, 9001, 9002, 9003)
            proxy = ProxyClient(daemon, "edge-1")
            proxy.until(lambda held: len(held) == 3)
            fleet.quiesce(9002)
            proxy.until(lambda held: len(held) == 2)
            assert fetch_status(daemon)["record"]["lost"] == 0
    results = replay_all(folder)
    assert len(results) == 2
    assert all(not result.differing and result.missing is None for result in results)
    assert all(result.commands > 5 for result in results)


def test_a_slow_disk_never_blocks_the_core_and_lost_steps_are_counted(tmp_path, monkeypatch):
    monkeypatch.setattr("rainpick.record.recorder.MAX_QUEUED_STEPS", 8)
    recorder = Recorder(tmp_path, INCARNATION, 1 << 20, 0, 0, False)
    append = recorder.store.append
    recorder.store.append = lambda *arguments: (time.sleep(0.05), append(*arguments))
    begin = time.monotonic()
    for now in range(100):
        recorder.step(now, [model.TimerFired(now)], [])
    assert time.monotonic() - begin < 0.1 and recorder.lost > 50
    recorder.store.append = append
    wait_until(lambda: recorder.queue.empty())
    recorder.step(1000, [], [])
    recorder.close()
    ((_, steps),) = read_incarnations(read(tmp_path))
    missing = [step for step in steps if isinstance(step, MissingSteps)]
    assert missing and "were not recorded" in missing[-1].reason


def test_a_disk_that_fills_up_within_a_block_loses_that_block(tmp_path):
    """The later step is recorded, and the record shows where and how many steps are missing."""
    recorder = Recorder(tmp_path, INCARNATION, 1 << 20, 0, 0, False)
    recorder.step(1, [model.TimerFired(1)], [])
    wait_until(lambda: recorder.store.written >= 1)
    write = recorder.store.write

    def write_half(data):
        recorder.store.file.write(data[: len(data) // 2])
        raise OSError(errno.ENOSPC, "No space left on device")

    recorder.store.write = write_half
    for now in range(2, 12):
        recorder.step(now, [model.TimerFired(now)], [])
    wait_until(lambda: recorder.lost >= 10)
    recorder.store.write = write
    recorder.step(50, [model.TimerFired(50)], [])
    recorder.close()
    ((_, steps),) = read_incarnations(read(tmp_path))
    entries = list(steps)
    assert [entry.now for entry in entries if isinstance(entry, Step)] == [1, 50]
    assert [entry for entry in entries if isinstance(entry, MissingSteps)] == [
        MissingSteps("10 steps were not recorded")
    ]
    assert all(isinstance(entry, Record) for entry in read(tmp_path))
