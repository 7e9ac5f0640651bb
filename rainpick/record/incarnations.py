"""Reading of the incarnations (runs of the director) in a record, with their steps and any missing steps."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from rainpick.record.steps import Incarnation, RecordKind, Step, StepDecoder, StepError, decode_incarnation
from rainpick.store import Damage, Gap, Record, Torn

StoreEntry = Record | Damage | Torn | Gap


class MissingSteps(NamedTuple):
    """Marks a position at which steps are missing. A replay can't reproduce the director's state after it."""

    reason: str


class _Cursor:
    """Position in a record. ``steps`` sets ``next_incarnation`` when it reaches the next incarnation."""

    def __init__(self, entries: Iterable[StoreEntry]):
        self.entries = iter(entries)
        self.next_incarnation: Record | None = None

    def steps(self, decoder: StepDecoder) -> Iterator[Step | MissingSteps]:
        """Yield the steps up to the next incarnation or the end of the record."""
        for entry in self.entries:
            if isinstance(entry, Torn):
                continue  # a crash truncated this block, so no flush ever reported its steps as written
            if not isinstance(entry, Record):
                yield MissingSteps(f"{type(entry).__name__.lower()}: {tuple(entry)}")
            elif entry.kind == RecordKind.INCARNATION:
                self.next_incarnation = entry
                return
            elif entry.kind == RecordKind.LOST:
                yield MissingSteps(f"{entry.payload.decode()} steps were not recorded")
            elif entry.kind == RecordKind.STEP:
                try:
                    yield decoder.decode_step(entry.payload)
                except StepError as error:
                    yield MissingSteps(str(error))


def read_incarnations(
    entries: Iterable[StoreEntry],
) -> Iterator[tuple[Incarnation, Iterator[Step | MissingSteps]]]:
    """Yield the incarnations in a record with their steps.

    The steps of an incarnation must be exhausted before the next incarnation is requested.
    """
    cursor = _Cursor(entries)
    # Skip leading steps whose ``INCARNATION`` record, needed to decode them, was deleted with an old segment.
    deque(cursor.steps(StepDecoder()), maxlen=0)
    while cursor.next_incarnation is not None:
        incarnation = decode_incarnation(cursor.next_incarnation.payload)
        cursor.next_incarnation = None
        yield incarnation, cursor.steps(StepDecoder(incarnation.types))


def select_incarnation(
    open_record: Callable[[], Iterable[StoreEntry]], number: int
) -> tuple[Incarnation, Iterator[Step | MissingSteps]]:
    """Return an incarnation of a record by its number; negative numbers count from the end.

    The record is opened twice, first to count the incarnations. ``LookupError`` if the number does not exist.
    """
    count = 0
    for _, steps in read_incarnations(open_record()):
        count += 1
        deque(steps, maxlen=0)
    if not -count <= number < count:
        raise LookupError(
            f"incarnations in the record: {count} (numbered from 0); there is no number {number}"
        )
    for index, (incarnation, steps) in enumerate(read_incarnations(open_record())):
        if index == number % count:
            return incarnation, steps
        deque(steps, maxlen=0)
    raise LookupError("incarnations were deleted from the record while it was being read")
