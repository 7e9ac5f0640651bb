"""How fast the emulator is: virtual over real time, calls a second on a core, the cost of a call by size."""

import sys
import time

from rainpick.emulator.world import Shape, World
from rainpick.settings import parse

TEXT = """{
  zones: ["a", "b"], routes: [{name: "lookup", slo_time: "300ms", time_limit: "1s"}],
  proxies: {count: %d, hears_per_s: 80}, rules: {warm_after: "4s"},
}"""


def run(servers: int, proxies: int, requests_per_s: float, seconds: float) -> tuple[float, int]:
    world = World(
        parse(TEXT % proxies), Shape(servers=servers, proxies=proxies, requests_per_s=requests_per_s), 1
    )
    world.begin()
    world.run(3)
    before, begin = world.offered, time.process_time()
    world.run(seconds)
    return time.process_time() - begin, world.offered - before


def main() -> None:
    base = None
    for servers in (30, 100, 300, 1000):
        took, calls = run(servers, 3 * servers, 10.0 * servers, 10)
        cost = took / calls * 1e6
        base = base or cost
        print(
            f"{servers} servers, {3 * servers} proxies, {10 * servers} calls a second: "
            f"{10 / took:.2f} times real, {calls / took:.0f} calls a second on a core, "
            f"{cost:.0f} us a call, {cost / base:.2f} times that at 30"
        )


if __name__ == "__main__":
    sys.exit(main())
