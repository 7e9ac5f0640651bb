"""Time until 300 proxies have their tables after connecting to a director restarted from its cached list."""

import statistics
import sys
import time

from benchmarks.peers import (
    Baseline,
    Proxies,
    format_row,
    launch_director,
    register_servers,
    start_director,
    temporary_folder,
    wait_for_listener,
)
from rainpick.sasp.constants import CONFIDENT, CONTACT, SELF_REGISTERED
from rainpick.sasp.encoding import encode_group, encode_message, encode_send_weights, encode_weight_entry
from rainpick.sasp.messages import Group, Member, MemberGroup, Registration, SetLbState, WeightEntry

PROXIES, SERVERS, ROUNDS = 300, 120, 7


def table_frames() -> list[bytes]:
    """Encode the frames that a director writes after a restart, one whole table for each proxy."""
    flags = CONTACT | SELF_REGISTERED | CONFIDENT
    entries = b"".join(
        encode_weight_entry(WeightEntry(Member.at("127.0.0.1", 9000 + port), 4096, flags))
        for port in range(SERVERS)
    )
    groups = (encode_group(Group(f"edge-{number}", "servers")) for number in range(PROXIES))
    return [encode_send_weights(7, group, SERVERS, entries) for group in groups]


def shortest_request_bytes() -> int:
    """Return the size of both requests of the proxy with the shortest UID.

    Every proxy sends at least as many bytes, so the baseline can read this number from each of them.
    """
    return len(encode_message(SetLbState("edge-0"))) + len(
        encode_message(Registration((MemberGroup(Group("edge-0", "servers")),), True))
    )


def main() -> None:
    folder = temporary_folder()
    director, addresses, settings_file = start_director(
        folder,
        proxies={"count": 1},
        director={"settle": "200ms", "list_cache": str(folder / "list.json")},
        channel={"lines_per_s": 1e9, "pending_lines": 10_000_000},
    )
    last_ms, connected_ms, baseline_last_ms = [], [], []
    try:
        wait_for_listener(addresses["sasp"])
        servers = register_servers(addresses["sasp"], range(9000, 9000 + SERVERS))
        time.sleep(1.0)  # for the director to write the cached list
        for _ in range(ROUNDS):
            director.kill()
            director.wait()
            servers.close()
            director = launch_director(settings_file)
            wait_for_listener(addresses["sasp"])
            servers = register_servers(addresses["sasp"], range(9000, 9000 + SERVERS))
            proxies = Proxies(addresses["sasp"], PROXIES)
            begin_ns = time.monotonic_ns()
            proxies.connect()
            connected_ms.append((time.monotonic_ns() - begin_ns) / 1e6)
            last_ms.append((proxies.wait_for_weights()[-1] - begin_ns) / 1e6)
            proxies.close()
            baseline = Baseline(table_frames(), shortest_request_bytes(), triggered=False)
            baseline_proxies = Proxies(baseline.address, PROXIES)
            begin_ns = time.monotonic_ns()
            baseline_proxies.connect()
            baseline_last_ms.append((baseline_proxies.wait_for_weights()[-1] - begin_ns) / 1e6)
            baseline_proxies.close()
            baseline.close()
        print(
            f"{PROXIES} proxies dial at once, tables of {SERVERS} lines, {ROUNDS} restarts and floors in turn"
        )
        print(format_row("all have dialled", connected_ms, "ms"))
        print(format_row("director: until the last proxy holds its table", last_ms, "ms"))
        print(format_row("floor: accept, read two requests, write", baseline_last_ms, "ms"))
        print(f"ratio of medians {statistics.median(last_ms) / statistics.median(baseline_last_ms):.2f}")
    finally:
        director.kill()
        director.wait()


if __name__ == "__main__":
    sys.exit(main())
