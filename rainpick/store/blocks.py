"""The bytes of a store: a segment's head and its blocks. ``docs/store-format.md`` describes them."""

from __future__ import annotations

import struct
from typing import NamedTuple

import msgspec
import zstandard
from xxhash import xxh3_64_intdigest

FORMAT = 1
SEGMENT = struct.Struct(">4sHQ")  # magic, format, number
SEGMENT_MAGIC, BLOCK_MAGIC = b"RPSG", b"RPBK"
BLOCK = struct.Struct(">4sIIQQQ")  # magic, bytes stored, records, first and last time, checksum
BLOCK_MOST = 64 << 20  # a length over this is damage, not a block
UNPACKED_MOST = 256 << 20


class BlockError(Exception):
    """Bytes that are no block."""


class Head(NamedTuple):
    stored: int
    records: int
    first_us: int
    last_us: int
    checksum: int


def checksum(stored: bytes, records: int, first_us: int, last_us: int) -> int:
    return xxh3_64_intdigest(struct.pack(">IQQ", records, first_us, last_us) + stored)


def write_block(records: list[tuple[int, int, bytes]]) -> bytes:
    """Records are (time in microseconds, kind, payload)."""
    stored = zstandard.ZstdCompressor(level=3).compress(msgspec.msgpack.encode(records))
    times = [record[0] for record in records]
    first_us, last_us = min(times), max(times)
    sum_ = checksum(stored, len(records), first_us, last_us)
    return BLOCK.pack(BLOCK_MAGIC, len(stored), len(records), first_us, last_us, sum_) + stored


def read_head(data: bytes) -> Head:
    if len(data) < BLOCK.size:
        raise BlockError("a head is cut off")
    magic, *fields = BLOCK.unpack_from(data)
    head = Head(*fields)
    if magic != BLOCK_MAGIC or not 0 < head.stored <= BLOCK_MOST or not head.records:
        raise BlockError("no block begins here")
    return head


def read_block(head: Head, stored: bytes) -> list[tuple[int, int, bytes]]:
    """The records; ``BlockError`` if a bit of the block is not what was written."""
    if len(stored) < head.stored:
        raise BlockError("a block is cut off")
    if checksum(stored, head.records, head.first_us, head.last_us) != head.checksum:
        raise BlockError("the checksum does not fit")
    try:
        data = zstandard.ZstdDecompressor().decompress(stored, max_output_size=UNPACKED_MOST)
        rows = msgspec.msgpack.decode(data, type=list[tuple[int, int, bytes]])
    except (zstandard.ZstdError, msgspec.MsgspecError) as flaw:
        raise BlockError(str(flaw)) from None
    if len(rows) != head.records:
        raise BlockError(f"{len(rows)} records where {head.records} are announced")
    return rows
