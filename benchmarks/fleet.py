"""Resource use of a director with 120 servers, 300 proxies and a report every second; timing of drains."""

import os
import sys
import threading
import time

from benchmarks.peers import format_row, temporary_folder
from rainpick.rules import read_logs
from rainpick.settings import parse
from rainpick.simulated_peers.day import Day, DirectorProcess
from rainpick.simulated_peers.scenario import Scenario

SCENARIO = """{
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
LENGTH_S, CLOCK_TICKS_PER_S = 45, os.sysconf("SC_CLK_TCK")


def process_usage(pid: int) -> tuple[float, float, int]:
    """Return the CPU seconds, the resident megabytes and the number of threads of a process."""
    fields = open(f"/proc/{pid}/stat").read().rpartition(")")[2].split()  # noqa: SIM115
    pages = int(open(f"/proc/{pid}/statm").read().split()[1])  # noqa: SIM115
    cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
    return cpu_s, pages * os.sysconf("SC_PAGE_SIZE") / 1e6, int(fields[17])


def main() -> None:
    events = ",".join(
        f'{{at: "{10 + 3 * index}s", do: "drain", servers: [{7 * index}]}}' for index in range(10)
    )
    scenario = parse(SCENARIO % {"length": LENGTH_S, "events": events}, "fleet", Scenario)
    day = Day(scenario, temporary_folder(), DirectorProcess)
    samples, ended = [], threading.Event()

    def sample_usage() -> None:
        while not ended.wait(1.0):
            if day.directors and day.directors[0].process.poll() is None:
                samples.append((time.monotonic(), *process_usage(day.directors[0].process.pid)))

    threading.Thread(target=sample_usage, daemon=True).start()
    last_status = {}

    def store_status(_, text, statuses) -> None:
        for status in statuses:
            if status:
                last_status.update(status)

    verdict = day.play(store_status)
    ended.set()
    steady = [sample for sample in samples if sample[0] > samples[0][0] + 10][:-3]
    cpu = (steady[-1][1] - steady[0][1]) / (steady[-1][0] - steady[0][0])
    print(
        f"director: {cpu:.2f} of a core, {max(sample[2] for sample in steady):.0f} MB resident, "
        f"{max(sample[3] for sample in steady)} threads"
    )
    inbox = last_status["inbox"]
    mean_ms = inbox["sum_us"] / max(1, inbox["count"]) / 1e3
    print(
        f"events for the core: {inbox['count']}, mean wait {mean_ms:.2f} ms, "
        f"longest {inbox['most_us'] / 1e3:.1f} ms"
    )
    print(f"reports: {last_status['reports']}")
    logs = read_logs(day.folder)
    drains = {
        (event["s"], event["t"]) for event in logs if event["k"] == "said" and event["what"] == "draining"
    }
    proxy_delays_ms, last_attempt_delays_ms, last_proxy_delays_ms = [], [], []
    for server, begin_us in sorted(drains, key=lambda drain: drain[1]):
        received_us = [
            event["t"]
            for event in logs
            if event["k"] == "weights" and event["t"] >= begin_us
            for name, weight, _ in event["m"]
            if name == server and not weight
        ]
        attempts_us = [
            event["t"]
            for event in logs
            if event["k"] == "try" and event["s"] == server and event["t"] > begin_us
        ]
        proxy_delays_ms += [(time_us - begin_us) / 1e3 for time_us in received_us]
        last_proxy_delays_ms.append((max(received_us) - begin_us) / 1e3)
        last_attempt_delays_ms.append((max(attempts_us, default=begin_us) - begin_us) / 1e3)
    print(format_row("drain told until a proxy has read it", proxy_delays_ms, "ms"))
    print(format_row("drain told until its last proxy has read it", last_proxy_delays_ms, "ms"))
    print(format_row("drain told until its last call began", last_attempt_delays_ms, "ms"))
    print(
        f"proxies a drain: {len(proxy_delays_ms) / len(drains):.0f}; pace of the settings for them: "
        f"{len(proxy_delays_ms) / len(drains) * 7 / 2500 * 1e3:.0f} ms"
    )
    print(
        f"service {verdict.service_ratio():.4f}; rules kept: {verdict.passed}; "
        + ", ".join(f"{rule.name} {rule.highest_ratio:.0%}" for rule in verdict.rules)
    )


if __name__ == "__main__":
    sys.exit(main())
