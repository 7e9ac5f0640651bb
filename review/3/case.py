"""The director's calls get no answer for 2 s; a host that drains 6 s after that keeps getting calls."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from deployments import BUSAN_INTERP  # noqa: E402
from world import World, run_case, trouble  # noqa: E402

SPELL_S = 2.0
HOST = "s-0001"


def case(folder):
    """Play the case; return whether the rule was broken."""
    world = World(folder, BUSAN_INTERP, hosts=12, proxies=8)
    try:
        world.start_director()
        world.start_clients()
        for proxy in world.proxies:
            world.relay.join(proxy)
        world.wait_for(lambda: all(proxy.bound for proxy in world.proxies), 10)
        time.sleep(15)
        if trouble():
            world.relay.spell = "lost-not-run"
        world.discovery.change("s-0000", lifecycle="Terminating")
        time.sleep(SPELL_S)
        world.relay.spell = ""
        if trouble() and not world.relay.calls_in_spell:
            raise RuntimeError("no call fell into the spell")
        time.sleep(4)
        world.end_host("s-0000")
        time.sleep(2)
        world.drain(HOST, 6)
        time.sleep(14)
        return world.summary(HOST)["sent_after_grace"] > 0
    finally:
        world.stop()


run_case(Path(__file__).parent, case)
