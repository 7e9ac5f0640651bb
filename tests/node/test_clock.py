"""A wall clock that is stepped changes no span of time and no server's age for the better."""

import pytest

from rainpick import model
from rainpick.node.clock import OFFSET_LIMIT, Clock
from rainpick.node.endpoint_discovery import parse_discovery_answer
from rainpick.node.endpoint_list import EndpointList
from tests.node.platform_stubs import VOCABULARY, entry

SECOND, HOUR = 1_000_000, 3_600_000_000


class Machine:
    """A machine whose wall clock is set by the test."""

    def __init__(self):
        self.real, self.offset = 50 * SECOND, 1_700_000_000 * SECOND
        self.clock = Clock(lambda: self.real + self.offset, lambda: self.real)

    def wall(self):
        return self.real + self.offset

    def step(self, by):
        self.offset += by
        return self.clock.detect_step()


@pytest.mark.parametrize("by", [-HOUR, -SECOND, SECOND, HOUR])
def test_the_clock_runs_on_when_the_wall_clock_is_stepped(by):
    machine = Machine()
    before = machine.clock()
    assert machine.step(by) == by and machine.clock() == before
    machine.real += SECOND
    assert (
        machine.clock.detect_step() is None
        and machine.clock() == before + SECOND
        and machine.clock.steps == 1
    )


@pytest.mark.parametrize("by", [-HOUR, -SECOND, SECOND, HOUR])
def test_a_start_time_gives_the_true_age_on_either_side_of_a_step(by):
    machine = Machine()
    stamped, at = machine.wall(), machine.clock()
    machine.real += SECOND // 2
    machine.step(by)
    machine.real += SECOND
    assert at <= machine.clock.start_time(stamped) <= machine.clock(), "its age, or younger"
    later, at = machine.wall(), machine.clock()
    machine.real += 10 * SECOND
    assert machine.clock.start_time(later) >= at, "a server that is warming up does not pass for a warm one"


def test_an_hour_forward_makes_no_server_warm_that_started_before_it():
    machine = Machine()
    stamped = machine.wall()
    machine.real += SECOND
    machine.step(HOUR)
    assert machine.clock() - machine.clock.start_time(stamped) == SECOND


def test_a_start_time_in_the_future_of_all_known_offsets_is_taken_for_now():
    machine = Machine()
    assert machine.clock.start_time(machine.wall() + HOUR) == machine.clock()
    assert machine.clock.start_time(0) == 0


def test_remembered_steps_are_bounded():
    machine = Machine()
    for _ in range(3 * OFFSET_LIMIT):
        machine.step(HOUR)
    assert len(machine.clock.offsets) == OFFSET_LIMIT


def test_a_start_time_that_is_given_again_unchanged_is_not_converted_again():
    """A list given again after a step must not make every server warm up anew, nor undo a slow start."""
    machine = Machine()
    endpoints = EndpointList(machine.clock)
    entries = [
        entry(1, started_ms=machine.wall() // 1000 - 60_000),
        entry(2, started_ms=machine.wall() // 1000),
    ]
    answer = parse_discovery_answer({"generation": 1, "reset": True, "instances": entries}, VOCABULARY)
    first = endpoints.apply(answer, model.UpdateKind.CACHED).endpoints
    machine.real += 5 * SECOND
    for by in (-SECOND // 2, -HOUR, HOUR, HOUR):
        machine.step(by)
        assert endpoints.apply(answer).endpoints == first
    restarted = parse_discovery_answer(
        {"generation": 2, "reset": False, "instances": [entry(2, started_ms=machine.wall() // 1000)]},
        VOCABULARY,
    )
    assert endpoints.apply(restarted).endpoints[0].started_us == pytest.approx(machine.clock(), abs=1_000)
