"""The incarnations in a record, each with its steps and with the places where steps are missing."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from rainpick.record.steps import Incarnation, RecordKind, Step, StepError, StepReader, read_incarnation
from rainpick.store import Damage, Gap, Record, Torn

StoreEntry = Record | Damage | Torn | Gap


class MissingSteps(NamedTuple):
    """Steps are missing here: the decisions can't be brought to the state in which they were."""

    reason: str


class _Cursor:
    """A position in a record: the entries that are left, and the incarnation that begins next."""

    def __init__(self, entries: Iterable[StoreEntry]):
        self.entries = iter(entries)
        self.next: Record | None = None

    def steps(self, reader: StepReader) -> Iterator[Step | MissingSteps]:
        """Steps up to the next incarnation or the end of the record."""
        for entry in self.entries:
            if isinstance(entry, Torn):
                continue  # what a crash cut off was never known to be written
            if not isinstance(entry, Record):
                yield MissingSteps(f"{type(entry).__name__.lower()}: {tuple(entry)}")
            elif entry.kind == RecordKind.INCARNATION:
                self.next = entry
                return
            elif entry.kind == RecordKind.LOST:
                yield MissingSteps(f"{entry.payload.decode()} steps were not recorded")
            elif entry.kind == RecordKind.STEP:
                try:
                    yield reader.read_step(entry.payload)
                except StepError as error:
                    yield MissingSteps(str(error))


def read_incarnations(
    entries: Iterable[StoreEntry],
) -> Iterator[tuple[Incarnation, Iterator[Step | MissingSteps]]]:
    """The incarnations in a record, each with its steps; read one to its end before the next."""
    cursor = _Cursor(entries)
    # Steps of an incarnation whose beginning is no longer kept.
    deque(cursor.steps(StepReader()), maxlen=0)
    while cursor.next is not None:
        incarnation = read_incarnation(cursor.next.payload)
        cursor.next = None
        yield incarnation, cursor.steps(StepReader(incarnation.types))


def select_incarnation(
    open_record: Callable[[], Iterable[StoreEntry]], number: int
) -> tuple[Incarnation, Iterator[Step | MissingSteps]]:
    """An incarnation of a record by its number, from the end if it is negative.

    The record is opened twice: to count, and to read. ``LookupError`` if there is no such number.
    """
    count = 0
    for _, steps in read_incarnations(open_record()):
        count += 1
        deque(steps, maxlen=0)
    if not -count <= number < count:
        raise LookupError(f"there are {count} lives, none has number {number}")
    for index, (incarnation, steps) in enumerate(read_incarnations(open_record())):
        if index == number % count:
            return incarnation, steps
        deque(steps, maxlen=0)
    raise LookupError("the record was cut meanwhile")
