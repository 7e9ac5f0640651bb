"""Several records on one wall clock, and reports by the time that they cover."""

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.record.clock import (
    merge_by_wall_clock,
    read_moments,
    replay_together,
    replay_until,
    reports_by_time,
)
from rainpick.record.steps import Incarnation, RecordKind, Step, write_incarnation, write_step
from rainpick.store import Log


def write_record(folder, wall_us, *steps, director=0):
    log = Log(folder, sync=False)
    log.append(
        wall_us, RecordKind.INCARNATION, write_incarnation(Incarnation(director, "e", "m", wall_us, 0, {}))
    )
    for step in steps:
        log.append(wall_us + step.now, RecordKind.STEP, write_step(step))
    log.close()


def ticks(*times):
    return [Step(now, [model.TimerFired(0)], []) for now in times]


def test_two_records_on_one_clock_each_in_its_own_order(tmp_path):
    write_record(tmp_path / "a", 1_000, *ticks(0, 10, 20))
    write_record(tmp_path / "b", 1_005, *ticks(0, 10, 20), director=1)
    found = [
        (moment.wall_us, moment.incarnation.director)
        for moment in merge_by_wall_clock([tmp_path / "a", tmp_path / "b"])
    ]
    assert found == [(1_000, 0), (1_005, 1), (1_010, 0), (1_015, 1), (1_020, 0), (1_025, 1)]


def test_two_directors_are_replayed_side_by_side_and_up_to_one_moment(tmp_path):
    """Each step at its moment: the order in which the two modules step is that of the wall's clock."""
    turns = []

    def module(name):
        class TracedDirector(Director):
            def step(self, now, events):
                turns.append((name, now))
                return super().step(now, events)

        return TracedDirector

    names = iter("ab")
    start = [model.Started(7, {}), model.EndpointUpdate(model.UpdateKind.CACHED, (), 1)]
    rows = [Step(0, start, [model.SetTimer(0, 250_000)]), *ticks(10, 20)]
    write_record(tmp_path / "a", 1_000, *rows)
    write_record(tmp_path / "b", 1_005, *rows, director=1)
    folders = [tmp_path / "a", tmp_path / "b"]
    results = replay_together(folders, lambda: module(next(names))())
    assert turns == [("a", 0), ("b", 0), ("a", 10), ("b", 10), ("a", 20), ("b", 20)]
    found = [(result.incarnation.director, result.steps, result.differing) for result in results]
    assert found == [(0, 3, 0), (1, 3, 0)]
    # At 12 us after the first step the one is at its second step, the other at its first.
    assert [replay.last_step.now for replay in replay_until(folders, 12e-6)] == [10, 0]
    assert [replay.last_step.now for replay in replay_until(folders, 2e-6)] == [0]
    assert [replay.last_step.now for replay in replay_until(folders, None)] == [20, 20]


def test_a_wall_clock_set_back_between_incarnations_does_not_reorder_a_record(tmp_path):
    write_record(tmp_path / "a", 5_000, *ticks(0, 10))
    write_record(tmp_path / "a", 1_000, *ticks(0, 10))
    write_record(tmp_path / "b", 5_005, *ticks(0, 100), director=1)
    found = list(merge_by_wall_clock([tmp_path / "a", tmp_path / "b"]))
    assert [moment.position for moment in found if moment.record == 0] == [1, 2, 3, 4]
    assert [moment.wall_us for moment in read_moments(tmp_path / "a")] == [5_000, 5_010, 1_000, 1_010]
    # The second incarnation began after the first one, whatever its clock says.
    assert [(moment.record, moment.position) for moment in found] == [
        (0, 1),
        (1, 1),
        (0, 2),
        (0, 3),
        (0, 4),
        (1, 2),
    ]


def load_report(span_us):
    return model.ServerLoadReport(("10.0.0.1", 1), 0, 3, 0, 5, span_us, ())


def test_reports_that_come_out_of_order_have_both_positions():
    steps = [
        Step(10_000_000, [load_report(1_000_000)], []),
        Step(11_000_000, [load_report(8_000_000)], []),
        Step(12_000_000, [load_report(1_000_000), load_report(1_000_000)], []),
    ]
    found = [(placed, heard, late.began_us) for placed, heard, late in reports_by_time(iter(steps))]
    assert found == [(1, 2, 3_000_000), (2, 1, 9_000_000), (3, 3, 11_000_000), (4, 4, 11_000_000)]
