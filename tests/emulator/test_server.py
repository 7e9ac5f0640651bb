"""Emulated servers: mean times against closed forms of queueing theory, and effects of faults."""

from math import factorial
from statistics import mean, stdev

import pytest

from rainpick.emulator.clock import VirtualClock
from rainpick.emulator.random_streams import RandomStream
from rainpick.emulator.server import Outcome, ServerType, create_server


def mean_time(server_type, load, seed, attempts=12_000, work=10_000.0):
    """Return the mean time that attempts spend in the system, in units of the mean work.

    Arrivals are Poisson. The first tenth of the attempts is not counted.
    """
    clock = VirtualClock()
    server = create_server(clock, "a", server_type)
    arrival_stream, work_stream = RandomStream(seed, "comes"), RandomStream(seed, "works")
    durations = []

    def arrive(remaining):
        begin = clock.now
        server.handle(work_stream.exponential(work), lambda _: durations.append((clock.now - begin) / work))
        if remaining:
            clock.schedule_after(
                round(arrival_stream.exponential(work / (server_type.cores * server_type.speed * load))),
                arrive,
                remaining - 1,
            )

    arrive(attempts)
    clock.run(1 << 50)
    assert len(durations) == attempts + 1
    return mean(durations[attempts // 10 :])


def assert_mean_time(server_type, load, expected, seeds=10):
    """Check that ``expected`` is in the 99% confidence interval of the mean time over seeds.

    3.25 is the quantile of Student's t distribution with 9 degrees of freedom, that is, for 10 seeds.
    """
    means = [mean_time(server_type, load, seed) for seed in range(seeds)]
    half_width = 3.25 * stdev(means) / seeds**0.5
    assert abs(mean(means) - expected) < half_width, (mean(means), half_width, expected)
    assert half_width < 0.2 * expected  # a wider interval would make the check meaningless


def erlang_c(cores, load):
    """Return the probability that an attempt waits in M/M/c (Kleinrock, Queueing Systems, vol. 1, 3.5)."""
    offered = cores * load
    last = offered**cores / factorial(cores) / (1 - load)
    return last / (sum(offered**waiting / factorial(waiting) for waiting in range(cores)) + last)


@pytest.mark.parametrize("cores, load", [(1, 0.5), (1, 0.8), (4, 0.7), (8, 0.8)])
def test_the_mean_time_with_slots_is_that_of_m_m_c(cores, load):
    expected = 1 + erlang_c(cores, load) / (cores * (1 - load))
    assert_mean_time(ServerType(cores=cores, queue_capacity=10**6), load, expected)


@pytest.mark.parametrize("load", [0.5, 0.8])
def test_the_mean_time_on_one_shared_core_is_that_of_processor_sharing(load):
    assert_mean_time(ServerType(cores=1, sharing=True, queue_capacity=10**6), load, 1 / (1 - load))


def test_the_mean_time_on_several_shared_cores_is_that_of_m_m_c():
    assert_mean_time(
        ServerType(cores=4, sharing=True, queue_capacity=10**6), 0.7, 1 + erlang_c(4, 0.7) / (4 * 0.3)
    )


def observed_server(server_type):
    """Return a clock, a server, a function that sends an attempt with some work to the server, and a list.

    The list gets the time and the outcome of each attempt.
    """
    clock, outcomes = VirtualClock(), []
    server = create_server(clock, "a", server_type)
    return (
        clock,
        server,
        lambda work: server.handle(work, lambda outcome: outcomes.append((clock.now, outcome))),
        outcomes,
    )


@pytest.mark.parametrize("sharing", [False, True])
def test_a_full_queue_drops_attempts_and_a_stopped_server_refuses_them(sharing):
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
    assert outcomes[4:] == [(1000, Outcome.ANSWERED)] and server.attempt_count() == 0


def test_the_speed_increases_during_a_slow_start():
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


def test_shared_cores_serve_all_attempts_and_thrashing_slows_them_down():
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


def test_runs_with_the_same_seed_are_equal_and_random_streams_are_independent():
    assert (
        mean_time(ServerType(), 0.7, 5, 2000)
        == mean_time(ServerType(), 0.7, 5, 2000)
        != mean_time(ServerType(), 0.7, 6, 2000)
    )
    first, other = RandomStream(1, "a"), RandomStream(1, "b")
    first_draws = [first.uniform() for _ in range(2000)]
    again = RandomStream(1, "a")
    interleaved_draws = []
    for _ in range(2000):
        other.exponential(3.0)
        interleaved_draws.append(again.uniform())
    assert first_draws == interleaved_draws and all(0 <= draw < 1 for draw in first_draws)


def test_timers_due_at_the_same_time_fire_in_the_order_of_scheduling():
    clock, fired = VirtualClock(), []
    for name in "abc":
        clock.schedule_at(5, fired.append, name)
    clock.cancel(clock.schedule_at(5, fired.append, "never"))
    clock.schedule_at(3, lambda: clock.schedule_at(5, fired.append, "last"))
    clock.run(5)
    assert fired == ["a", "b", "c", "last"] and clock.now == 5 and not clock.cancelled
