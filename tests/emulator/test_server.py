"""Servers against closed forms of queueing theory, and what faults do to them."""

from math import factorial
from statistics import mean, stdev

import pytest

from rainpick.emulator.chance import Chance
from rainpick.emulator.heap import Heap
from rainpick.emulator.server import ANSWERED, BROKEN, DROPPED, REFUSED, Kind, Server


def times(kind, load, seed, calls=12_000, work=10_000.0):
    """Times in the system of calls that come by chance, the first tenth left out, in mean works."""
    heap = Heap()
    server, comes, works = Server(heap, "a", kind), Chance(seed, "comes"), Chance(seed, "works")
    found = []

    def come(left):
        begin = heap.now
        server.take(works.exponential(work), lambda how: found.append((heap.now - begin) / work))
        if left:
            heap.after(round(comes.exponential(work / (kind.cores * kind.speed * load))), come, left - 1)

    come(calls)
    heap.run(1 << 50)
    assert len(found) == calls + 1
    return mean(found[calls // 10 :])


def within(kind, load, expected, seeds=10):
    """The closed form lies in the 99% interval of the mean over seeds (Student, 9 degrees: 3.25)."""
    means = [times(kind, load, seed) for seed in range(seeds)]
    half = 3.25 * stdev(means) / seeds**0.5
    assert abs(mean(means) - expected) < half, (mean(means), half, expected)
    assert half < 0.2 * expected  # or the check would say nothing


def erlang_c(cores, load):
    """The chance that a call has to wait in M/M/c (Kleinrock, Queueing Systems, vol. 1, 3.5)."""
    offered = cores * load
    last = offered**cores / factorial(cores) / (1 - load)
    return last / (sum(offered**one / factorial(one) for one in range(cores)) + last)


@pytest.mark.parametrize("cores, load", [(1, 0.5), (1, 0.8), (4, 0.7), (8, 0.8)])
def test_slots_are_m_m_c(cores, load):
    expected = 1 + erlang_c(cores, load) / (cores * (1 - load))
    within(Kind(cores=cores, room=10**6), load, expected)


@pytest.mark.parametrize("load", [0.5, 0.8])
def test_sharing_one_core_is_processor_sharing(load):
    within(Kind(cores=1, sharing=True, room=10**6), load, 1 / (1 - load))


def test_sharing_several_cores_has_the_mean_of_m_m_c_with_exponential_work():
    within(Kind(cores=4, sharing=True, room=10**6), 0.7, 1 + erlang_c(4, 0.7) / (4 * 0.3))


def one(kind, **words):
    heap, found = Heap(), []
    server = Server(heap, "a", kind)
    for name, value in words.items():
        setattr(server, name, value)
    return heap, server, lambda work: server.take(work, lambda how: found.append((heap.now, how))), found


@pytest.mark.parametrize("sharing", [False, True])
def test_a_room_that_is_full_drops_and_a_server_that_is_down_refuses(sharing):
    heap, server, take, found = one(Kind(cores=1, room=1, sharing=sharing))
    for _ in range(3):
        take(1000)
    assert found == [(0, DROPPED)]
    server.stop()
    assert found[1:] == [(0, BROKEN), (0, BROKEN)]
    take(1000)
    assert found[3:] == [(0, REFUSED)]
    server.start()
    take(1000)
    heap.run(10_000)
    assert found[4:] == [(1000, ANSWERED)] and server.open() == 0


def test_a_cold_server_does_its_part_and_gets_faster():
    for sharing, soonest, latest in ((False, 5_000, 5_000), (True, 4_700, 5_000)):
        heap, server, take, found = one(Kind(cores=1, warm_us=100_000, start_capacity=0.2, sharing=sharing))
        server.start()
        take(1000)
        heap.run(50_000)
        assert soonest <= found[0][0] <= latest
        heap.run(200_000)
        take(1000)
        heap.run(300_000)
        assert found[1][0] == 201_000


def test_who_shares_waits_for_all_and_thrash_costs_more():
    heap, _, take, found = one(Kind(cores=2, sharing=True))
    for _ in range(4):
        take(1000)
    heap.run(10_000)
    assert [when for when, _ in found] == [2000] * 4
    heap, _, take, found = one(Kind(cores=2, sharing=True, thrash=0.5))
    for _ in range(4):
        take(1000)
    heap.run(10_000)
    assert [when for when, _ in found] == [4000] * 4


@pytest.mark.parametrize("sharing", [False, True])
def test_what_hangs_answers_nothing_until_it_is_well_again(sharing):
    heap, server, take, found = one(Kind(cores=1, sharing=sharing))
    take(1000)
    heap.run(500)
    server.change(hung=True)
    take(1000)
    heap.run(1_000_000)
    assert not found
    server.change()
    heap.run(1_100_000)
    assert len(found) == 2 and all(how == ANSWERED and when > 1_000_000 for when, how in found)


def test_the_same_seed_is_the_same_run_and_parts_do_not_disturb_each_other():
    assert times(Kind(), 0.7, 5, 2000) == times(Kind(), 0.7, 5, 2000) != times(Kind(), 0.7, 6, 2000)
    first, other = Chance(1, "a"), Chance(1, "b")
    draws = [first.uniform() for _ in range(2000)]
    again = Chance(1, "a")
    mixed = []
    for _ in range(2000):
        other.exponential(3.0)
        mixed.append(again.uniform())
    assert draws == mixed and all(0 <= draw < 1 for draw in draws)


def test_what_is_due_together_runs_in_the_order_in_which_it_was_set():
    heap, found = Heap(), []
    for name in "abc":
        heap.at(5, found.append, name)
    heap.cancel(heap.at(5, found.append, "never"))
    heap.at(3, lambda: heap.at(5, found.append, "last"))
    heap.run(5)
    assert found == ["a", "b", "c", "last"] and heap.now == 5 and not heap.cancelled
