"""Case 9: a lost zone leaves the proxies of that zone, which have little to do, without any line."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from harness import LOOPBACK, Case, free_ports, run_case, wait_for  # noqa: E402
from live_platform import (  # noqa: E402
    SETTINGS,
    Discovery,
    Relay,
    answers_heartbeat,
    entry,
    write_configuration,
)

HOSTS, PROXIES = 28, 28  # half of each in either zone
BUSY_RATE, IDLE_RATE = 8.0, 0.0
BARE_S, SLACK_S = 2.8, 0.3
LOST_S, AFTER_S = 15.0, 3.0
CASE_SETTINGS = SETTINGS | {
    "domain": SETTINGS["domain"] | {"proxyCount": PROXIES},
    "penalties": {"crossZone": 0.06},
}


def watch(case: Case, relay: Relay, end_s: float) -> dict[int, float]:
    """Look ten times a second who has no line; return the longest time of each proxy without one."""
    since: dict[int, float] = {}
    longest: dict[int, float] = {}
    while case.now_s() < end_s:
        for node in range(PROXIES):
            if relay.open_lines(node):
                if node in since:
                    bare_s = case.now_s() - since.pop(node)
                    case.note("has a line again", proxy=node, after_s=round(bare_s, 1))
                continue
            if node not in since:
                since[node] = case.now_s()
                case.note("has no line", proxy=node)
            longest[node] = max(longest.get(node, 0.0), case.now_s() - since[node])
        time.sleep(0.1)
    return longest


def play(case: Case) -> str | None:
    """Lose all hosts of the second zone, and look which proxies have no line."""
    discovery, relay = Discovery([entry(number) for number in range(HOSTS)]), Relay(case)
    listen = f"{LOOPBACK}:{free_ports(1)[0]}"
    environment = write_configuration(
        case, listen, discovery.address, relay.address, discovery.versions[0], CASE_SETTINGS
    )
    case.start(case.command("run"), "director.log", env=environment)
    wait_for(lambda: answers_heartbeat(listen), "the first sign of life", 30)
    wait_for(lambda: relay.readers, "the request for news")
    for node in range(PROXIES):
        relay.attach(node, IDLE_RATE if node % 2 else BUSY_RATE)
    wait_for(lambda: len(relay.bound) == PROXIES, "the tables of all proxies")
    time.sleep(4)
    case.note("tables", lines={table: len(lines) for table, lines in relay.lines.items()})
    if case.trouble:
        case.note("the second zone is lost", hosts=HOSTS // 2, still_ready=HOSTS - HOSTS // 2)
        discovery.change(*(entry(number, "Gone") for number in range(1, HOSTS, 2)))
    longest = watch(case, relay, case.now_s() + LOST_S)
    if case.trouble:
        case.note("the second zone is back")
        started_ms = time.time_ns() // 1_000_000
        discovery.change(*(entry(number, "Ready", started_ms) for number in range(1, HOSTS, 2)))
    for node, seconds in watch(case, relay, case.now_s() + AFTER_S).items():
        longest[node] = max(seconds, longest.get(node, 0.0))
    bare = {node: round(seconds, 1) for node, seconds in longest.items() if seconds > BARE_S + SLACK_S}
    if not bare:
        return None
    return f"{len(bare)} proxies had no line for up to {max(bare.values())} s; {BARE_S} s is the limit"


if __name__ == "__main__":
    run_case(9, play)
