"""Servers against closed forms of queueing theory, and what faults do to them."""

from math import factorial
from statistics import mean, stdev

import pytest

from rainpick.emulator.clock import VirtualClock
from rainpick.emulator.random_streams import RandomStream
from rainpick.emulator.server import Outcome, ServerType, create_server


def mean_time(server_type, load, seed, calls=12_000, work=10_000.0):
    """Mean time in the system of calls with random arrivals, the first tenth left out, in mean works."""
    clock = VirtualClock()
    server = create_server(clock, "a", server_type)
    arrivals, works = RandomStream(seed, "comes"), RandomStream(seed, "works")
    durations = []

    def arrive(left):
        begin = clock.now
        server.handle(works.exponential(work), lambda _: durations.append((clock.now - begin) / work))
        if left:
            clock.schedule_after(
                round(arrivals.exponential(work / (server_type.cores * server_type.speed * load))),
                arrive,
                left - 1,
            )

    arrive(calls)
    clock.run(1 << 50)
    assert len(durations) == calls + 1
    return mean(durations[calls // 10 :])


def assert_mean_time(server_type, load, expected, seeds=10):
    """The closed form lies in the 99% interval of the mean over seeds (Student, 9 degrees: 3.25)."""
    means = [mean_time(server_type, load, seed) for seed in range(seeds)]
    half = 3.25 * stdev(means) / seeds**0.5
    assert abs(mean(means) - expected) < half, (mean(means), half, expected)
    assert half < 0.2 * expected  # or the check would say nothing


def erlang_c(cores, load):
    """The chance that a call has to wait in M/M/c (Kleinrock, Queueing Systems, vol. 1, 3.5)."""
    offered = cores * load
    last = offered**cores / factorial(cores) / (1 - load)
    return last / (sum(offered**waiting / factorial(waiting) for waiting in range(cores)) + last)


@pytest.mark.parametrize("cores, load", [(1, 0.5), (1, 0.8), (4, 0.7), (8, 0.8)])
def test_slots_are_m_m_c(cores, load):
    expected = 1 + erlang_c(cores, load) / (cores * (1 - load))
    assert_mean_time(ServerType(cores=cores, queue_capacity=10**6), load, expected)


@pytest.mark.parametrize("load", [0.5, 0.8])
def test_sharing_one_core_is_processor_sharing(load):
    assert_mean_time(ServerType(cores=1, sharing=True, queue_capacity=10**6), load, 1 / (1 - load))


def test_sharing_several_cores_has_the_mean_of_m_m_c_with_exponential_work():
    assert_mean_time(
        ServerType(cores=4, sharing=True, queue_capacity=10**6), 0.7, 1 + erlang_c(4, 0.7) / (4 * 0.3)
    )


def observed_server(server_type):
    """A clock, a server, a function that sends it work, and the outcomes with their times."""
    clock, outcomes = VirtualClock(), []
    server = create_server(clock, "a", server_type)
    return (
        clock,
        server,
        lambda work: server.handle(work, lambda outcome: outcomes.append((clock.now, outcome))),
        outcomes,
    )


@pytest.mark.parametrize("sharing", [False, True])
def test_a_full_queue_drops_and_a_stopped_server_refuses(sharing):
    clock, server, send, outcomes = observed_server(ServerType(cores=1, queue_capacity=1, sharing=sharing))
    for _ in range(3):
        send(1000)
    assert outcomes == [(0, Outcome.DROPPED)]
    server.stop()
    assert outcomes[1:] == [(0, Outcome.BROKEN), (0, Outcome.BROKEN)]
    send(1000)
    assert outcomes[3:] == [(0, Outcome.REFUSED)]
    server.start()
    send(1000)
    clock.run(10_000)
    assert outcomes[4:] == [(1000, Outcome.ANSWERED)] and server.call_count() == 0


def test_a_server_warming_up_gets_faster():
    for sharing, soonest, latest in ((False, 5_000, 5_000), (True, 4_700, 5_000)):
        clock, server, send, outcomes = observed_server(
            ServerType(cores=1, warm_up_us=100_000, start_capacity=0.2, sharing=sharing)
        )
        server.start()
        send(1000)
        clock.run(50_000)
        assert soonest <= outcomes[0][0] <= latest
        clock.run(200_000)
        send(1000)
        clock.run(300_000)
        assert outcomes[1][0] == 201_000


def test_shared_cores_serve_all_calls_and_thrashing_slows_them():
    clock, _, send, outcomes = observed_server(ServerType(cores=2, sharing=True))
    for _ in range(4):
        send(1000)
    clock.run(10_000)
    assert [when for when, _ in outcomes] == [2000] * 4
    clock, _, send, outcomes = observed_server(ServerType(cores=2, sharing=True, thrash=0.5))
    for _ in range(4):
        send(1000)
    clock.run(10_000)
    assert [when for when, _ in outcomes] == [4000] * 4


@pytest.mark.parametrize("sharing", [False, True])
def test_a_hung_server_answers_nothing_until_it_recovers(sharing):
    clock, server, send, outcomes = observed_server(ServerType(cores=1, sharing=sharing))
    send(1000)
    clock.run(500)
    server.set_fault(hung=True)
    send(1000)
    clock.run(1_000_000)
    assert not outcomes
    server.set_fault()
    clock.run(1_100_000)
    assert len(outcomes) == 2 and all(
        outcome == Outcome.ANSWERED and when > 1_000_000 for when, outcome in outcomes
    )


def test_runs_of_a_seed_are_equal_and_random_streams_are_independent():
    assert (
        mean_time(ServerType(), 0.7, 5, 2000)
        == mean_time(ServerType(), 0.7, 5, 2000)
        != mean_time(ServerType(), 0.7, 6, 2000)
    )
    first, other = RandomStream(1, "a"), RandomStream(1, "b")
    draws = [first.uniform() for _ in range(2000)]
    again = RandomStream(1, "a")
    mixed = []
    for _ in range(2000):
        other.exponential(3.0)
        mixed.append(again.uniform())
    assert draws == mixed and all(0 <= draw < 1 for draw in draws)


def test_calls_due_together_run_in_the_order_of_scheduling():
    clock, calls = VirtualClock(), []
    for name in "abc":
        clock.schedule_at(5, calls.append, name)
    clock.cancel(clock.schedule_at(5, calls.append, "never"))
    clock.schedule_at(3, lambda: clock.schedule_at(5, calls.append, "last"))
    clock.run(5)
    assert calls == ["a", "b", "c", "last"] and clock.now == 5 and not clock.cancelled
