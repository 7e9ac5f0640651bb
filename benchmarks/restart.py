"""300 proxies dial a director that has just started from its cached list: until all hold their table."""

import statistics
import sys
import time

from benchmarks.peers import Floor, Proxies, folder, launch, member_stream, row, start_director, wait_for
from rainpick.sasp.constants import CONFIDENT, CONTACT, SELF_REGISTERED
from rainpick.sasp.encoding import encode_group, encode_message, encode_send_weights, encode_weight_entry
from rainpick.sasp.messages import Group, Member, MemberGroup, Registration, SetLbState, WeightEntry

MANY, SERVERS, ROUNDS = 300, 120, 7


def frames() -> list[bytes]:
    flags = CONTACT | SELF_REGISTERED | CONFIDENT
    entries = b"".join(
        encode_weight_entry(WeightEntry(Member.at("127.0.0.1", 9000 + port), 4096, flags))
        for port in range(SERVERS)
    )
    groups = (encode_group(Group(f"edge-{number}", "servers")) for number in range(MANY))
    return [encode_send_weights(7, group, SERVERS, entries) for group in groups]


def hello() -> int:
    """Bytes of the two requests of the proxy with the shortest UID: all of them have come by then."""
    return len(encode_message(SetLbState("edge-0"))) + len(
        encode_message(Registration((MemberGroup(Group("edge-0", "servers")),), True))
    )


def main() -> None:
    place = folder()
    director, places, config = start_director(
        place,
        proxies={"count": 1},
        director={"settle": "200ms", "list_cache": str(place / "list.json")},
        channel={"lines_per_s": 1e9, "pending_lines": 10_000_000},
    )
    ours, dialled, theirs = [], [], []
    try:
        wait_for(places["sasp"])
        fleet = member_stream(places["sasp"], range(9000, 9000 + SERVERS))
        time.sleep(1.0)  # the cached list is written
        for _ in range(ROUNDS):
            director.kill()
            director.wait()
            fleet.close()
            director = launch(config)
            wait_for(places["sasp"])
            fleet = member_stream(places["sasp"], range(9000, 9000 + SERVERS))
            proxies = Proxies(places["sasp"], MANY)
            begin = time.monotonic_ns()
            proxies.dial()
            dialled.append((time.monotonic_ns() - begin) / 1e6)
            ours.append((proxies.pushed()[-1] - begin) / 1e6)
            proxies.close()
            floor = Floor(frames(), hello(), told=False)
            side = Proxies(floor.place, MANY)
            begin = time.monotonic_ns()
            side.dial()
            theirs.append((side.pushed()[-1] - begin) / 1e6)
            side.close()
            floor.close()
        print(f"{MANY} proxies dial at once, tables of {SERVERS} lines, {ROUNDS} restarts and floors in turn")
        print(row("all have dialled", dialled, "ms"))
        print(row("director: until the last proxy holds its table", ours, "ms"))
        print(row("floor: accept, read two requests, write", theirs, "ms"))
        print(f"ratio of medians {statistics.median(ours) / statistics.median(theirs):.2f}")
    finally:
        director.kill()
        director.wait()


if __name__ == "__main__":
    sys.exit(main())
