"""A log of records over segments in a folder: one writer, any readers, whole after any crash."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from rainpick.store import blocks
from rainpick.store.blocks import BLOCK, FORMAT, SEGMENT, BlockError

NAME = "%010d.seg"


class StoreError(Exception):
    """The folder can't be used as a store; the text names the file and what is wrong."""


class FullError(StoreError):
    """A block could not be written; the store is as it was before it."""


class Record(NamedTuple):
    time_us: int
    kind: int
    payload: bytes


class Torn(NamedTuple):
    """The end of the last segment was cut off by a crash: so many bytes were dropped."""

    segment: int
    at: int
    size: int


class Damage(NamedTuple):
    """Bytes within a segment that are not what was written; the records in them are not played."""

    segment: int
    at: int
    size: int
    why: str


class Gap(NamedTuple):
    """Segments are missing: the first and the last of them."""

    first: int
    last: int


def segments(folder: Path) -> list[int]:
    """The numbers of the segments that are there, in order."""
    return sorted(int(path.stem) for path in folder.glob("*.seg") if path.stem.isdecimal())


def path_of(folder: Path, number: int) -> Path:
    return folder / (NAME % number)


def check_head(data: bytes, number: int) -> None:
    """``BlockError`` for a head that is cut or damaged, ``StoreError`` for another format."""
    if len(data) < SEGMENT.size:
        raise BlockError("the segment's head is cut off")
    magic, form, written = SEGMENT.unpack_from(data)
    if magic != blocks.SEGMENT_MAGIC or written != number:
        raise BlockError("the segment's head is damaged")
    if form != FORMAT:
        raise StoreError(f"segment {number} has format {form}; this program reads {FORMAT}")


def blocks_of(
    folder: Path, number: int, from_us: int = 0, until_us: int | None = None
) -> Iterator[tuple[int, list] | Damage | Torn]:
    """(offset, records) block by block; damage where it is; a torn end if nothing whole comes after it.

    Heads are the index by time: a block wholly out of the range asked for is passed over, unchecked.
    """
    data = path_of(folder, number).read_bytes()
    try:
        check_head(data, number)
        at = SEGMENT.size
    except BlockError as flaw:
        at = data.find(blocks.BLOCK_MAGIC)
        if at < 0:
            yield Torn(number, 0, len(data))
            return
        yield Damage(number, 0, at, str(flaw))
    while at < len(data):
        try:
            head = blocks.read_head(data[at : at + BLOCK.size])
            end = at + BLOCK.size + head.stored
            if end <= len(data) and (
                head.last_us < from_us or until_us is not None and head.first_us > until_us
            ):
                at = end
                continue
            rows = blocks.read_block(head, data[at + BLOCK.size : end])
        except BlockError as flaw:
            later = next_whole(data, at + 1)
            if later is None:
                yield Torn(number, at, len(data) - at)
                return
            yield Damage(number, at, later - at, str(flaw))
            at = later
            continue
        yield at, rows
        at = end


def next_whole(data: bytes, at: int) -> int | None:
    """Where the next block stands that is whole to the last bit."""
    while (at := data.find(blocks.BLOCK_MAGIC, at)) >= 0:
        try:
            head = blocks.read_head(data[at : at + BLOCK.size])
            blocks.read_block(head, data[at + BLOCK.size : at + BLOCK.size + head.stored])
            return at
        except BlockError:
            at += 1
    return None


def read(
    folder: Path, from_us: int = 0, until_us: int | None = None
) -> Iterator[Record | Damage | Torn | Gap]:
    """All records in the order in which they were written; what is missing or damaged, where it is."""
    last = None
    for number in segments(folder):
        if last is not None and number != last + 1:
            yield Gap(last + 1, number - 1)
        last = number
        for found in blocks_of(folder, number, from_us, until_us):
            if not isinstance(found, tuple) or isinstance(found, Damage | Torn):
                yield found
                continue
            for time_us, kind, payload in found[1]:
                if time_us >= from_us and (until_us is None or time_us <= until_us):
                    yield Record(time_us, kind, payload)


class Log:
    """The one writer. Records are kept in memory until ``flush``; a crash loses those, and no others.

    Opening looks at the last segment alone and cuts its torn end; ``torn`` says what was cut.
    """

    def __init__(
        self,
        folder: Path,
        segment_most: int = 64 << 20,
        keep_most: int = 0,
        keep_us: int = 0,
        sync: bool = True,
    ):
        self.folder, self.segment_most = folder, segment_most
        self.keep_most, self.keep_us, self.sync = keep_most, keep_us, sync
        self.waiting: list[tuple[int, int, bytes]] = []
        self.written = self.lost = 0
        self.torn: Torn | None = None
        folder.mkdir(parents=True, exist_ok=True)
        there = segments(folder)
        self.number = there[-1] if there else 0
        self.file = None
        if there:
            self.mend()
        else:
            self.begin()

    def mend(self) -> None:
        """Go on after the last whole block of the last segment."""
        path = path_of(self.folder, self.number)
        found = blocks_of(self.folder, self.number)
        self.torn = next((one for one in found if isinstance(one, Torn)), None)
        if self.torn is not None and self.torn.at < SEGMENT.size:
            path.unlink()  # not even its head was written
            self.number -= 1
            self.begin()
            return
        self.file = open(path, "r+b")  # noqa: SIM115
        self.file.seek(0, os.SEEK_END)
        if self.torn is not None:
            self.file.truncate(self.torn.at)
            self.file.seek(self.torn.at)
            self.settle()

    def begin(self) -> None:
        """A new segment; old ones go by age and size."""
        if self.file is not None:
            self.file.close()
        self.number += 1
        self.file = open(path_of(self.folder, self.number), "w+b")  # noqa: SIM115
        self.file.write(SEGMENT.pack(blocks.SEGMENT_MAGIC, FORMAT, self.number))
        self.settle()
        self.forget()

    def settle(self) -> None:
        self.file.flush()
        if self.sync:
            os.fsync(self.file.fileno())

    def forget(self) -> None:
        """Drop the oldest segments over the size, and those whose last change is over the age."""
        there = [(number, path_of(self.folder, number).stat()) for number in segments(self.folder)]
        total, newest = sum(stat.st_size for _, stat in there), there[-1][1].st_mtime
        for number, stat in there[:-1]:
            old = self.keep_us and (newest - stat.st_mtime) * 1e6 > self.keep_us
            if old or self.keep_most and total > self.keep_most:
                path_of(self.folder, number).unlink()
                total -= stat.st_size
            else:
                break

    def append(self, time_us: int, kind: int, payload: bytes) -> None:
        self.waiting.append((time_us, kind, payload))

    def flush(self) -> None:
        """Write what waits as one block; ``FullError`` if it can't be, and then it is lost and counted."""
        if not self.waiting:
            return
        rows, self.waiting = self.waiting, []
        data = blocks.write_block(rows)
        start = self.file.tell()
        try:
            self.write(data)
            self.settle()
        except OSError as flaw:
            self.lost += len(rows)
            self.back_to(start)
            raise FullError(f"{path_of(self.folder, self.number)}: {flaw.strerror}") from None
        self.written += len(rows)
        if self.file.tell() >= self.segment_most:
            self.begin()

    def write(self, data: bytes) -> None:
        """A disk that is full is made here in tests."""
        self.file.write(data)

    def back_to(self, start: int) -> None:
        """Half a block must not stand before the next one."""
        path = path_of(self.folder, self.number)
        with contextlib.suppress(OSError):
            self.file.close()  # what it still held is the half block
        self.file = open(path, "r+b")  # noqa: SIM115
        self.file.truncate(start)
        self.file.seek(start)

    def close(self) -> None:
        try:
            self.flush()
        finally:
            self.file.close()
