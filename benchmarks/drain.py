"""A drain told at the member's socket until the last of 300 proxies has read weight 0, beside the floor."""

import statistics
import sys
import time

from benchmarks.peers import FLEET, Floor, Proxies, folder, member_stream, row, start_director, wait_for
from rainpick.sasp.constants import CONTACT, QUIESCE, SELF_REGISTERED
from rainpick.sasp.encoding import encode_group, encode_send_weights, encode_weight_entry
from rainpick.sasp.messages import Group, Member, MemberState, SetMemberState, StateGroup, WeightEntry

MANY, SERVERS, ROUNDS = 300, 120, 40


def said(port: int, on: bool) -> SetMemberState:
    return SetMemberState((StateGroup(FLEET, (MemberState(Member.at("127.0.0.1", port), 0, on),)),))


def frames() -> list[bytes]:
    """What a director writes for a drain."""
    flags = CONTACT | SELF_REGISTERED | QUIESCE
    entry = encode_weight_entry(WeightEntry(Member.at("127.0.0.1", 9000), 0, flags))
    groups = (encode_group(Group(f"edge-{number}", "servers")) for number in range(MANY))
    return [encode_send_weights(7, group, 1, entry) for group in groups]


def main() -> None:
    director, places, _ = start_director(
        folder(),
        proxies={"count": 1},
        rules={"warm_after": "1s"},
        channel={"lines_per_s": 1e9, "pending_lines": 1_000_000},
    )  # the pacing of the settings is off
    try:
        wait_for(places["sasp"])
        fleet = member_stream(places["sasp"], range(9000, 9000 + SERVERS))
        proxies = Proxies(places["sasp"], MANY)
        proxies.dial()
        proxies.pushed()
        floor = Floor(frames())
        floor_side = Proxies(floor.place, MANY)
        floor_side.dial()
        ours, theirs, first = [], [], []
        for turn in range(ROUNDS):
            proxies.drain_quiet(0.05)
            begin = time.monotonic_ns()
            fleet.send(said(9000 + turn, True))
            moments = proxies.pushed()
            first.append((moments[0] - begin) / 1e6)
            ours.append((moments[-1] - begin) / 1e6)
            begin = time.monotonic_ns()
            floor.tell()
            theirs.append((floor_side.pushed()[-1] - begin) / 1e6)
        print(f"{MANY} proxies, {SERVERS} servers, {ROUNDS} drains in turn with the floor, pacing off")
        print(row("director: until the first proxy has read it", first, "ms"))
        print(row("director: until the last proxy has read it", ours, "ms"))
        print(row("floor: the same frames, made before", theirs, "ms"))
        print(row("ratio, pair by pair", [a / b for a, b in zip(ours, theirs, strict=True)], ""))
        print(f"ratio of medians {statistics.median(ours) / statistics.median(theirs):.2f}")
        floor.close()
    finally:
        director.terminate()
        director.wait(10)


if __name__ == "__main__":
    sys.exit(main())
