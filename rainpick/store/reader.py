"""Reading a store: its segments, their blocks and records, and the places where those are missing."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from rainpick.store.blocks import (
    BLOCK_HEADER,
    BLOCK_MAGIC,
    SEGMENT_HEADER,
    Row,
    check_segment_header,
    read_block,
    read_block_header,
)
from rainpick.store.errors import BlockError

FILE_NAME = "%010d.seg"


class Record(NamedTuple):
    """A record as it was appended. Kind and payload mean nothing to the store."""

    time_us: int
    kind: int
    payload: bytes


# The names of these three types and of their fields are printed, and stand in exports: they stay.


class Torn(NamedTuple):
    """A segment ends in an incomplete block, as after a crash: these bytes are no records."""

    segment: int
    at: int  # offset in the segment
    size: int  # bytes


class Damage(NamedTuple):
    """Bytes within a segment that are not what was written; the records in them are left out."""

    segment: int
    at: int  # offset in the segment
    size: int  # bytes
    why: str


class Gap(NamedTuple):
    """Segments are missing: the first and the last of them."""

    first: int
    last: int


class Block(NamedTuple):
    """A block that is complete and undamaged."""

    at: int  # offset in the segment
    rows: list[Row]


class TimeRange(NamedTuple):
    """A range of times in microseconds, both ends included. ``until_us`` None: no end."""

    from_us: int = 0
    until_us: int | None = None

    def holds(self, time_us: int) -> bool:
        """Whether a time is in the range."""
        return time_us >= self.from_us and (self.until_us is None or time_us <= self.until_us)

    def excludes(self, first_us: int, last_us: int) -> bool:
        """Whether no time from ``first_us`` to ``last_us`` is in the range."""
        return last_us < self.from_us or (self.until_us is not None and first_us > self.until_us)


ALL_TIMES = TimeRange()


def segment_numbers(folder: Path) -> list[int]:
    """The numbers of the segments that are there, in order."""
    return sorted(int(path.stem) for path in folder.glob("*.seg") if path.stem.isdecimal())


def segment_path(folder: Path, number: int) -> Path:
    """The file of a segment."""
    return folder / (FILE_NAME % number)


def read_segment(
    folder: Path, number: int, time_range: TimeRange = ALL_TIMES
) -> Iterator[Block | Damage | Torn]:
    """A segment block by block; damage where it is; a torn end if no complete block comes after it.

    Headers are the index by time: a block that is wholly out of the range is passed over, unchecked.
    ``StoreError`` if the segment has another format.
    """
    data = segment_path(folder, number).read_bytes()
    try:
        check_segment_header(data, number)
        at = SEGMENT_HEADER.size
    except BlockError as error:
        at = data.find(BLOCK_MAGIC)
        if at < 0:
            yield Torn(number, 0, len(data))
            return
        yield Damage(number, 0, at, str(error))
    while at < len(data):
        try:
            header = read_block_header(data[at : at + BLOCK_HEADER.size])
            end = at + BLOCK_HEADER.size + header.stored
            if end <= len(data) and time_range.excludes(header.first_us, header.last_us):
                at = end
                continue
            rows = read_block(header, data[at + BLOCK_HEADER.size : end])
        except BlockError as error:
            next_at = find_block(data, at + 1)
            if next_at is None:
                yield Torn(number, at, len(data) - at)
                return
            yield Damage(number, at, next_at - at, str(error))
            at = next_at
            continue
        yield Block(at, rows)
        at = end


def find_block(data: bytes, at: int) -> int | None:
    """The offset of the first complete and undamaged block from ``at`` on."""
    while (at := data.find(BLOCK_MAGIC, at)) >= 0:
        try:
            header = read_block_header(data[at : at + BLOCK_HEADER.size])
            start = at + BLOCK_HEADER.size
            read_block(header, data[start : start + header.stored])
            return at
        except BlockError:
            at += 1
    return None


def read(
    folder: Path, from_us: int = 0, until_us: int | None = None
) -> Iterator[Record | Damage | Torn | Gap]:
    """The records of a store in the order in which they were appended, by default all.

    What is missing or damaged is told in its place. ``StoreError`` if a segment has another format.
    """
    time_range = TimeRange(from_us, until_us)
    previous = None
    for number in segment_numbers(folder):
        if previous is not None and number != previous + 1:
            yield Gap(previous + 1, number - 1)
        previous = number
        for entry in read_segment(folder, number, time_range):
            if not isinstance(entry, Block):
                yield entry
                continue
            rows = entry.rows
            if time_range != ALL_TIMES:
                rows = [row for row in rows if time_range.holds(row[0])]
            yield from map(Record._make, rows)
