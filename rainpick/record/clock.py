"""Steps of records by the wall's time: several directors' on one clock, each with its place in its record."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from rainpick.decisions.director import Director
from rainpick.record.replay import Hole, Played, Playing, lives
from rainpick.record.steps import Life, Step
from rainpick.store import read


class Moment(NamedTuple):
    """A step of one of the records. ``place``: the how many-th of its record it was written as."""

    wall_us: int
    record: int
    place: int
    number: int  # of the life in its record
    life: Life
    step: Step | Hole


def written(folder: Path, record: int = 0) -> Iterator[Moment]:
    """In the order of writing. A hole has the time of what was written before it."""
    place, wall_us = 0, 0
    for number, (life, steps) in enumerate(lives(read(folder))):
        for step in steps:
            place += 1
            if isinstance(step, Step):
                wall_us = step.now - life.now + life.wall_us
            yield Moment(wall_us, record, place, number, life, step)


def together(folders: list[Path]) -> Iterator[Moment]:
    """All records on one clock. Each keeps its own order, even where the wall's clock was set back.

    A merge takes the least of the next moments: one that goes back comes at once, and stirs no other.
    """
    streams = [written(folder, number) for number, folder in enumerate(folders)]
    return heapq.merge(*streams, key=lambda moment: moment.wall_us)


def play_together(folders: list[Path], *how: Any, **words: Any) -> list[Played]:
    """All lives of all records, played side by side on one clock; the rest as for ``Playing``."""
    under_way: dict[tuple[int, int], Playing] = {}
    for moment in together(folders):
        key = moment.record, moment.number
        if key not in under_way:
            under_way[key] = Playing(moment.life, *how, **words)
        under_way[key].take(moment.step)
    return [under_way[key].played() for key in sorted(under_way)]


def reach_together(
    folders: list[Path], second: float | None, module: Callable[[], Director] = Director
) -> list[Playing]:
    """The lives that were under way at one moment of the wall's clock, one for each record that had begun.

    ``second`` counts from the first step of all; None is the end.
    """
    begin, found = None, {}
    for moment in together(folders):
        begin = moment.wall_us if begin is None else begin
        if second is not None and moment.wall_us > begin + second * 1e6:
            break
        if moment.record not in found or found[moment.record][0] != moment.number:
            found[moment.record] = moment.number, Playing(moment.life, module)
        found[moment.record][1].take(moment.step)
    return [found[record][1] for record in sorted(found)]


class Late(NamedTuple):
    """An event of a report and the time that it tells of: the span before it was heard, at the latest."""

    heard_us: int
    began_us: int
    event: Any


def reports_by_time(
    steps: Iterator[Step | Hole], window_us: int = 60_000_000
) -> Iterator[tuple[int, int, Late]]:
    """Reports by when what they tell of began: (their place by that, their place as heard, report).

    A report tells of a span that ended before it came, so what is heard later may be of earlier. Reports that
    come more than ``window_us`` after what they tell of keep the place at which the window let them go.
    """
    heap: list[tuple[int, int, Late]] = []
    heard, placed = 0, 0
    for step in steps:
        if isinstance(step, Hole):
            continue
        for event in step.events:
            span_us = getattr(event, "interval_us", None)
            if span_us is None:
                continue
            heard += 1
            heapq.heappush(heap, (step.now - span_us, heard, Late(step.now, step.now - span_us, event)))
        while heap and heap[0][0] < step.now - window_us:
            _, place, late = heapq.heappop(heap)
            placed += 1
            yield placed, place, late
    while heap:
        _, place, late = heapq.heappop(heap)
        placed += 1
        yield placed, place, late
