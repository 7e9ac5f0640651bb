"""Encoding and decoding of segment headers and blocks. ``docs/store-format.md`` specifies the format."""

from __future__ import annotations

import struct
from typing import NamedTuple

import msgspec
import zstandard
from xxhash import xxh3_64_intdigest

from rainpick.store.errors import BlockError, StoreError

FORMAT = 1
SEGMENT_HEADER = struct.Struct(">4sHQ")  # magic, format, segment number
SEGMENT_MAGIC, BLOCK_MAGIC = b"RPSG", b"RPBK"
BLOCK_HEADER = struct.Struct(">4sIIQQQ")  # magic, then the fields of ``BlockHeader``
MAX_STORED_BYTES = 64 << 20  # maximum size of a compressed block; a header with a larger size is damaged
MAX_UNPACKED_BYTES = 256 << 20  # maximum size of a decompressed block

Row = tuple[int, int, bytes]  # a stored record: time in microseconds, kind, payload


class BlockHeader(NamedTuple):
    """The header of a block, without its magic."""

    stored: int  # size in bytes of the compressed data after the header
    records: int  # number of records
    first_us: int  # earliest time of a record
    last_us: int  # latest time of a record
    checksum: int


def encode_segment_header(number: int) -> bytes:
    """Encode the header of a segment in the current format."""
    return SEGMENT_HEADER.pack(SEGMENT_MAGIC, FORMAT, number)


def check_segment_header(data: bytes, number: int) -> None:
    """Check the segment header at the start of ``data``; ``number`` is the expected segment number.

    ``BlockError`` if the header is truncated or damaged or has another segment number, ``StoreError`` if its
    format is not ``FORMAT``.
    """
    if len(data) < SEGMENT_HEADER.size:
        raise BlockError("the segment's head is cut off")
    magic, stored_format, stored_number = SEGMENT_HEADER.unpack_from(data)
    if magic != SEGMENT_MAGIC or stored_number != number:
        raise BlockError("the segment's head is damaged")
    if stored_format != FORMAT:
        raise StoreError(f"segment {number} has format {stored_format}; this program reads {FORMAT}")


def checksum(stored: bytes, records: int, first_us: int, last_us: int) -> int:
    """Return the XXH3 checksum (64 bits) of the compressed data and the header fields of a block."""
    return xxh3_64_intdigest(struct.pack(">IQQ", records, first_us, last_us) + stored)


def encode_block(rows: list[Row]) -> bytes:
    """Encode a block with its header; ``rows`` must not be empty."""
    stored = zstandard.ZstdCompressor(level=3).compress(msgspec.msgpack.encode(rows))
    times = [time_us for time_us, _, _ in rows]
    first_us, last_us = min(times), max(times)
    digest = checksum(stored, len(rows), first_us, last_us)
    return BLOCK_HEADER.pack(BLOCK_MAGIC, len(stored), len(rows), first_us, last_us, digest) + stored


def decode_block_header(data: bytes) -> BlockHeader:
    """Decode the block header at the start of ``data``; ``BlockError`` if it is not valid."""
    if len(data) < BLOCK_HEADER.size:
        raise BlockError("a head is cut off")
    magic, *fields = BLOCK_HEADER.unpack_from(data)
    header = BlockHeader(*fields)
    if magic != BLOCK_MAGIC or not 0 < header.stored <= MAX_STORED_BYTES or not header.records:
        raise BlockError("no block begins here")
    return header


def decode_block(header: BlockHeader, stored: bytes) -> list[Row]:
    """Decode the records of a block; ``BlockError`` if it is truncated or any bit of it is wrong."""
    if len(stored) < header.stored:
        raise BlockError("a block is cut off")
    if checksum(stored, header.records, header.first_us, header.last_us) != header.checksum:
        raise BlockError("the checksum does not fit")
    try:
        data = zstandard.ZstdDecompressor().decompress(stored, max_output_size=MAX_UNPACKED_BYTES)
        rows = msgspec.msgpack.decode(data, type=list[Row])
    except (zstandard.ZstdError, msgspec.MsgspecError) as error:
        raise BlockError(str(error)) from None
    if len(rows) != header.records:
        raise BlockError(f"{len(rows)} records where {header.records} are announced")
    return rows
