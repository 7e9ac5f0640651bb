"""120 servers and 300 proxies with reports every second: what the director needs, how drains end."""

import os
import sys
import threading
import time

from benchmarks.peers import folder, row
from rainpick.rules import read_logs
from rainpick.settings import parse
from rainpick.simulated_peers.day import Day, DirectorProcess
from rainpick.simulated_peers.scenario import Scenario

TEXT = """{
  name: "fleet", length: "%(length)ds", seed: 3, servers: 120, proxies: 300, edge_processes: 4,
  calls_per_s: 600,
  zones: ["a", "b", "c"], standing: 6, client_repeats: 0,
  routes: [{name: "lookup", work: "20ms", slo_time: "500ms", time_limit: "2s"}],
  settings: {
    channel: {lines_per_s: 2500, head_lines: 6, pending_lines: 5000}, log: {level: "warning"},
    proxies: {hears_per_s: 80}, rules: {warm_after: "8s"},
  },
  events: [%(events)s],
}"""
LENGTH, TICKS = 45, os.sysconf("SC_CLK_TCK")


def usage(pid: int) -> tuple[float, float, int]:
    """CPU seconds, resident megabytes, threads."""
    fields = open(f"/proc/{pid}/stat").read().rpartition(")")[2].split()  # noqa: SIM115
    pages = int(open(f"/proc/{pid}/statm").read().split()[1])  # noqa: SIM115
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS
    return cpu_s, pages * os.sysconf("SC_PAGE_SIZE") / 1e6, int(fields[17])


def main() -> None:
    events = ",".join(f'{{at: "{10 + 3 * turn}s", do: "drain", servers: [{7 * turn}]}}' for turn in range(10))
    scenario = parse(TEXT % {"length": LENGTH, "events": events}, "fleet", Scenario)
    day = Day(scenario, folder(), DirectorProcess)
    samples, ended = [], threading.Event()

    def sample() -> None:
        while not ended.wait(1.0):
            if day.directors and day.directors[0].process.poll() is None:
                samples.append((time.monotonic(), *usage(day.directors[0].process.pid)))

    threading.Thread(target=sample, daemon=True).start()
    last = {}

    def look(_, text, looks) -> None:
        for one in looks:
            if one:
                last.update(one)

    verdict = day.play(look)
    ended.set()
    steady = [row for row in samples if row[0] > samples[0][0] + 10][:-3]
    cpu = (steady[-1][1] - steady[0][1]) / (steady[-1][0] - steady[0][0])
    print(
        f"director: {cpu:.2f} of a core, {max(row[2] for row in steady):.0f} MB resident, "
        f"{max(row[3] for row in steady)} threads"
    )
    inbox = last["inbox"]
    mean_ms = inbox["sum_us"] / max(1, inbox["count"]) / 1e3
    print(
        f"events for the core: {inbox['count']}, mean wait {mean_ms:.2f} ms, "
        f"longest {inbox['most_us'] / 1e3:.1f} ms"
    )
    print(f"reports: {last['reports']}")
    logs = read_logs(day.folder)
    drained = {
        (event["s"], event["t"]) for event in logs if event["k"] == "said" and event["what"] == "draining"
    }
    reads, stops, shares = [], [], []
    for server, told in sorted(drained, key=lambda pair: pair[1]):
        read = [
            event["t"]
            for event in logs
            if event["k"] == "weights" and event["t"] >= told
            for name, weight, _ in event["m"]
            if name == server and not weight
        ]
        tries = [
            event["t"] for event in logs if event["k"] == "try" and event["s"] == server and event["t"] > told
        ]
        reads += [(moment - told) / 1e3 for moment in read]
        shares.append((max(read) - told) / 1e3)
        stops.append((max(tries, default=told) - told) / 1e3)
    print(row("drain told until a proxy has read it", reads, "ms"))
    print(row("drain told until its last proxy has read it", shares, "ms"))
    print(row("drain told until its last call began", stops, "ms"))
    print(
        f"proxies a drain: {len(reads) / len(drained):.0f}; pace of the settings for them: "
        f"{len(reads) / len(drained) * 7 / 2500 * 1e3:.0f} ms"
    )
    print(
        f"service {verdict.service_ratio():.4f}; rules kept: {verdict.passed}; "
        + ", ".join(f"{rule.name} {rule.highest_ratio:.0%}" for rule in verdict.rules)
    )


if __name__ == "__main__":
    sys.exit(main())
