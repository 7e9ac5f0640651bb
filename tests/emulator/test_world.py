"""The very engine in virtual time: runs repeat to the byte, drains are kept, slow servers get less."""

import os
import subprocess
import sys

import pytest

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.director.tables import OPEN, SHUT, Line
from rainpick.emulator.chance import Chance
from rainpick.emulator.proxy import Proxy
from rainpick.emulator.server import Kind
from rainpick.emulator.world import Shape, World
from rainpick.settings import parse

TEXT = """{
  zones: ["a", "b"], machines: ["x"], routes: [{name: "lookup", slo_time: "300ms", time_limit: "1s"}],
  proxies: {count: 8, hears_per_s: 200}, rules: {warm_after: "4s", drain_grace: "2s", start_capacity: 0.2},
}"""
SEED_RUN = """
from tests.emulator.test_world import world
one = world(5)
one.run(6)
print(sorted(one.outcomes.items()), one.in_slo, one.heap.count, one.engine.counts.__dict__)
"""


def world(seed=1, module=Director, **words):
    one = World(parse(TEXT), Shape(**words), seed, module)
    one.begin()
    return one


def test_a_quiet_day_is_served_and_the_queueing_is_what_is_left():
    one = world()
    one.run(20)
    assert one.service() > 0.98 and one.outcomes["no line"] == 0
    assert 0.95 < one.offered / (20 * 400) < 1.05


def test_the_same_seed_is_the_same_run_in_another_process_with_another_hash_seed():
    found = {
        subprocess.run(
            [sys.executable, "-c", SEED_RUN],
            text=True,
            capture_output=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "2", "3")
    }
    assert len(found) == 1 and "answered" in found.pop()


@pytest.mark.parametrize("pick", ["lottery", "wheel", "pair"])
def test_a_drain_is_kept_within_the_grace_by_every_way_to_pick(pick):
    one, sent = world(pick=pick), []
    one.listeners.append(lambda now, what, server, proxy: sent.append((now, server)))
    one.run(3)
    name = ("10.0.0.1", 1026)
    one.drain(name)
    told = one.heap.now + one.shape.list_delay_us
    one.run(6)
    last = max(now for now, server in sent if server == name)
    assert told - 300_000 < last < told + 2_000_000
    assert one.outcomes["no line"] == 0


class Deaf(Director):
    """A director that never withdraws: the check on drains must find it."""

    def step(self, now, events):
        return [
            order
            for order in super().step(now, events)
            if not (
                type(order) is model.SetWithdrawn
                and order.withdrawn
                or type(order) is model.SetWeight
                and not order.weight
            )
        ]


def test_a_director_that_withdraws_nothing_goes_on_sending():
    one, sent = world(module=Deaf), []
    one.listeners.append(lambda now, what, server, proxy: sent.append((now, server)))
    one.run(3)
    one.drain(("10.0.0.1", 1026))
    one.run(6)
    assert max(now for now, server in sent if server == ("10.0.0.1", 1026)) > one.heap.now - 1_000_000


def test_a_server_that_drops_all_is_shut_out_and_comes_back():
    one = world()
    one.run(4)
    name = ("10.0.0.1", 1030)
    one.servers[name].stop()  # it dies, and the list says nothing
    one.run(8)
    open_to = sum(bool(proxy.lines.get(name)) for proxy in one.proxies.values())
    assert open_to <= 2
    one.servers[name].start()
    one.run(30)
    assert sum(bool(proxy.lines.get(name)) for proxy in one.proxies.values()) >= 6


def test_a_cold_server_gets_its_part_and_is_not_pushed_over():
    one, sent = world(kinds=(Kind(warm_us=4_000_000, start_capacity=0.2),)), []
    one.listeners.append(lambda now, what, server, proxy: sent.append((now, server)))
    one.run(3)
    name = ("10.0.0.1", 1027)
    one.stop(name)
    one.run(2)
    one.start(name)
    begin = one.heap.now
    one.run(12)
    early = sum(server == name for now, server in sent if begin + 300_000 < now < begin + 1_800_000)
    late = sum(server == name for now, server in sent if now > begin + 9_000_000) / 2
    assert 0 < early < 0.6 * late, (early, late)


def test_overload_ends_in_drops_and_keeps_its_memory():
    one = world(calls_per_s=4_000.0, servers=6)
    one.run(4)
    before = len(one.heap.due)
    one.run(8)
    assert one.service() < 0.6 and len(one.heap.due) < 2 * before + 2_000
    assert len(one.reports) < 200 and one.engine.channel.lines < 5_000


def test_the_wheel_gives_each_its_weight_exactly_and_the_lots_nearly():
    for how, room in (("wheel", 0), ("lottery", 120)):
        proxy = Proxy(0, 0, how, Chance(1, "p"))
        proxy.read([Line(("a", 1), 3, OPEN), Line(("a", 2), 1, OPEN), Line(("a", 3), 0, SHUT)])
        picked = [proxy.pick() for _ in range(4_000)]
        assert abs(picked.count(("a", 1)) - 3_000) <= room and picked.count(("a", 3)) == 0
    assert proxy.pick([("a", 1), ("a", 2)]) is None
