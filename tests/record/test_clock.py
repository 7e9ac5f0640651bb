"""Merging of several records by wall clock, and ordering of load reports by the interval they cover."""

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.record.clock import (
    merge_by_wall_clock,
    read_timed_steps,
    replay_together,
    replay_until,
    reports_by_time,
)
from rainpick.record.steps import Incarnation, RecordKind, Step, encode_incarnation, encode_step
from rainpick.store import Log


def write_record(folder, wall_us, *steps, director=0):
    log = Log(folder, sync=False)
    log.append(
        wall_us, RecordKind.INCARNATION, encode_incarnation(Incarnation(director, "e", "m", wall_us, 0, {}))
    )
    for step in steps:
        log.append(wall_us + step.now, RecordKind.STEP, encode_step(step))
    log.close()


def ticks(*times):
    return [Step(now, [model.TimerFired(0)], []) for now in times]


def test_two_records_are_merged_by_wall_clock_and_each_keeps_its_order(tmp_path):
    write_record(tmp_path / "a", 1_000, *ticks(0, 10, 20))
    write_record(tmp_path / "b", 1_005, *ticks(0, 10, 20), director=1)
    merged = [
        (timed_step.wall_us, timed_step.incarnation.director)
        for timed_step in merge_by_wall_clock([tmp_path / "a", tmp_path / "b"])
    ]
    assert merged == [(1_000, 0), (1_005, 1), (1_010, 0), (1_015, 1), (1_020, 0), (1_025, 1)]


def test_two_directors_are_replayed_in_wall_clock_order_and_up_to_a_point_in_time(tmp_path):
    """Guards against a replay that runs one record after the other in place of wall clock order."""
    calls = []

    def traced_director(name):
        class TracedDirector(Director):
            def step(self, now, events):
                calls.append((name, now))
                return super().step(now, events)

        return TracedDirector

    names = iter("ab")
    start = [model.Started(7, {}), model.EndpointUpdate(model.UpdateKind.CACHED, (), 1)]
    rows = [Step(0, start, [model.SetTimer(0, 250_000)]), *ticks(10, 20)]
    write_record(tmp_path / "a", 1_000, *rows)
    write_record(tmp_path / "b", 1_005, *rows, director=1)
    folders = [tmp_path / "a", tmp_path / "b"]
    results = replay_together(folders, lambda: traced_director(next(names))())
    assert calls == [("a", 0), ("b", 0), ("a", 10), ("b", 10), ("a", 20), ("b", 20)]
    found = [(result.incarnation.director, result.steps, result.differing) for result in results]
    assert found == [(0, 3, 0), (1, 3, 0)]
    # 12 us after the earliest step of both records, director 0 has run two steps and director 1 one.
    assert [replay.last_step.now for replay in replay_until(folders, 12e-6)] == [10, 0]
    assert [replay.last_step.now for replay in replay_until(folders, 2e-6)] == [0]
    assert [replay.last_step.now for replay in replay_until(folders, None)] == [20, 20]


def test_a_wall_clock_set_back_between_incarnations_does_not_reorder_a_record(tmp_path):
    write_record(tmp_path / "a", 5_000, *ticks(0, 10))
    write_record(tmp_path / "a", 1_000, *ticks(0, 10))
    write_record(tmp_path / "b", 5_005, *ticks(0, 100), director=1)
    merged = list(merge_by_wall_clock([tmp_path / "a", tmp_path / "b"]))
    assert [timed_step.position for timed_step in merged if timed_step.record == 0] == [1, 2, 3, 4]
    assert [timed_step.wall_us for timed_step in read_timed_steps(tmp_path / "a")] == [
        5_000,
        5_010,
        1_000,
        1_010,
    ]
    # The second incarnation follows the first one in spite of its earlier wall clock times.
    assert [(timed_step.record, timed_step.position) for timed_step in merged] == [
        (0, 1),
        (1, 1),
        (0, 2),
        (0, 3),
        (0, 4),
        (1, 2),
    ]


def load_report(interval_us):
    return model.ServerLoadReport(("10.0.0.1", 1), 0, 3, 0, 5, interval_us, ())


def test_reports_received_out_of_order_have_both_positions():
    steps = [
        Step(10_000_000, [load_report(1_000_000)], []),
        Step(11_000_000, [load_report(8_000_000)], []),
        Step(12_000_000, [load_report(1_000_000), load_report(1_000_000)], []),
    ]
    found = [
        (position, received_position, report.began_us)
        for position, received_position, report in reports_by_time(iter(steps))
    ]
    assert found == [(1, 2, 3_000_000), (2, 1, 9_000_000), (3, 3, 11_000_000), (4, 4, 11_000_000)]
