"""Writer of a store. After a crash at any time, the store contains only complete records."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import BinaryIO

from rainpick.store.blocks import SEGMENT_HEADER, Row, encode_block, encode_segment_header
from rainpick.store.errors import FullError
from rainpick.store.reader import Torn, read_segment, segment_numbers, segment_path


class Log:
    """Appends records to a store. A store must have only one writer.

    Records are buffered until ``flush``; a crash loses only the buffered records. Opening a store reads only
    the last segment and truncates an incomplete block at its end, which ``torn`` then describes.

    A new segment is created once the current one has reached ``max_segment_bytes``. Then the oldest segments
    are deleted while the store is larger than ``max_total_bytes``, or while they were last modified more than
    ``max_age_us`` before the newest segment; 0 means no limit. With ``sync``, a flush waits until the data is
    on the disk.
    """

    def __init__(
        self,
        folder: Path,
        max_segment_bytes: int = 64 << 20,
        max_total_bytes: int = 0,
        max_age_us: int = 0,
        sync: bool = True,
    ):
        self.folder = folder
        self.max_segment_bytes = max_segment_bytes
        self.max_total_bytes, self.max_age_us = max_total_bytes, max_age_us
        self.sync = sync
        self.unwritten: list[Row] = []  # records appended since the last flush
        self.written = 0  # number of records in written blocks
        self.lost = 0  # number of records dropped on write errors
        self.torn: Torn | None = None
        self.segment_number = 0  # number of the segment that is being written
        self.file: BinaryIO
        folder.mkdir(parents=True, exist_ok=True)
        numbers = segment_numbers(folder)
        if numbers:
            self.segment_number = numbers[-1]
            self.reopen_segment()
        else:
            self.create_segment()

    def reopen_segment(self) -> None:
        """Open the last segment for writing after its last complete block."""
        path = segment_path(self.folder, self.segment_number)
        entries = read_segment(self.folder, self.segment_number)
        self.torn = next((entry for entry in entries if isinstance(entry, Torn)), None)
        if self.torn is not None and self.torn.at < SEGMENT_HEADER.size:
            path.unlink()  # the segment's header is incomplete
            self.segment_number -= 1
            self.create_segment()
            return
        self.file = open(path, "r+b")  # noqa: SIM115 - the file stays open until the segment ends
        self.file.seek(0, os.SEEK_END)
        if self.torn is not None:
            self.file.truncate(self.torn.at)
            self.file.seek(self.torn.at)
            self.flush_file()

    def create_segment(self) -> None:
        """Create a new segment and delete old ones."""
        self.segment_number += 1
        path = segment_path(self.folder, self.segment_number)
        self.file = open(path, "w+b")  # noqa: SIM115 - the file stays open until the segment ends
        self.file.write(encode_segment_header(self.segment_number))
        self.flush_file()
        self.delete_old_segments()

    def flush_file(self) -> None:
        """Flush the segment file to the operating system and, with ``sync``, to the disk."""
        self.file.flush()
        if self.sync:
            os.fsync(self.file.fileno())

    def delete_old_segments(self) -> None:
        """Delete the oldest segments while the limit of size or age is exceeded; keep the newest always."""
        stats = [
            (segment_number, segment_path(self.folder, segment_number).stat())
            for segment_number in segment_numbers(self.folder)
        ]
        total = sum(stat.st_size for _, stat in stats)
        newest_s = stats[-1][1].st_mtime
        for segment_number, stat in stats[:-1]:
            is_old = self.max_age_us and (newest_s - stat.st_mtime) * 1e6 > self.max_age_us
            is_over_size = self.max_total_bytes and total > self.max_total_bytes
            if not is_old and not is_over_size:
                break
            segment_path(self.folder, segment_number).unlink()
            total -= stat.st_size

    def append(self, time_us: int, kind: int, payload: bytes) -> None:
        """Buffer a record, which the next ``flush`` writes."""
        self.unwritten.append((time_us, kind, payload))

    def flush(self) -> None:
        """Write any buffered records as one block; create a new segment if the current one is full.

        On a write error the records are dropped and counted in ``lost``, and ``FullError`` is raised.
        """
        if not self.unwritten:
            return
        rows, self.unwritten = self.unwritten, []
        data = encode_block(rows)
        start = self.file.tell()
        try:
            self.write(data)
            self.flush_file()
        except OSError as error:
            self.lost += len(rows)
            self.roll_back(start)
            path = segment_path(self.folder, self.segment_number)
            raise FullError(f"{path}: {error.strerror}") from None
        self.written += len(rows)
        if self.file.tell() >= self.max_segment_bytes:
            self.file.close()
            self.create_segment()

    def write(self, data: bytes) -> None:
        """Write a block to the segment file. Tests replace this method to simulate a full disk."""
        self.file.write(data)

    def roll_back(self, start: int) -> None:
        """Truncate the segment to the offset ``start``, so that no partial block precedes the next one."""
        with contextlib.suppress(OSError):
            # Flushes the rest of the block, which may fail again. The file is truncated in either case.
            self.file.close()
        path = segment_path(self.folder, self.segment_number)
        self.file = open(path, "r+b")  # noqa: SIM115 - the file stays open until the segment ends
        self.file.truncate(start)
        self.file.seek(start)

    def close(self) -> None:
        """Flush the buffered records and close the segment file; ``FullError`` as for ``flush``."""
        try:
            self.flush()
        finally:
            self.file.close()
