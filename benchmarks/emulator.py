"""Speed of the emulator: virtual over real time, requests per CPU second, cost of a request by fleet size."""

import sys
import time

from rainpick.emulator.world import Shape, World
from rainpick.settings import parse

SETTINGS = """{
  zones: ["a", "b"], routes: [{name: "lookup", slo_time: "300ms", time_limit: "1s"}],
  proxies: {count: %d, hears_per_s: 80}, rules: {warm_after: "4s"},
}"""


def run(servers: int, proxies: int, requests_per_s: float, seconds: float) -> tuple[float, int]:
    """Return the CPU seconds that a fleet takes for ``seconds`` of virtual time, and its requests."""
    world = World(
        parse(SETTINGS % proxies), Shape(servers=servers, proxies=proxies, requests_per_s=requests_per_s), 1
    )
    world.begin()
    world.run(3)
    requests_before, begin = world.offered, time.process_time()
    world.run(seconds)
    return time.process_time() - begin, world.offered - requests_before


def main() -> None:
    cost_at_30_us = None
    for servers in (30, 100, 300, 1000):
        cpu_s, requests = run(servers, 3 * servers, 10.0 * servers, 10)
        cost_us = cpu_s / requests * 1e6
        cost_at_30_us = cost_at_30_us or cost_us
        print(
            f"{servers} servers, {3 * servers} proxies, {10 * servers} calls a second: "
            f"{10 / cpu_s:.2f} times real, {requests / cpu_s:.0f} calls a second on a core, "
            f"{cost_us:.0f} us a call, {cost_us / cost_at_30_us:.2f} times that at 30"
        )


if __name__ == "__main__":
    sys.exit(main())
