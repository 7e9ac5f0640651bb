"""Reader of a store: its segments, blocks and records, and the positions of damage and gaps."""

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
    decode_block,
    decode_block_header,
)
from rainpick.store.errors import BlockError

FILE_NAME_FORMAT = "%010d.seg"


class Record(NamedTuple):
    """A record as it was appended. The store does not interpret kind and payload."""

    time_us: int
    kind: int
    payload: bytes


# Don't rename these three types and their fields: the names are part of printed output and exports.


class Torn(NamedTuple):
    """An incomplete block at the end of a segment, for example after a crash. It contains no records."""

    segment: int  # number of the segment
    at: int  # offset in the segment
    size: int  # bytes


class Damage(NamedTuple):
    """Damaged bytes within a segment. The records in them are skipped."""

    segment: int  # number of the segment
    at: int  # offset in the segment
    size: int  # bytes
    why: str


class Gap(NamedTuple):
    """A range of missing segments, from number ``first`` to number ``last``, both included."""

    first: int
    last: int


class Block(NamedTuple):
    """A complete and undamaged block with its records."""

    at: int  # offset in the segment
    rows: list[Row]


class TimeRange(NamedTuple):
    """A time range in microseconds, both ends included; None as ``until_us`` means no end."""

    from_us: int = 0
    until_us: int | None = None

    def contains(self, time_us: int) -> bool:
        """Whether a time is in the range."""
        return time_us >= self.from_us and (self.until_us is None or time_us <= self.until_us)

    def excludes(self, first_us: int, last_us: int) -> bool:
        """Whether no time from ``first_us`` to ``last_us`` is in the range."""
        return last_us < self.from_us or (self.until_us is not None and first_us > self.until_us)


ALL_TIMES = TimeRange()


def segment_numbers(folder: Path) -> list[int]:
    """Return the numbers of the existing segments in ascending order."""
    return sorted(int(path.stem) for path in folder.glob("*.seg") if path.stem.isdecimal())


def segment_path(folder: Path, number: int) -> Path:
    """Return the path of a segment."""
    return folder / (FILE_NAME_FORMAT % number)


def read_segment(
    folder: Path, number: int, time_range: TimeRange = ALL_TIMES
) -> Iterator[Block | Damage | Torn]:
    """Yield the blocks of a segment in order, with ``Damage`` or ``Torn`` in place of invalid bytes.

    Invalid bytes are reported as ``Torn`` if no complete block follows them, otherwise as ``Damage``. Block
    headers serve as the index by time: a block entirely outside the range is skipped without a check of its
    content.
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
            header = decode_block_header(data[at : at + BLOCK_HEADER.size])
            end = at + BLOCK_HEADER.size + header.stored
            if end <= len(data) and time_range.excludes(header.first_us, header.last_us):
                at = end
                continue
            rows = decode_block(header, data[at + BLOCK_HEADER.size : end])
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
    """Return the offset of the first complete and undamaged block at or after ``at``."""
    while (at := data.find(BLOCK_MAGIC, at)) >= 0:
        try:
            header = decode_block_header(data[at : at + BLOCK_HEADER.size])
            start = at + BLOCK_HEADER.size
            decode_block(header, data[start : start + header.stored])
            return at
        except BlockError:
            at += 1
    return None


def read(
    folder: Path, from_us: int = 0, until_us: int | None = None
) -> Iterator[Record | Damage | Torn | Gap]:
    """Yield the records of a store in the order of appending, optionally only those in a time range.

    ``Damage``, ``Torn`` and ``Gap`` are yielded at the positions of damaged or missing parts. ``StoreError``
    if a segment has another format.
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
                rows = [row for row in rows if time_range.contains(row[0])]
            yield from map(Record._make, rows)
