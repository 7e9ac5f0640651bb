"""Throughput of the SASP codec in frames a second, compared with ``struct`` alone on the same bytes."""

import struct
import sys
import time

from rainpick.sasp.constants import CONFIDENT, CONTACT
from rainpick.sasp.encoding import encode_group, encode_message, encode_send_weights, encode_weight_entry
from rainpick.sasp.framing import FrameReader
from rainpick.sasp.messages import Group, Member, SendWeights, WeightEntry, WeightGroup
from rainpick.sasp.wire import MESSAGE_HEADER

WEIGHT_ENTRY = struct.Struct(">HHHHBH16sBBBH")  # a weight entry, including its member without a label


def build_message(lines: int) -> SendWeights:
    members = (Member.at("127.0.0.1", 9000 + port) for port in range(lines))
    entries = tuple(WeightEntry(member, 4096, CONTACT | CONFIDENT) for member in members)
    return SendWeights((WeightGroup(Group("edge-1", "servers"), entries),))


def calls_per_second(function, seconds: float = 1.0) -> float:
    count, end = 0, time.perf_counter() + seconds
    begin = time.perf_counter()
    while time.perf_counter() < end:
        for _ in range(20):
            function()
        count += 20
    return count / (time.perf_counter() - begin)


def main() -> None:
    print("frames a second; `struct` packs or unpacks the same fields and checks nothing")
    for lines in (1, 12, 120):
        message = build_message(lines)
        frame = encode_message(message, 7)
        entries = b"".join(encode_weight_entry(entry) for entry in message.groups[0].entries)
        entries_offset = frame.index(entries)

        def decode(frame=frame):
            reader = FrameReader(1 << 20)
            reader.feed(frame)
            return reader.next()

        def unpack(frame=frame, entries_offset=entries_offset, lines=lines):
            MESSAGE_HEADER.unpack_from(frame)
            return [
                WEIGHT_ENTRY.unpack_from(frame, entries_offset + WEIGHT_ENTRY.size * line)
                for line in range(lines)
            ]

        fields = [WEIGHT_ENTRY.unpack_from(entries, WEIGHT_ENTRY.size * line) for line in range(lines)]

        def pack(fields=fields, frame=frame):
            entries = b"".join(WEIGHT_ENTRY.pack(*entry) for entry in fields)
            return MESSAGE_HEADER.pack(0x2010, 13, 1, len(frame), 7) + entries

        group = encode_group(message.groups[0].group)

        def encode_with_shared_entries(entries=entries, lines=lines, group=group):
            return encode_send_weights(7, group, lines, entries)

        assert pack()[13:] == entries and encode_with_shared_entries() == frame
        decode_rate, encode_rate, shared_rate = (
            calls_per_second(decode),
            calls_per_second(lambda: encode_message(message, 7)),  # noqa: B023
            calls_per_second(encode_with_shared_entries),
        )
        unpack_rate, pack_rate = calls_per_second(unpack), calls_per_second(pack)
        print(
            f"{lines:4} lines: "
            f"read {decode_rate:9.0f} (struct {unpack_rate:9.0f}, {unpack_rate / decode_rate:4.1f} times), "
            f"write {encode_rate:9.0f} (struct {pack_rate:9.0f}, {pack_rate / encode_rate:4.1f} times), "
            f"write with shared entries {shared_rate:9.0f} ({pack_rate / shared_rate:4.2f} times)"
        )


if __name__ == "__main__":
    sys.exit(main())
