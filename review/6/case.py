"""Case 6: one spoilt answer of the relay ends the live director."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from harness import LOOPBACK, Case, free_ports, run_case, wait_for  # noqa: E402
from live_platform import Discovery, Relay, answers_heartbeat, entry, write_configuration  # noqa: E402

PROXIES = 12
SERVERS = 10
# Each takes the place of one answer: the field is absent, of another type, below and above its range.
SPOILT = (
    "{}",
    '{"ok_count":"two"}',
    '{"ok_count":-3}',
    '{"ok_count":1000000}',
    '{"ok_count":1e999}',
    '{"ok_count":1' + 309 * "0" + "}",
)


def play(case: Case) -> str | None:
    """Let proxies join, spoil single answers, and look whether the director still runs and withdraws."""
    discovery, relay = Discovery([entry(number) for number in range(SERVERS)]), Relay(case)
    listen = f"{LOOPBACK}:{free_ports(1)[0]}"
    known = discovery.versions[0]
    environment = write_configuration(case, listen, discovery.address, relay.address, known)
    director = case.start(case.command("run"), "director.log", env=environment)
    wait_for(lambda: answers_heartbeat(listen), "the first sign of life", 30)
    wait_for(lambda: relay.readers, "the request for news")
    for node in range(PROXIES):
        relay.attach(node)
    wait_for(lambda: len(relay.bound) == PROXIES, "the tables of all proxies")
    time.sleep(2)
    for number, spoilt in enumerate(SPOILT):
        if case.trouble:
            case.note("the next answer will be spoilt", kind=number, bytes=len(spoilt))
            relay.spoilt.append(spoilt)
        case.note("discovery tells of a drain", host=entry(number)["instanceId"])
        changes = [entry(number, "Terminating")]
        if number:  # the host before has been replaced: one of ten drains at a time
            changes.append(entry(number - 1, "Ready", time.time_ns() // 1_000_000))
        discovery.change(*changes)
        time.sleep(3)
        status, alive = director.poll(), answers_heartbeat(listen)
        host = entry(number)["instanceId"]
        case.note("looked", exit_status=status, alive=alive, withdrawn=host in relay.withdrawn)
        if status is not None:
            case.log_tail("director.log")
            return f"the director ended with status {status} after the spoilt answer of kind {number}"
    return None


if __name__ == "__main__":
    run_case(6, play)
