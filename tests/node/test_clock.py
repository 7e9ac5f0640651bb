"""Wall clock steps must not change measured durations or make a server appear older than it is."""

import pytest

from rainpick import model
from rainpick.node.clock import OFFSET_LIMIT, Clock
from rainpick.node.endpoint_discovery import parse_discovery_response
from rainpick.node.endpoint_list import EndpointList
from tests.node.platform_stubs import VOCABULARY, entry

SECOND, HOUR = 1_000_000, 3_600_000_000


class Machine:
    """A machine whose wall clock is stepped by the test."""

    def __init__(self):
        self.monotonic_us, self.offset_us = 50 * SECOND, 1_700_000_000 * SECOND
        self.clock = Clock(lambda: self.monotonic_us + self.offset_us, lambda: self.monotonic_us)

    def wall(self):
        return self.monotonic_us + self.offset_us

    def step(self, by):
        self.offset_us += by
        return self.clock.detect_step()


@pytest.mark.parametrize("by", [-HOUR, -SECOND, SECOND, HOUR])
def test_the_clock_is_unaffected_by_a_step_of_the_wall_clock(by):
    machine = Machine()
    before = machine.clock()
    assert machine.step(by) == by and machine.clock() == before
    machine.monotonic_us += SECOND
    assert (
        machine.clock.detect_step() is None
        and machine.clock() == before + SECOND
        and machine.clock.steps == 1
    )


@pytest.mark.parametrize("by", [-HOUR, -SECOND, SECOND, HOUR])
def test_a_start_time_stamped_before_or_after_a_step_gives_no_higher_age(by):
    machine = Machine()
    stamped, clock_at_stamp = machine.wall(), machine.clock()
    machine.monotonic_us += SECOND // 2
    machine.step(by)
    machine.monotonic_us += SECOND
    assert clock_at_stamp <= machine.clock.start_time(stamped) <= machine.clock(), (
        "the age must not be overestimated"
    )
    later, clock_at_stamp = machine.wall(), machine.clock()
    machine.monotonic_us += 10 * SECOND
    assert machine.clock.start_time(later) >= clock_at_stamp, (
        "a server that is warming up must not be treated as warm"
    )


def test_a_step_of_an_hour_forward_does_not_make_a_new_server_warm():
    machine = Machine()
    stamped = machine.wall()
    machine.monotonic_us += SECOND
    machine.step(HOUR)
    assert machine.clock() - machine.clock.start_time(stamped) == SECOND


def test_a_start_time_in_the_future_under_all_known_offsets_is_treated_as_now():
    machine = Machine()
    assert machine.clock.start_time(machine.wall() + HOUR) == machine.clock()
    assert machine.clock.start_time(0) == 0


def test_remembered_offsets_are_bounded():
    machine = Machine()
    for _ in range(3 * OFFSET_LIMIT):
        machine.step(HOUR)
    assert len(machine.clock.offsets) == OFFSET_LIMIT


def test_an_unchanged_start_time_is_not_converted_again():
    """Guards against a wall clock step that changes the ages of all servers when their list is sent again.

    All servers would warm up again, or a slow start would be cut short.
    """
    machine = Machine()
    endpoints = EndpointList(machine.clock)
    entries = [
        entry(1, started_ms=machine.wall() // 1000 - 60_000),
        entry(2, started_ms=machine.wall() // 1000),
    ]
    response = parse_discovery_response({"generation": 1, "reset": True, "instances": entries}, VOCABULARY)
    first = endpoints.apply(response, model.UpdateKind.CACHED).endpoints
    machine.monotonic_us += 5 * SECOND
    for by in (-SECOND // 2, -HOUR, HOUR, HOUR):
        machine.step(by)
        assert endpoints.apply(response).endpoints == first
    restarted = parse_discovery_response(
        {"generation": 2, "reset": False, "instances": [entry(2, started_ms=machine.wall() // 1000)]},
        VOCABULARY,
    )
    assert endpoints.apply(restarted).endpoints[0].started_us == pytest.approx(machine.clock(), abs=1_000)
