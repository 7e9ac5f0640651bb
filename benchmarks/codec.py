"""Frames a second of the SASP codec, beside struct alone on the same bytes."""

import struct
import sys
import time

from rainpick.sasp.constants import CONFIDENT, CONTACT
from rainpick.sasp.encoding import encode_group, encode_message, encode_send_weights, encode_weight_entry
from rainpick.sasp.framing import FrameReader
from rainpick.sasp.messages import Group, Member, SendWeights, WeightEntry, WeightGroup
from rainpick.sasp.wire import MESSAGE_HEADER

MEMBER = struct.Struct(">HHHHBH16sBBBH")  # weight entry and its member without a label


def message(lines: int) -> SendWeights:
    members = (Member.at("127.0.0.1", 9000 + port) for port in range(lines))
    entries = tuple(WeightEntry(member, 4096, CONTACT | CONFIDENT) for member in members)
    return SendWeights((WeightGroup(Group("edge-1", "servers"), entries),))


def rate(work, seconds: float = 1.0) -> float:
    count, end = 0, time.perf_counter() + seconds
    begin = time.perf_counter()
    while time.perf_counter() < end:
        for _ in range(20):
            work()
        count += 20
    return count / (time.perf_counter() - begin)


def main() -> None:
    print("frames a second; `struct` packs or unpacks the same fields and checks nothing")
    for lines in (1, 12, 120):
        sent = message(lines)
        data = encode_message(sent, 7)
        rows = b"".join(encode_weight_entry(entry) for entry in sent.groups[0].entries)
        at = data.index(rows)

        def read(data=data):
            framer = FrameReader(1 << 20)
            framer.feed(data)
            return framer.next()

        def bare_read(data=data, at=at, lines=lines):
            MESSAGE_HEADER.unpack_from(data)
            return [MEMBER.unpack_from(data, at + MEMBER.size * line) for line in range(lines)]

        fields = [MEMBER.unpack_from(rows, MEMBER.size * line) for line in range(lines)]

        def bare_write(fields=fields, data=data):
            rows = b"".join(MEMBER.pack(*row) for row in fields)
            return MESSAGE_HEADER.pack(0x2010, 13, 1, len(data), 7) + rows

        group = encode_group(sent.groups[0].group)

        def shared(rows=rows, lines=lines, group=group):
            return encode_send_weights(7, group, lines, rows)

        assert bare_write()[13:] == rows and shared() == data
        one, two, three = rate(read), rate(lambda: encode_message(sent, 7)), rate(shared)  # noqa: B023
        four, five = rate(bare_read), rate(bare_write)
        print(
            f"{lines:4} lines: read {one:9.0f} (struct {four:9.0f}, {four / one:4.1f} times), "
            f"write {two:9.0f} (struct {five:9.0f}, {five / two:4.1f} times), "
            f"write with shared entries {three:9.0f} ({five / three:4.2f} times)"
        )


if __name__ == "__main__":
    sys.exit(main())
