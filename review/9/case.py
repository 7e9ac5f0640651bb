"""Case 9: hosts of one zone are ejected together, and a route that keeps to its zone has no line there."""

import contextlib
import json
import random
import socket
import sys
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

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

ZONES = ("gasan", "sangam", "pangyo", "songdo")
HOSTS_BY_ZONE = (5, 5, 5, 3)
HOME = "songdo"
PROXIES = 16
BARE_S, SLACK_S = 2.8, 0.3
BAD_AFTER_S, BAD_S = 8.0, 28.0
FAILING = 0.75
CALLS_PER_S = 45  # of each zone; commits are 31% of them
COMMITS, ANSWER_MS = 0.31, 105.0
REPORT_LATE_S = 0.5  # the pages: 250 to 1,300 ms; 72 report lines a second, where the intake is 75
CASE_SETTINGS = SETTINGS | {
    "failureDomains": list(ZONES),
    "domain": SETTINGS["domain"]
    | {
        "lbMethod": "lottery",
        "proxyCount": PROXIES,
        "classOwnZone": [False, True],
        "mutating": [False, True],
    },
    "penalties": {"crossZone": 0.06},
}
ZONE_OF = {
    entry(number)["instanceId"]: zone
    for number, zone in enumerate(
        zone for zone, count in zip(ZONES, HOSTS_BY_ZONE, strict=True) for _ in range(count)
    )
}


def listed() -> list[dict[str, Any]]:
    """Return the list, with the zones of this case."""
    hosts = [entry(number) for number in range(len(ZONE_OF))]
    return [host | {"zone": ZONE_OF[host["instanceId"]]} for host in hosts]


class Zone:
    """The proxies of a zone with their clients, and the zone's collector."""

    def __init__(self, case: Case, relay: Relay, listen: str, name: str, node: int):
        self.case, self.relay, self.name, self.node = case, relay, name, node
        self.draw = random.Random(name)
        self.bad: set[str] = set()
        self.refused = 0
        host, _, port = listen.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), 3.0)
        self.send({"t": "telemetry", "locality": name})
        threading.Thread(target=self.serve, daemon=True).start()

    def send(self, message: dict[str, Any]) -> None:
        """Send a message to the director."""
        body = json.dumps(message).encode()
        self.sock.sendall(len(body).to_bytes(4, "little") + body)

    def lines(self, own_zone: bool) -> dict[str, float]:
        """Return the open lines of a proxy with their weights, all or those of its zone."""
        lines = self.relay.open_lines(self.node).items()
        return {host: weight for host, weight in lines if not own_zone or ZONE_OF[host] == self.name}

    def serve(self) -> None:
        """Send calls to hosts, picked by weight, for a second; then report late what was met there."""
        while True:
            tries: Counter[str] = Counter()
            errors: Counter[str] = Counter()
            for _ in range(CALLS_PER_S):
                hosts = self.lines(self.draw.random() < COMMITS)
                if not hosts:
                    self.refused += 1
                else:
                    host = self.draw.choices(list(hosts), list(hosts.values()))[0]
                    tries[host] += 1
                    errors[host] += host in self.bad and self.draw.random() < FAILING
                time.sleep(1 / CALLS_PER_S)
            threading.Timer(REPORT_LATE_S, self.report, (tries, errors)).start()

    def report(self, tries: Counter[str], errors: Counter[str]) -> None:
        """Let the collector forward what was met at each host."""
        with contextlib.suppress(OSError):
            for host, total in tries.items():
                self.send(
                    {
                        "t": "upstream_stats",
                        "locality": self.name,
                        "endpoint": host,
                        "total": total,
                        "errors": errors[host],
                        "rtt": ANSWER_MS,
                        "interval": 1000.0,
                    }
                )


def play(case: Case) -> str | None:
    """Let the hosts of one zone fail most calls fast, and look whether commits there have a line."""
    discovery, relay = Discovery(listed()), Relay(case)
    listen = f"{LOOPBACK}:{free_ports(1)[0]}"
    environment = write_configuration(
        case, listen, discovery.address, relay.address, discovery.versions[0], CASE_SETTINGS
    )
    director = case.start(case.command("run"), "director.log", env=environment)
    wait_for(lambda: answers_heartbeat(listen), "the first sign of life", 30)
    wait_for(lambda: relay.readers, "the request for news")
    for node in range(PROXIES):
        relay.attach(node, 11.0, ZONES[node % len(ZONES)])
    wait_for(lambda: len(relay.bound) == PROXIES, "the tables of all proxies")
    zones = [Zone(case, relay, listen, name, node) for node, name in enumerate(ZONES)]
    time.sleep(BAD_AFTER_S)
    bad = {host for host, zone in ZONE_OF.items() if zone == HOME}
    if case.trouble:
        case.note("hosts begin to fail calls fast", hosts=len(bad), of=len(ZONE_OF), share=FAILING)
        for zone in zones:
            zone.bad = bad
    home = zones[ZONES.index(HOME)]
    longest, since = 0.0, None
    end_s = case.now_s() + BAD_S
    while case.now_s() < end_s:
        if home.lines(own_zone=True):
            if since is not None:
                case.note("commits have a line again", after_s=round(case.now_s() - since, 2))
            since = None
        else:
            if since is None:
                since = case.now_s()
                case.note("commits have no line", zone=HOME)
            longest = max(longest, case.now_s() - since)
        time.sleep(0.05)
    case.require_running(director)
    case.note("calls refused for lack of a line", **{zone.name: zone.refused for zone in zones})
    if longest <= BARE_S + SLACK_S:
        return None
    return f"commits of {HOME} had no line for {longest:.1f} s; {BARE_S} s is the limit"


if __name__ == "__main__":
    run_case(9, play)
