"""Steps of records by the wall's time: several directors' on one clock, each with its place in its record."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from rainpick.record.replay import Hole, lives
from rainpick.record.steps import Life, Step
from rainpick.store import read


class Moment(NamedTuple):
    """A step of one of the records. ``place``: the how many-th of its record it was written as."""

    wall_us: int
    record: int
    place: int
    life: Life
    step: Step | Hole


def written(folder: Path, record: int = 0) -> Iterator[Moment]:
    """In the order of writing. A hole has the time of what was written before it."""
    place, wall_us = 0, 0
    for life, steps in lives(read(folder)):
        for step in steps:
            place += 1
            if isinstance(step, Step):
                wall_us = step.now - life.now + life.wall_us
            yield Moment(wall_us, record, place, life, step)


def together(folders: list[Path]) -> Iterator[Moment]:
    """All records on one clock. Each keeps its own order, even where the wall's clock was set back."""
    def monotone(moments: Iterator[Moment]) -> Iterator[tuple[int, Moment]]:
        latest = 0
        for moment in moments:
            latest = max(latest, moment.wall_us)
            yield latest, moment

    streams = [monotone(written(folder, number)) for number, folder in enumerate(folders)]
    for _, moment in heapq.merge(*streams, key=lambda row: row[0]):
        yield moment


class Late(NamedTuple):
    """An event of a report and the time that it tells of: the span before it was heard, at the latest."""

    heard_us: int
    began_us: int
    event: Any


def reports_by_time(steps: Iterator[Step | Hole],
                    window_us: int = 60_000_000) -> Iterator[tuple[int, int, Late]]:
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
            span_us = getattr(event, "span_us", None)
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
