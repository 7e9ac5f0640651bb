"""Records of several directors on one wall clock, and load reports by the time that they cover."""

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


class Moment(NamedTuple):
    """A step of one of several records."""

    wall_us: int  # microseconds since 1970
    record: int  # index of the record
    position: int  # of the step in its record, from 1, in the order of writing
    number: int  # of the incarnation in its record, from 0
    incarnation: Incarnation
    step: Step | MissingSteps


def read_moments(folder: Path, record: int = 0) -> Iterator[Moment]:
    """A record's steps in the order of writing. Missing steps have the time of the step before them."""
    position, wall_us = 0, 0
    for number, (incarnation, steps) in enumerate(read_incarnations(read(folder))):
        for step in steps:
            position += 1
            if isinstance(step, Step):
                wall_us = step.now - incarnation.now + incarnation.wall_us
            yield Moment(wall_us, record, position, number, incarnation, step)


def merge_by_wall_clock(folders: list[Path]) -> Iterator[Moment]:
    """All records on one clock. Each keeps its own order, even where the wall clock was set back.

    A merge takes the least of the next moments: one whose clock was set back comes at once, and does not
    change the order of the others.
    """
    streams = [read_moments(folder, index) for index, folder in enumerate(folders)]
    return heapq.merge(*streams, key=lambda moment: moment.wall_us)


def replay_together(
    folders: list[Path],
    make_director: Callable[[], Director] = Director,
    changes: dict[str, Any] | None = None,
    replace: dict[str, Any] | None = None,
    compare: bool = False,
) -> list[ReplayResult]:
    """Replay all incarnations of all records side by side; the other parameters are those of ``Replay``."""
    replays: dict[tuple[int, int], Replay] = {}
    for moment in merge_by_wall_clock(folders):
        key = moment.record, moment.number
        if key not in replays:
            replays[key] = Replay(moment.incarnation, make_director, changes, replace, compare)
        replays[key].apply(moment.step)
    return [replays[key].result() for key in sorted(replays)]


def replay_until(
    folders: list[Path], second: float | None, make_director: Callable[[], Director] = Director
) -> list[Replay]:
    """The incarnations that ran at one moment of the wall clock, one for each record that had begun.

    ``second`` counts from the first step of all records; None is the end.
    """
    begin_us: int | None = None
    numbers: dict[int, int] = {}  # of the incarnation that runs, by record
    replays: dict[int, Replay] = {}  # by record
    for moment in merge_by_wall_clock(folders):
        if begin_us is None:
            begin_us = moment.wall_us
        if second is not None and moment.wall_us > begin_us + second * 1e6:
            break
        if numbers.get(moment.record) != moment.number:
            numbers[moment.record] = moment.number
            replays[moment.record] = Replay(moment.incarnation, make_director)
        replays[moment.record].apply(moment.step)
    return [replays[record] for record in sorted(replays)]


class TimedReport(NamedTuple):
    """A load report and the time that it covers: it began this long ago at the latest when it came."""

    received_us: int
    began_us: int
    event: Any


class OrderedReport(NamedTuple):
    """A load report with its position by the time that it covers and by the time when it came, from 1."""

    position: int
    received_position: int
    report: TimedReport


def reports_by_time(
    steps: Iterator[Step | MissingSteps], window_us: int = 60_000_000
) -> Iterator[OrderedReport]:
    """Load reports in the order in which the intervals that they cover began.

    An interval ends before its report comes, so a report that comes later may cover an earlier one. A report
    that comes more than ``window_us`` after its interval began is placed after those that were given out.
    """
    heap: list[tuple[int, int, TimedReport]] = []  # by begin, then by the order of receipt
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
        while heap and heap[0][0] < step.now - window_us:
            position += 1
            yield OrderedReport(position, *heapq.heappop(heap)[1:])
    while heap:
        position += 1
        yield OrderedReport(position, *heapq.heappop(heap)[1:])
