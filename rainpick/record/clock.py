"""Steps of several records merged by wall clock, and load reports ordered by the interval they cover."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from rainpick.decisions.director import Director
from rainpick.record.incarnations import MissingSteps, read_incarnations
from rainpick.record.replay import Replay, ReplayResult
from rainpick.record.steps import Incarnation, Step
from rainpick.store import read


class TimedStep(NamedTuple):
    """A recorded step with its wall clock time and its position in the records."""

    wall_us: int  # microseconds since 1970
    record: int  # index of the record in the list of record folders
    position: int  # number of the step in its record, from 1, in writing order
    number: int  # number of the incarnation in its record, from 0
    incarnation: Incarnation
    step: Step | MissingSteps


def read_timed_steps(folder: Path, record: int = 0) -> Iterator[TimedStep]:
    """Yield the steps of a record in writing order; ``record`` is its index in the list of record folders.

    ``MissingSteps`` are yielded with the time of the step before them, or 0 at the start of the record.
    """
    position, wall_us = 0, 0
    for number, (incarnation, steps) in enumerate(read_incarnations(read(folder))):
        for step in steps:
            position += 1
            if isinstance(step, Step):
                wall_us = step.now - incarnation.now + incarnation.wall_us
            yield TimedStep(wall_us, record, position, number, incarnation, step)


def merge_by_wall_clock(folders: list[Path]) -> Iterator[TimedStep]:
    """Merge the steps of all records by wall clock time. Each record keeps its own order.

    Of the next steps of all records, the earliest is always yielded first. If the wall clock was set back
    before a step, that step is therefore yielded at once, and the order of the other records does not change.
    """
    streams = [read_timed_steps(folder, index) for index, folder in enumerate(folders)]
    return heapq.merge(*streams, key=lambda timed_step: timed_step.wall_us)


def replay_together(
    folders: list[Path],
    director_factory: Callable[[], Director] = Director,
    setting_overrides: dict[str, Any] | None = None,
    replacement_settings: dict[str, Any] | None = None,
    compare: bool = False,
) -> list[ReplayResult]:
    """Replay all incarnations of all records in wall clock order; for the other parameters see ``Replay``.

    The results are ordered by record, then by incarnation.
    """
    replays: dict[tuple[int, int], Replay] = {}
    for timed_step in merge_by_wall_clock(folders):
        key = timed_step.record, timed_step.number
        if key not in replays:
            replays[key] = Replay(
                timed_step.incarnation, director_factory, setting_overrides, replacement_settings, compare
            )
        replays[key].apply(timed_step.step)
    return [replays[key].result() for key in sorted(replays)]


def replay_until(
    folders: list[Path], until_s: float | None, director_factory: Callable[[], Director] = Director
) -> list[Replay]:
    """Replay up to a point in time and return the replay of each record's incarnation that was running then.

    Records that begin later are omitted. ``until_s``: seconds since the earliest step of all records; None
    replays to the end.
    """
    begin_us: int | None = None
    running_numbers: dict[int, int] = {}  # number of the running incarnation, by record
    replays: dict[int, Replay] = {}  # replay of the running incarnation, by record
    for timed_step in merge_by_wall_clock(folders):
        if begin_us is None:
            begin_us = timed_step.wall_us
        if until_s is not None and timed_step.wall_us > begin_us + until_s * 1e6:
            break
        if running_numbers.get(timed_step.record) != timed_step.number:
            running_numbers[timed_step.record] = timed_step.number
            replays[timed_step.record] = Replay(timed_step.incarnation, director_factory)
        replays[timed_step.record].apply(timed_step.step)
    return [replays[record] for record in sorted(replays)]


class TimedReport(NamedTuple):
    """A load report, its time of receipt, and the latest possible begin of the interval that it covers.

    Times are microseconds of the director's clock.
    """

    received_us: int
    began_us: int  # ``received_us`` minus the length of the interval, as if it had ended on receipt
    event: Any


class OrderedReport(NamedTuple):
    """A load report with its positions in two orders, both counted from 1."""

    position: int  # position by the begin of the interval
    received_position: int  # position by the time of receipt
    report: TimedReport


def reports_by_time(
    steps: Iterator[Step | MissingSteps], reorder_window_us: int = 60_000_000
) -> Iterator[OrderedReport]:
    """Yield load reports ordered by the begin of the interval that each of them covers.

    Reports may be received in another order, since their intervals differ in length. A report is held back
    until a step more than ``reorder_window_us`` after the begin of its interval. A report that is received
    even later may follow reports whose intervals began after its own.
    """
    heap: list[tuple[int, int, TimedReport]] = []  # begin of the interval, receipt number, report
    received = position = 0
    for step in steps:
        if isinstance(step, MissingSteps):
            continue
        for event in step.events:
            interval_us = getattr(event, "interval_us", None)
            if interval_us is None:
                continue
            received += 1
            report = TimedReport(step.now, step.now - interval_us, event)
            heapq.heappush(heap, (report.began_us, received, report))
        while heap and heap[0][0] < step.now - reorder_window_us:
            position += 1
            yield OrderedReport(position, *heapq.heappop(heap)[1:])
    while heap:
        position += 1
        yield OrderedReport(position, *heapq.heappop(heap)[1:])
