"""Case 7: a rolling deploy gives slices with a single owner to a second host while the first has writes."""

import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from harness import Case, run_case  # noqa: E402
from simulator import DELTA, DRAINING, GONE, READY, Simulator, host_address, name  # noqa: E402

HOSTS, SLICES, PROXIES = 6, 6, 6
WRITE_EVERY_US = 200_000  # of each slice at each proxy: 180 a second in all
FIRST_DRAIN_S, DRAIN_EVERY_S, DRAINS = 6.0, 6.0, 4
GONE_AFTER_S, SUCCESSOR_AFTER_S = 3.0, 4.0  # after the drain, so that one of six hosts is away at a time
SETTINGS = {
    "az": 0,
    "me": 0,
    "fleetSize": 1,
    "discovery": "pushed",
    "family": "control",
    "failureDomains": "gasan,sangam",
    "machineTypes": "two-core,three-core",
    "roundUs": 4000,
    "weightKind": "nominal",
    "domain.admit": "silent",
    "domain.bareUs": 2800000,
    "domain.byZone": "false",
    "domain.defaultRetry": 0,
    "domain.defaultSize": 5,
    "domain.head": 6.0,
    "domain.hearsPerS": 75.0,
    "domain.lateUs": 179000,
    "domain.lbMethod": "lottery",
    "domain.linesPerS": 2500.0,
    "domain.mutating": "false,true",
    "domain.oneOwner": "true",
    "domain.pendingMax": 5000.0,
    "domain.proxyCount": PROXIES,
    "domain.pushesAllowed": 0,
    "domain.countedOverUs": 10000000,
    "domain.ranges": SLICES,
    "domain.reportEveryUs": 500000,
    "domain.tenureUs": 2500000,
    "domain.transitMaxUs": 447500,
    "domain.waitsForTableUs": 300000,
    "domain.writeLifeUs": 1020000,
    "grades.count": 2,
    "grades.0.name": "lookup",
    "grades.0.repeat": "safe",
    "grades.0.sloUs": 750000,
    "grades.0.hardLimitUs": 2000000,
    "grades.0.worth": 1.0,
    "grades.1.name": "commit",
    "grades.1.repeat": "unsafe",
    "grades.1.sloUs": 400000,
    "grades.1.hardLimitUs": 1000000,
    "grades.1.worth": 5.0,
    "safety.drainGraceUs": 2700000,
    "safety.fallMultiple": 3.0,
    "safety.fallUs": 1500000,
    "safety.startCapacity": 0.16,
    "safety.warmAfterUs": 12000000,
}


def play(case: Case) -> str | None:
    """Let proxies write to slices, drain hosts one after another, and look at every write."""
    sim = case.start(case.command("sim"), "sim.log", stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    simulator = Simulator(case, sim, SETTINGS)
    simulator.start(list(range(HOSTS)))
    for proxy in simulator.proxies:
        for slice_ in range(SLICES):
            simulator.write_steadily(proxy, slice_, WRITE_EVERY_US)
    ready = list(range(HOSTS))
    for step in range(DRAINS):
        simulator.run_until(FIRST_DRAIN_S + step * DRAIN_EVERY_S)
        owned = list(simulator.proxies[0].lines.values())
        drained = max(ready, key=lambda number: owned.count(host_address(number)))
        ready.remove(drained)
        if case.trouble:
            case.note("the list tells of a drain", host=name(host_address(drained)))
            simulator.tell_hosts([(drained, DRAINING)], DELTA)
            began_s = FIRST_DRAIN_S + step * DRAIN_EVERY_S
            simulator.run_until(began_s + GONE_AFTER_S)
            simulator.tell_hosts([(drained, GONE)], DELTA)
            simulator.run_until(began_s + SUCCESSOR_AFTER_S)
            simulator.tell_hosts([(HOSTS + step, READY)], DELTA, simulator.now_us())
    simulator.run_until(FIRST_DRAIN_S + DRAINS * DRAIN_EVERY_S)
    slices = simulator.slices
    case.note("writes", taken=slices.taken, refused=simulator.refused, breaches=len(slices.breaches))
    if slices.taken < 500:
        raise RuntimeError("too few writes were taken")
    return f"{len(slices.breaches)} writes, the first: {slices.breaches[0]}" if slices.breaches else None


if __name__ == "__main__":
    run_case(7, play)
