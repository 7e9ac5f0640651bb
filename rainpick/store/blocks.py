"""The bytes of a store: a segment's header and its blocks. ``docs/store-format.md`` describes them."""

from __future__ import annotations

import struct
from typing import NamedTuple

import msgspec
import zstandard
from xxhash import xxh3_64_intdigest

from rainpick.store.errors import BlockError, StoreError

FORMAT = 1
SEGMENT_HEADER = struct.Struct(">4sHQ")  # magic, format, number
SEGMENT_MAGIC, BLOCK_MAGIC = b"RPSG", b"RPBK"
BLOCK_HEADER = struct.Struct(">4sIIQQQ")  # magic, bytes stored, records, first and last time, checksum
STORED_MOST = 64 << 20  # bytes of a block; a length over this is damage
UNPACKED_MOST = 256 << 20  # bytes

Row = tuple[int, int, bytes]  # a record as it is stored: time in microseconds, kind, payload


class BlockHeader(NamedTuple):
    """The header of a block, without its magic."""

    stored: int  # bytes that follow
    records: int
    first_us: int  # least and greatest time of its records
    last_us: int
    checksum: int


def write_segment_header(number: int) -> bytes:
    """The header of a segment in the current format."""
    return SEGMENT_HEADER.pack(SEGMENT_MAGIC, FORMAT, number)


def check_segment_header(data: bytes, number: int) -> None:
    """``BlockError`` for a header that is cut or damaged, ``StoreError`` for another format."""
    if len(data) < SEGMENT_HEADER.size:
        raise BlockError("the segment's head is cut off")
    magic, stored_format, stored_number = SEGMENT_HEADER.unpack_from(data)
    if magic != SEGMENT_MAGIC or stored_number != number:
        raise BlockError("the segment's head is damaged")
    if stored_format != FORMAT:
        raise StoreError(f"segment {number} has format {stored_format}; this program reads {FORMAT}")


def checksum(stored: bytes, records: int, first_us: int, last_us: int) -> int:
    """XXH3 (64 bits) of a block's bytes and of what its header says of them."""
    return xxh3_64_intdigest(struct.pack(">IQQ", records, first_us, last_us) + stored)


def write_block(rows: list[Row]) -> bytes:
    """Header and bytes of a block; there is at least one row."""
    stored = zstandard.ZstdCompressor(level=3).compress(msgspec.msgpack.encode(rows))
    times = [time_us for time_us, _, _ in rows]
    first_us, last_us = min(times), max(times)
    digest = checksum(stored, len(rows), first_us, last_us)
    return BLOCK_HEADER.pack(BLOCK_MAGIC, len(stored), len(rows), first_us, last_us, digest) + stored


def read_block_header(data: bytes) -> BlockHeader:
    """The header at the beginning of ``data``; ``BlockError`` if none is there."""
    if len(data) < BLOCK_HEADER.size:
        raise BlockError("a head is cut off")
    magic, *fields = BLOCK_HEADER.unpack_from(data)
    header = BlockHeader(*fields)
    if magic != BLOCK_MAGIC or not 0 < header.stored <= STORED_MOST or not header.records:
        raise BlockError("no block begins here")
    return header


def read_block(header: BlockHeader, stored: bytes) -> list[Row]:
    """The records; ``BlockError`` if a bit of the block is not what was written."""
    if len(stored) < header.stored:
        raise BlockError("a block is cut off")
    if checksum(stored, header.records, header.first_us, header.last_us) != header.checksum:
        raise BlockError("the checksum does not fit")
    try:
        data = zstandard.ZstdDecompressor().decompress(stored, max_output_size=UNPACKED_MOST)
        rows = msgspec.msgpack.decode(data, type=list[Row])
    except (zstandard.ZstdError, msgspec.MsgspecError) as error:
        raise BlockError(str(error)) from None
    if len(rows) != header.records:
        raise BlockError(f"{len(rows)} records where {header.records} are announced")
    return rows
