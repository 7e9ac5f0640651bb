"""Exports come back as they went; what is no export leaves nothing behind. Two records on one clock."""

import errno

import pytest
from click.testing import CliRunner

from rainpick import model
from rainpick.cli import main
from rainpick.decisions.director import Director
from rainpick.record.clock import (
    merge_by_wall_clock,
    read_moments,
    replay_together,
    replay_until,
    reports_by_time,
)
from rainpick.record.exchange import ExchangeError, export_lines, import_file
from rainpick.record.incarnations import MissingSteps, read_incarnations
from rainpick.record.recorder import Recorder
from rainpick.record.schema import TYPE_ROWS
from rainpick.record.steps import (
    Incarnation,
    RecordKind,
    Step,
    StepError,
    StepReader,
    write_incarnation,
    write_step,
)
from rainpick.store import Log, Record, read
from tests.record.test_replay import INCARNATION, lived, replay_all
from tests.waiting import until


def records(folder):
    return [one for one in read(folder) if isinstance(one, Record)]


def test_an_export_comes_back_byte_for_byte_and_replays(tmp_path):
    lived(tmp_path / "day")
    log = Log(tmp_path / "day", sync=False)
    log.append(5, RecordKind.LOST, b"3")
    rest = [model.SendPeerMessage(None, b"x"), model.FetchEndpoints()]
    log.append(6, RecordKind.STEP, write_step(Step(7, [model.PeerMessageReceived(1, b"\x00\xff")], rest)))
    log.close()
    out = tmp_path / "day.jsonl"
    assert CliRunner().invoke(main, ["record", "export", str(tmp_path / "day"), str(out)]).exit_code == 0
    found = CliRunner().invoke(main, ["record", "import", str(out), str(tmp_path / "back")])
    assert found.exit_code == 0, found.output
    assert records(tmp_path / "back") == records(tmp_path / "day")


@pytest.mark.parametrize(
    "spoil, why",
    [
        (lambda rows: rows[1:], "line 1: .*begins with the form"),
        (lambda rows: [rows[0], rows[1], b'{"t": 1}\n'], "line 3: KeyError"),
        (lambda rows: [*rows[:3], b"{\n"], "line 4"),
        (lambda rows: [rows[0], b'{"t":1,"now":2,"events":[["Moon",1]],"orders":[]}\n'], "line 2: .*'Moon'"),
        (lambda rows: [rows[0], b"[" * 9000 + b"\n"], "line 2"),
    ],
)
def test_what_is_no_export_is_told_by_its_line_and_leaves_nothing(tmp_path, spoil, why):
    lived(tmp_path / "day")
    rows = list(export_lines(read(tmp_path / "day")))
    (tmp_path / "bad").write_bytes(b"".join(spoil(rows)))
    with pytest.raises(ExchangeError, match=why):
        import_file(tmp_path / "bad", tmp_path / "back")
    assert not list((tmp_path / "back").glob("*.seg"))


def test_an_import_never_goes_into_a_record_that_is_there(tmp_path):
    lived(tmp_path / "day")
    (tmp_path / "out").write_bytes(b"".join(export_lines(read(tmp_path / "day"))))
    before = records(tmp_path / "day")
    with pytest.raises(ExchangeError, match="holds a record already"):
        import_file(tmp_path / "out", tmp_path / "day")
    assert records(tmp_path / "day") == before


def put(folder, wall_us, *steps, director=0):
    log = Log(folder, sync=False)
    log.append(
        wall_us, RecordKind.INCARNATION, write_incarnation(Incarnation(director, "e", "m", wall_us, 0, {}))
    )
    for step in steps:
        log.append(wall_us + step.now, RecordKind.STEP, write_step(step))
    log.close()


def ticks(*times):
    return [Step(now, [model.TimerFired(0)], []) for now in times]


def test_two_records_are_shown_on_one_clock_each_in_its_own_order(tmp_path):
    put(tmp_path / "a", 1_000, *ticks(0, 10, 20))
    put(tmp_path / "b", 1_005, *ticks(0, 10, 20), director=1)
    found = [
        (one.wall_us, one.incarnation.director)
        for one in merge_by_wall_clock([tmp_path / "a", tmp_path / "b"])
    ]
    assert found == [(1_000, 0), (1_005, 1), (1_010, 0), (1_015, 1), (1_020, 0), (1_025, 1)]


def test_two_directors_are_played_side_by_side_and_looked_at_in_one_moment(tmp_path):
    """Each step at its moment: the order in which the two modules step is that of the wall's clock."""
    turns = []

    def module(name):
        class Told(Director):
            def step(self, now, events):
                turns.append((name, now))
                return super().step(now, events)

        return Told

    names = iter("ab")
    start = [model.Started(7, {}), model.EndpointUpdate(model.UpdateKind.CACHED, (), 1)]
    rows = [Step(0, start, [model.SetTimer(0, 250_000)]), *ticks(10, 20)]
    put(tmp_path / "a", 1_000, *rows)
    put(tmp_path / "b", 1_005, *rows, director=1)
    places = [tmp_path / "a", tmp_path / "b"]
    found = replay_together(places, lambda: module(next(names))())
    assert turns == [("a", 0), ("b", 0), ("a", 10), ("b", 10), ("a", 20), ("b", 20)]
    assert [(one.incarnation.director, one.steps, one.differing) for one in found] == [(0, 3, 0), (1, 3, 0)]
    # At 12 us after the first step the one is at its second step, the other at its first.
    assert [one.last_step.now for one in replay_until(places, 12e-6)] == [10, 0]
    assert [one.last_step.now for one in replay_until(places, 2e-6)] == [0]
    assert [one.last_step.now for one in replay_until(places, None)] == [20, 20]


def test_a_wall_clock_set_back_between_lives_does_not_stir_a_record(tmp_path):
    put(tmp_path / "a", 5_000, *ticks(0, 10))
    put(tmp_path / "a", 1_000, *ticks(0, 10))
    put(tmp_path / "b", 5_005, *ticks(0, 100), director=1)
    found = list(merge_by_wall_clock([tmp_path / "a", tmp_path / "b"]))
    assert [one.position for one in found if one.record == 0] == [1, 2, 3, 4]
    assert [one.wall_us for one in read_moments(tmp_path / "a")] == [5_000, 5_010, 1_000, 1_010]
    # The second life began after the first one, whatever its clock says.
    assert [(one.record, one.position) for one in found] == [(0, 1), (1, 1), (0, 2), (0, 3), (0, 4), (1, 2)]


def met(span_us):
    return model.ServerLoadReport(("10.0.0.1", 1), 0, 3, 0, 5, span_us, ())


def test_reports_heard_out_of_order_are_told_with_both_places():
    steps = [
        Step(10_000_000, [met(1_000_000)], []),
        Step(11_000_000, [met(8_000_000)], []),
        Step(12_000_000, [met(1_000_000), met(1_000_000)], []),
    ]
    found = [(placed, heard, late.began_us) for placed, heard, late in reports_by_time(iter(steps))]
    assert found == [(1, 2, 3_000_000), (2, 1, 9_000_000), (3, 3, 11_000_000), (4, 4, 11_000_000)]


def test_a_record_of_another_interface_is_read_by_names():
    """A field that moved is found, one that is not known any more is no harm, one that is missing is told."""
    moved = [list(row) for row in TYPE_ROWS]
    place = next(at for at, row in enumerate(moved) if row[0] == "Withdraw")
    moved[place] = ["Withdraw", "why", "on", "server"]
    reader = StepReader(moved)
    assert reader.read_value([place, "x", True, ["h", 1]]) == model.SetWithdrawn(("h", 1), True)
    moved[place] = ["Withdraw", "server"]
    with pytest.raises(StepError, match="Withdraw"):
        StepReader(moved).read_value([place, ["h", 1]])
    listed = next(at for at, row in enumerate(moved) if row[0] == "Listed")
    moved[listed] = ["Listed", "version", "servers", "kind"]
    moved[-1] = ["Server", "address", "state", "weight", "zone", "started_us", "machine", "cell"]
    found = StepReader(moved).read_value([listed, 4, [[["h", 1], 1, 2.0, 0, 0, 0, 0]], 1])
    assert found == model.EndpointUpdate(1, (model.Endpoint(2.0, 0, 0, 0, 0, ("h", 1), 1),), 4)


def test_a_segment_missing_in_the_middle_is_a_hole_and_the_next_life_is_played(tmp_path):
    log = Log(tmp_path, segment_most=600, sync=False)
    log.append(1, RecordKind.INCARNATION, write_incarnation(INCARNATION))
    for number in range(40):
        step = Step(number, [model.Started(7, {})] if not number else [model.TimerFired(0)], [])
        log.append(number, RecordKind.STEP, write_step(step))
        log.flush()
    log.close()
    lived(tmp_path)
    parts = sorted(tmp_path.glob("*.seg"))
    assert len(parts) > 4
    parts[2].unlink()
    found = replay_all(tmp_path)
    assert len(found) == 2 and "gap" in found[0].missing.reason and found[0].steps < 40
    assert found[1].missing is None and found[1].differing == 0
    verify = CliRunner().invoke(main, ["record", "verify", str(tmp_path)])
    assert verify.exit_code == 1 and "gap: first=3 last=3" in verify.output


def test_a_disk_full_in_mid_block_loses_that_block_and_says_so(tmp_path):
    """The core goes on, what is lost is counted, and the replay of that life ends at the hole."""
    recorder = Recorder(tmp_path, INCARNATION, 1 << 20, 0, 0, False)
    recorder.step(1, [model.TimerFired(1)], [])
    until(lambda: recorder.store.written >= 1)
    whole = recorder.store.write

    def half(data):
        recorder.store.file.write(data[: len(data) // 2])
        raise OSError(errno.ENOSPC, "No space left on device")

    recorder.store.write = half
    for now in range(2, 12):
        recorder.step(now, [model.TimerFired(now)], [])
    until(lambda: recorder.lost >= 10)
    recorder.store.write = whole
    recorder.step(50, [model.TimerFired(50)], [])
    recorder.close()
    ((_, steps),) = read_incarnations(read(tmp_path))
    found = list(steps)
    assert [one.now for one in found if isinstance(one, Step)] == [1, 50]
    assert [one for one in found if isinstance(one, MissingSteps)] == [
        MissingSteps("10 steps were not recorded")
    ]
    assert all(isinstance(one, Record) for one in read(tmp_path))
