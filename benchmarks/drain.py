"""Time from a server's drain request to weight 0 at the last of 300 proxies, compared with the baseline."""

import statistics
import sys
import time

from benchmarks.peers import (
    FLEET,
    Baseline,
    Proxies,
    format_row,
    register_servers,
    start_director,
    temporary_folder,
    wait_for_listener,
)
from rainpick.sasp.constants import CONTACT, QUIESCE, SELF_REGISTERED
from rainpick.sasp.encoding import encode_group, encode_send_weights, encode_weight_entry
from rainpick.sasp.messages import Group, Member, MemberState, SetMemberState, StateGroup, WeightEntry

PROXIES, SERVERS, ROUNDS = 300, 120, 40


def member_state(port: int, quiesced: bool) -> SetMemberState:
    return SetMemberState((StateGroup(FLEET, (MemberState(Member.at("127.0.0.1", port), 0, quiesced),)),))


def drain_frames() -> list[bytes]:
    """Encode the frames that a director writes for a drain, one for each proxy."""
    flags = CONTACT | SELF_REGISTERED | QUIESCE
    entry = encode_weight_entry(WeightEntry(Member.at("127.0.0.1", 9000), 0, flags))
    groups = (encode_group(Group(f"edge-{number}", "servers")) for number in range(PROXIES))
    return [encode_send_weights(7, group, 1, entry) for group in groups]


def main() -> None:
    director, addresses, _ = start_director(
        temporary_folder(),
        proxies={"count": 1},
        rules={"warm_after": "1s"},
        channel={"lines_per_s": 1e9, "pending_lines": 1_000_000},  # disables the pacing
    )
    try:
        wait_for_listener(addresses["sasp"])
        servers = register_servers(addresses["sasp"], range(9000, 9000 + SERVERS))
        proxies = Proxies(addresses["sasp"], PROXIES)
        proxies.connect()
        proxies.wait_for_weights()
        baseline = Baseline(drain_frames())
        baseline_proxies = Proxies(baseline.address, PROXIES)
        baseline_proxies.connect()
        last_ms, baseline_last_ms, first_ms = [], [], []
        for round_number in range(ROUNDS):
            proxies.discard_until_idle(0.05)
            begin_ns = time.monotonic_ns()
            servers.send(member_state(9000 + round_number, True))
            received_ns = proxies.wait_for_weights()
            first_ms.append((received_ns[0] - begin_ns) / 1e6)
            last_ms.append((received_ns[-1] - begin_ns) / 1e6)
            begin_ns = time.monotonic_ns()
            baseline.trigger()
            baseline_last_ms.append((baseline_proxies.wait_for_weights()[-1] - begin_ns) / 1e6)
        print(f"{PROXIES} proxies, {SERVERS} servers, {ROUNDS} drains in turn with the floor, pacing off")
        print(format_row("director: until the first proxy has read it", first_ms, "ms"))
        print(format_row("director: until the last proxy has read it", last_ms, "ms"))
        print(format_row("floor: the same frames, made before", baseline_last_ms, "ms"))
        print(
            format_row(
                "ratio, pair by pair", [a / b for a, b in zip(last_ms, baseline_last_ms, strict=True)], ""
            )
        )
        print(f"ratio of medians {statistics.median(last_ms) / statistics.median(baseline_last_ms):.2f}")
        baseline.close()
    finally:
        director.terminate()
        director.wait(10)


if __name__ == "__main__":
    sys.exit(main())
