"""The one writer of a store: complete records only after a crash at any moment."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import BinaryIO

from rainpick.store.blocks import SEGMENT_HEADER, Row, write_block, write_segment_header
from rainpick.store.errors import FullError
from rainpick.store.reader import Torn, read_segment, segment_numbers, segment_path


class Log:
    """Appends records to a store. Records are in memory until ``flush``; a crash loses those, and no others.

    Opening looks at the last segment alone and cuts off its incomplete end; ``torn`` says what was cut.

    A segment ends when a block takes it over ``segment_most`` bytes. Then old segments are deleted: those
    that take the store over ``keep_most`` bytes, and those whose last change is ``keep_us`` microseconds
    older than the newest segment's; 0 is no limit. ``sync``: a flush waits until the disk has the bytes.
    """

    def __init__(
        self,
        folder: Path,
        segment_most: int = 64 << 20,
        keep_most: int = 0,
        keep_us: int = 0,
        sync: bool = True,
    ):
        self.folder = folder
        self.segment_most = segment_most
        self.keep_most, self.keep_us = keep_most, keep_us
        self.sync = sync
        self.waiting: list[Row] = []
        self.written = 0  # records
        self.lost = 0  # records
        self.torn: Torn | None = None
        self.number = 0  # of the last segment
        self.file: BinaryIO
        folder.mkdir(parents=True, exist_ok=True)
        numbers = segment_numbers(folder)
        if numbers:
            self.number = numbers[-1]
            self.reopen_segment()
        else:
            self.begin_segment()

    def reopen_segment(self) -> None:
        """Go on after the last complete block of the last segment."""
        path = segment_path(self.folder, self.number)
        entries = read_segment(self.folder, self.number)
        self.torn = next((entry for entry in entries if isinstance(entry, Torn)), None)
        if self.torn is not None and self.torn.at < SEGMENT_HEADER.size:
            path.unlink()  # not even its header was written
            self.number -= 1
            self.begin_segment()
            return
        self.file = open(path, "r+b")  # noqa: SIM115 - it stays open until the segment ends
        self.file.seek(0, os.SEEK_END)
        if self.torn is not None:
            self.file.truncate(self.torn.at)
            self.file.seek(self.torn.at)
            self.write_through()

    def begin_segment(self) -> None:
        """Begin a new segment and delete old ones."""
        self.number += 1
        path = segment_path(self.folder, self.number)
        self.file = open(path, "w+b")  # noqa: SIM115 - it stays open until the segment ends
        self.file.write(write_segment_header(self.number))
        self.write_through()
        self.delete_old_segments()

    def write_through(self) -> None:
        """Hand written bytes to the system and, with ``sync``, wait until the disk has them."""
        self.file.flush()
        if self.sync:
            os.fsync(self.file.fileno())

    def delete_old_segments(self) -> None:
        """Delete the oldest segments that are over the size or over the age; never the last one."""
        stats = [
            (number, segment_path(self.folder, number).stat()) for number in segment_numbers(self.folder)
        ]
        total = sum(stat.st_size for _, stat in stats)
        newest_s = stats[-1][1].st_mtime
        for number, stat in stats[:-1]:
            is_old = self.keep_us and (newest_s - stat.st_mtime) * 1e6 > self.keep_us
            is_over = self.keep_most and total > self.keep_most
            if not is_old and not is_over:
                break
            segment_path(self.folder, number).unlink()
            total -= stat.st_size

    def append(self, time_us: int, kind: int, payload: bytes) -> None:
        """Add a record; it is written with the next ``flush``."""
        self.waiting.append((time_us, kind, payload))

    def flush(self) -> None:
        """Write what waits as one block; ``FullError`` if it can't be, and then it is lost and counted."""
        if not self.waiting:
            return
        rows, self.waiting = self.waiting, []
        data = write_block(rows)
        start = self.file.tell()
        try:
            self.write(data)
            self.write_through()
        except OSError as error:
            self.lost += len(rows)
            self.roll_back(start)
            path = segment_path(self.folder, self.number)
            raise FullError(f"{path}: {error.strerror}") from None
        self.written += len(rows)
        if self.file.tell() >= self.segment_most:
            self.file.close()
            self.begin_segment()

    def write(self, data: bytes) -> None:
        """Write a block; tests replace this to simulate a full disk."""
        self.file.write(data)

    def roll_back(self, start: int) -> None:
        """Cut the segment back to ``start``: part of a block must not stand before the next one."""
        with contextlib.suppress(OSError):
            self.file.close()  # what it still buffers is part of the block
        path = segment_path(self.folder, self.number)
        self.file = open(path, "r+b")  # noqa: SIM115 - it stays open until the segment ends
        self.file.truncate(start)
        self.file.seek(start)

    def close(self) -> None:
        """Write what waits and close the file; ``FullError`` as for ``flush``."""
        try:
            self.flush()
        finally:
            self.file.close()
