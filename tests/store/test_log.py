"""Reading of a store after truncation, flipped bits and a full disk, and its limits of size and age."""

import errno
import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainpick.store import Damage, FullError, Gap, Log, Record, StoreError, Torn, read, segment_numbers
from rainpick.store.blocks import SEGMENT_HEADER, decode_block


def fill(folder, blocks=3, block_records=4, **options):
    log = Log(folder, sync=False, **options)
    for block in range(blocks):
        for row in range(block_records):
            number = block * block_records + row
            log.append(1000 + number, number % 3, b"payload %d" % number)
        log.flush()
    return log


def numbers(folder, **options):
    return [int(entry.payload.split()[1]) for entry in read(folder, **options) if isinstance(entry, Record)]


def damage_in(folder):
    return [entry for entry in read(folder) if not isinstance(entry, Record)]


def test_flushed_records_are_read_in_order_and_by_time_range(tmp_path):
    fill(tmp_path).close()
    assert numbers(tmp_path) == list(range(12)) and not damage_in(tmp_path)
    assert numbers(tmp_path, from_us=1004, until_us=1006) == [4, 5, 6]


def test_a_reopened_log_appends_after_the_last_record(tmp_path):
    fill(tmp_path).close()
    log = Log(tmp_path)
    assert log.torn is None
    log.append(5000, 1, b"payload 99")
    log.close()
    assert numbers(tmp_path) == [*range(12), 99]


def test_truncation_within_the_last_block_keeps_the_other_blocks(tmp_path):
    intact = tmp_path / "whole"
    log = fill(intact, blocks=2)
    end_of_second = log.file.tell()
    for number in range(8, 12):
        log.append(1000 + number, 0, b"payload %d" % number)
    log.close()
    data = (intact / "0000000001.seg").read_bytes()
    for cut in range(end_of_second, len(data) + 1):
        folder = tmp_path / str(cut)
        folder.mkdir()
        (folder / "0000000001.seg").write_bytes(data[:cut])
        log = Log(folder, sync=False)
        kept = list(range(12)) if cut == len(data) else list(range(8))
        assert (log.torn is not None) == (end_of_second < cut < len(data))
        log.append(1, 0, b"payload 77")
        log.close()
        assert numbers(folder) == [*kept, 77] and not damage_in(folder)


@pytest.mark.parametrize("cut", range(SEGMENT_HEADER.size))
def test_a_segment_with_an_incomplete_header_is_created_again(tmp_path, cut):
    fill(tmp_path).close()
    (tmp_path / "0000000002.seg").write_bytes(b"RPSG\0\1\0\0\0\0\0\0\0\2"[:cut])
    log = Log(tmp_path, sync=False)
    log.append(1, 0, b"payload 50")
    log.close()
    assert numbers(tmp_path) == [*range(12), 50] and segment_numbers(tmp_path) == [1, 2]


@given(st.integers(0, 10_000), st.integers(0, 7))
@settings(max_examples=150, deadline=None, derandomize=True)
def test_a_flipped_bit_is_reported_with_its_offset_and_only_its_block_is_skipped(tmp_path_factory, at, bit):
    folder = tmp_path_factory.mktemp("flip")
    log = fill(folder)
    log.close()
    path = folder / "0000000001.seg"
    data = bytearray(path.read_bytes())
    at %= len(data)
    data[at] ^= 1 << bit
    path.write_bytes(bytes(data))
    try:
        found = list(read(folder))
    except StoreError as error:
        assert at < SEGMENT_HEADER.size and "format" in str(error)
        return
    damage = [entry for entry in found if isinstance(entry, Damage | Torn)]
    assert damage and any(entry.at <= at < entry.at + entry.size for entry in damage)
    kept = [int(entry.payload.split()[1]) for entry in found if isinstance(entry, Record)]
    assert kept == [number for number in range(12) if number in kept], "in order, without duplicates"
    assert {number // 4 for number in kept} == {block for block in range(3) if block * 4 in kept}
    assert len(kept) == (12 if at < SEGMENT_HEADER.size else 8)


def test_missing_segments_are_reported(tmp_path):
    log = fill(tmp_path, blocks=9, max_segment_bytes=100)
    log.close()
    existing = segment_numbers(tmp_path)
    assert len(existing) > 5
    (tmp_path / "0000000003.seg").unlink()
    (tmp_path / "0000000004.seg").unlink()
    assert damage_in(tmp_path) == [Gap(3, 4)]
    assert numbers(tmp_path) == [*range(8), *range(16, 36)]


def test_an_unknown_format_is_rejected_with_its_number(tmp_path):
    fill(tmp_path).close()
    path = tmp_path / "0000000001.seg"
    path.write_bytes(b"RPSG\0\7" + path.read_bytes()[6:])
    with pytest.raises(StoreError, match="format 7"):
        list(read(tmp_path))


def test_a_disk_that_fills_up_within_a_block_leaves_the_other_blocks(tmp_path):
    log = fill(tmp_path, blocks=1)

    def write_half(data):
        log.file.write(data[: len(data) // 2])
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    log.write, write = write_half, log.write
    log.append(2000, 0, b"payload 100")
    with pytest.raises(FullError, match="No space left"):
        log.flush()
    assert log.lost == 1
    log.write = write
    log.append(2001, 0, b"payload 101")
    log.close()
    assert numbers(tmp_path) == [0, 1, 2, 3, 101] and not damage_in(tmp_path)


def test_old_segments_are_deleted_by_size_and_by_age(tmp_path):
    log = fill(tmp_path / "size", blocks=30, max_segment_bytes=100, max_total_bytes=2000)
    assert sum(path.stat().st_size for path in (tmp_path / "size").iterdir()) < 2400
    assert numbers(tmp_path / "size")[-1] == 119
    log.close()
    fill(tmp_path / "age", blocks=4, max_segment_bytes=100).close()
    for number in segment_numbers(tmp_path / "age")[:2]:
        os.utime(tmp_path / "age" / f"{number:010d}.seg", (1, 1))
    fill(tmp_path / "age", blocks=1, max_segment_bytes=100, max_age_us=1_000_000).close()
    assert segment_numbers(tmp_path / "age")[0] == 3


def test_blocks_outside_the_time_range_are_not_decoded(tmp_path, monkeypatch):
    """Guards against a slow read of a time range: only blocks whose header overlaps the range are decoded."""
    log = Log(tmp_path, sync=False)
    for second in range(50):
        log.append(second * 10, 1, b"a")
        log.append(second * 10 + 5, 1, b"b")
        log.flush()
    log.close()
    decoded = []

    def counting_decode(header, stored):
        decoded.append(header)
        return decode_block(header, stored)

    monkeypatch.setattr("rainpick.store.reader.decode_block", counting_decode)
    found = [record.time_us for record in read(tmp_path, 100, 125)]
    assert found == [100, 105, 110, 115, 120, 125] and len(decoded) == 3
