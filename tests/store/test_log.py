"""The store: complete after a cut at any byte, exact about every flipped bit, and no larger than allowed."""

import errno
import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainpick.store import Damage, FullError, Gap, Log, Record, StoreError, Torn, read, segment_numbers
from rainpick.store.blocks import SEGMENT_HEADER, read_block


def fill(folder, blocks=3, each=4, **options):
    log = Log(folder, sync=False, **options)
    for block in range(blocks):
        for row in range(each):
            number = block * each + row
            log.append(1000 + number, number % 3, b"payload %d" % number)
        log.flush()
    return log


def numbers(folder, **options):
    return [int(entry.payload.split()[1]) for entry in read(folder, **options) if isinstance(entry, Record)]


def damage_in(folder):
    return [entry for entry in read(folder) if not isinstance(entry, Record)]


def test_what_is_flushed_is_read_in_order_and_by_time(tmp_path):
    fill(tmp_path).close()
    assert numbers(tmp_path) == list(range(12)) and not damage_in(tmp_path)
    assert numbers(tmp_path, from_us=1004, until_us=1006) == [4, 5, 6]


def test_a_log_that_is_opened_again_goes_on_where_it_ended(tmp_path):
    fill(tmp_path).close()
    log = Log(tmp_path)
    assert log.torn is None
    log.append(5000, 1, b"payload 99")
    log.close()
    assert numbers(tmp_path) == [*range(12), 99]


def test_after_a_cut_at_any_byte_of_the_last_block_the_others_are_kept(tmp_path):
    whole = tmp_path / "whole"
    log = fill(whole, blocks=2)
    end_of_second = log.file.tell()
    for number in range(8, 12):
        log.append(1000 + number, 0, b"payload %d" % number)
    log.close()
    data = (whole / "0000000001.seg").read_bytes()
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
def test_a_segment_whose_header_was_not_written_is_begun_again(tmp_path, cut):
    fill(tmp_path).close()
    (tmp_path / "0000000002.seg").write_bytes(b"RPSG\0\1\0\0\0\0\0\0\0\2"[:cut])
    log = Log(tmp_path, sync=False)
    log.append(1, 0, b"payload 50")
    log.close()
    assert numbers(tmp_path) == [*range(12), 50] and segment_numbers(tmp_path) == [1, 2]


@given(st.integers(0, 10_000), st.integers(0, 7))
@settings(max_examples=150, deadline=None, derandomize=True)
def test_a_flipped_bit_is_found_with_its_offset_and_its_block_is_left_out(tmp_path_factory, at, bit):
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
    assert kept == [number for number in range(12) if number in kept], "in order, none twice"
    assert {number // 4 for number in kept} == {block for block in range(3) if block * 4 in kept}
    assert len(kept) == (12 if at < SEGMENT_HEADER.size else 8)


def test_missing_segments_are_reported(tmp_path):
    log = fill(tmp_path, blocks=9, segment_most=100)
    log.close()
    there = segment_numbers(tmp_path)
    assert len(there) > 5
    (tmp_path / "0000000003.seg").unlink()
    (tmp_path / "0000000004.seg").unlink()
    assert damage_in(tmp_path) == [Gap(3, 4)]
    assert numbers(tmp_path) == [*range(8), *range(16, 36)]


def test_another_format_is_rejected_by_its_number(tmp_path):
    fill(tmp_path).close()
    path = tmp_path / "0000000001.seg"
    path.write_bytes(b"RPSG\0\7" + path.read_bytes()[6:])
    with pytest.raises(StoreError, match="format 7"):
        list(read(tmp_path))


def test_a_disk_that_fills_up_within_a_block_leaves_the_other_blocks(tmp_path):
    log = fill(tmp_path, blocks=1)

    def full(data):
        log.file.write(data[: len(data) // 2])
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    log.write, write = full, log.write
    log.append(2000, 0, b"payload 100")
    with pytest.raises(FullError, match="No space left"):
        log.flush()
    assert log.lost == 1
    log.write = write
    log.append(2001, 0, b"payload 101")
    log.close()
    assert numbers(tmp_path) == [0, 1, 2, 3, 101] and not damage_in(tmp_path)


def test_old_segments_are_deleted_by_size_and_by_age(tmp_path):
    log = fill(tmp_path / "size", blocks=30, segment_most=100, keep_most=2000)
    assert sum(path.stat().st_size for path in (tmp_path / "size").iterdir()) < 2400
    assert numbers(tmp_path / "size")[-1] == 119
    log.close()
    fill(tmp_path / "age", blocks=4, segment_most=100).close()
    for number in segment_numbers(tmp_path / "age")[:2]:
        os.utime(tmp_path / "age" / f"{number:010d}.seg", (1, 1))
    fill(tmp_path / "age", blocks=1, segment_most=100, keep_us=1_000_000).close()
    assert segment_numbers(tmp_path / "age")[0] == 3


def test_blocks_out_of_the_time_range_are_not_read(tmp_path, monkeypatch):
    """The heads are the index: what lies outside is passed over, and what is asked for comes whole."""
    log = Log(tmp_path, sync=False)
    for second in range(50):
        log.append(second * 10, 1, b"a")
        log.append(second * 10 + 5, 1, b"b")
        log.flush()
    log.close()
    unpacked = []

    def counting(header, stored):
        unpacked.append(header)
        return read_block(header, stored)

    monkeypatch.setattr("rainpick.store.reader.read_block", counting)
    found = [record.time_us for record in read(tmp_path, 100, 125)]
    assert found == [100, 105, 110, 115, 120, 125] and len(unpacked) == 3
