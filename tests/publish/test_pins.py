"""Pinned table versions: the entries that are published, and the conditions of a pin."""

import pytest

from rainpick import model
from rainpick.director.snapshots import Scale
from rainpick.director.tables import Tables
from rainpick.publish.pins import PinError, TablePins


def server_key(number):
    return "127.0.0.1", 9000 + number


class PinnedFleet:
    """A table of four servers that can be pinned, and the server states that the pins query."""

    def __init__(self):
        self.tables = Tables(Scale(16.0), lambda _: 1.0)
        self.unlisted = set()
        self.not_warmed_up = set()
        self.pins = TablePins(
            lambda server: server not in self.unlisted,
            self.tables.withdrawn.__contains__,
            lambda server: server not in self.not_warmed_up,
        )
        self.tables.lines_to_publish = self.pins.lines_to_publish
        for number in range(4):
            self.tables.apply(model.SetWeight(0, server_key(number), 1.0))
        self.first_version = self.tables.current(0)

    def weights(self):
        self.tables.snapshots.clear()
        lines = self.tables.current(0).lines
        return {server[1] - 9000: weight for server, (weight, _) in lines.items() if weight}


def test_a_rollback_is_a_new_version_without_withdrawn_and_unlisted_servers():
    fleet = PinnedFleet()
    for number in range(4):
        fleet.tables.apply(model.SetWeight(0, server_key(number), 2.0))
    second = fleet.tables.current(0)
    fleet.tables.apply(model.SetWithdrawn(server_key(0), True))
    fleet.unlisted.add(server_key(1))
    fleet.pins.pin(0, fleet.first_version, "staff", "weights of the morning", 5)
    assert fleet.weights() == {2: 4096, 3: 4096}
    assert fleet.tables.current(0).version > second.version
    fleet.tables.apply(model.SetWeight(0, server_key(2), 0.5))
    assert fleet.weights() == {2: 4096, 3: 4096}, "pinned"
    fleet.pins.release(0)
    assert fleet.weights() == {1: 8192, 2: 2048, 3: 8192}


def test_a_pin_does_not_raise_the_weight_of_a_server_that_is_warming_up():
    fleet = PinnedFleet()
    fleet.not_warmed_up.add(server_key(3))
    fleet.tables.apply(model.SetWeight(0, server_key(3), 0.16))
    fleet.pins.pin(0, fleet.first_version, "staff", "why not", 5)
    assert fleet.weights()[3] == Scale(16.0)(0.16)
    fleet.tables.apply(model.SetWeight(0, server_key(3), 0.0))
    assert 3 not in fleet.weights()


def test_a_pin_without_available_servers_is_idle():
    fleet = PinnedFleet()
    fleet.pins.pin(0, fleet.first_version, "staff", "a test", 5)
    fleet.tables.apply(model.SetWeight(0, server_key(9), 1.0))
    for number in range(4):
        fleet.tables.apply(model.SetWithdrawn(server_key(number), True))
    assert fleet.weights() == {9: 4096} and fleet.pins.idle_tables == {0}
    fleet.tables.apply(model.SetWithdrawn(server_key(2), False))
    assert fleet.weights() == {2: 4096} and not fleet.pins.idle_tables


def test_errors_of_pins_state_the_reason():
    fleet = PinnedFleet()
    with pytest.raises(PinError, match="that version of table 0 is not kept any more"):
        fleet.pins.pin(0, None, "staff", "x", 5)
    with pytest.raises(PinError, match="who does it, and why, must be said"):
        fleet.pins.pin(0, fleet.first_version, "", "x", 5)
    fleet.unlisted |= {server_key(number) for number in range(4)}
    with pytest.raises(PinError, match="has drained or gone, or is cold"):
        fleet.pins.pin(0, fleet.first_version, "staff", "x", 5)
    with pytest.raises(PinError, match="not pinned"):
        fleet.pins.release(0)
