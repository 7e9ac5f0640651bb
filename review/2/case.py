"""For one second calls are carried out, but reset before their answer; later a host drains."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from deployments import TM_KOREA  # noqa: E402
from world import World, run_case, trouble  # noqa: E402

SPELL_S = 1.0
HOST = "s-0005"


def case(folder):
    """Play the case; return whether the rule was broken."""
    world = World(folder, TM_KOREA, hosts=18, proxies=16, late_s=0.179)
    try:
        world.start_director()
        world.start_clients()
        for proxy in world.proxies:
            world.relay.join(proxy)
        world.wait_for(lambda: all(proxy.bound for proxy in world.proxies), 10)
        time.sleep(10)
        if trouble():
            world.relay.spell = "reset-run"
        for number in range(2):  # a step of a deploy: with the host below 3 of 18, at most 18% at a time
            world.discovery.change(f"s-{number:04x}", lifecycle="Terminating")
        time.sleep(SPELL_S)
        world.relay.spell = ""
        if trouble() and not world.relay.calls_in_spell:
            raise RuntimeError("no call fell into the spell")
        time.sleep(5)
        for number in range(2):
            world.end_host(f"s-{number:04x}")
        world.drain(HOST, 6)
        time.sleep(14)
        world.summary(HOST, limit=world.domain["pendingMax"])
        return world.relay.peak_waiting > world.domain["pendingMax"]
    finally:
        world.stop()


run_case(Path(__file__).parent, case)
