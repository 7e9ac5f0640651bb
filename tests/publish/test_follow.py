"""Versioned tables: whatever is lost, doubled, reordered or damaged, a proxy ends with the exact table."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainpick import model
from rainpick.director.tables import HISTORY, Scale, Tables
from rainpick.publish import payloads
from rainpick.publish.follow import Follower, Writer, canonical_digest
from rainpick.publish.payloads import Change, Orders, Whole
from rainpick.publish.pins import PinError, Pins


def key(number):
    return "127.0.0.1", 9000 + number


class Side:
    """A table at the director, and its proxy: ``send`` makes the part that the engine would send."""

    def __init__(self, servers=12):
        self.tables, self.writer, self.follower = Tables(Scale(16.0), lambda _: 1.0), Writer("e1"), Follower()
        for number in range(servers):
            self.tables.carry_out(model.SetWeight(0, key(number), 1.0))
        self.held = None
        self.follower.take(Orders("e1", 0, (), self.send()))

    def send(self):
        newest = self.tables.current(0)
        part, data = self.writer.part(0, self.held, newest)
        self.held = newest
        assert payloads.read_down(data) == part
        return part

    def weight(self, number, weight):
        self.tables.carry_out(model.SetWeight(0, key(number), weight))

    def exact(self):
        return self.follower.lines == {
            f"{host}:{port}": weight for (host, port), (weight, _) in self.tables.current(0).lines.items()
        }


def test_a_change_is_sent_where_it_is_shorter_and_names_both_versions():
    side = Side()
    first = side.follower.version
    side.weight(3, 2.0)
    side.weight(4, 0.0)
    part = side.send()
    assert isinstance(part, Change) and (part.base, part.version) == (first, first + 1)
    assert [line.server for line in part.set] == ["127.0.0.1:9003"] and part.out == ("127.0.0.1:9004",)
    assert side.follower.take(part) is None and side.exact()
    for number in range(12):
        side.weight(number, 3.0)
    assert isinstance(side.send(), Whole)


def test_a_version_differs_from_the_one_before_in_what_it_holds():
    side = Side()
    before = side.tables.current(0)
    side.weight(1, 1.0 + 1e-9)
    assert side.tables.current(0) is before


def test_a_proxy_that_missed_two_changes_says_so_and_is_healed_by_the_whole():
    side = Side()
    for number in (1, 2):
        side.weight(number, 2.0)
        side.send()  # lost
    side.weight(3, 0.0)
    trouble = side.follower.take(side.send())
    assert trouble.why == "gap" and "127.0.0.1:9003" not in side.follower.lines, "withdrawals do not wait"
    side.weight(4, 5.0)
    assert side.follower.take(side.send()) is None, "said once"
    side.held = None
    assert side.follower.take(side.send()) is None and side.exact() and not side.follower.broken


def test_a_damaged_change_is_noticed_by_its_digest():
    side = Side()
    side.weight(3, 2.0)
    part = side.send()
    (line,) = part.set
    wrong = msgspec.structs.replace(part, set=(payloads.Line(line.server, line.weight + 1),))
    before = dict(side.follower.lines)
    assert side.follower.take(wrong).why == "digest" and side.follower.lines == before
    side.held = None
    side.follower.take(side.send())
    assert side.exact()


def test_a_damaged_whole_is_noticed_too():
    side = Side()
    part = side.writer.whole(0, side.tables.current(0))
    wrong = msgspec.structs.replace(part, lines=part.lines[:-1], version=99)
    assert side.follower.take(wrong).why == "digest" and side.exact()


def test_what_is_doubled_or_older_changes_nothing():
    side = Side()
    side.weight(3, 2.0)
    first = side.send()
    side.weight(4, 2.0)
    second = side.send()
    for part in (first, second, first, second):
        assert side.follower.take(part) is None
    assert side.exact()


def test_another_epoch_starts_from_the_whole():
    side = Side()
    later = Side(servers=3)
    later.writer = Writer("e2")
    assert side.follower.take(later.writer.whole(0, later.tables.current(0))) is None, "not on that table"
    part = later.writer.whole(0, later.tables.current(0))
    assert side.follower.take(Orders("e2", 0, (), part)) is None
    assert len(side.follower.lines) == 3 and side.follower.epoch == "e2"


def test_too_far_behind_the_whole_is_sent():
    side = Side()
    old = side.tables.current(0)
    for turn in range(HISTORY + 2):
        side.weight(1, 2.0 + turn / 100)
        side.tables.current(0)
    assert side.tables.version(0, old.version) is None
    assert side.tables.version(0, side.tables.current(0).version - 3) is not None


def test_proxies_that_take_the_same_step_share_its_bytes():
    side = Side()
    before = side.tables.current(0)
    side.weight(2, 2.0)
    newest = side.tables.current(0)
    assert side.writer.part(0, before, newest)[1] is side.writer.part(0, before, newest)[1]
    assert isinstance(side.writer.part(1, before, newest)[0], Whole), "a version of another table is no base"


STEPS = st.sampled_from(
    ["weight", "out", "shut", "open", "send", "lose", "double", "swap", "damage", "restart"]
)


@given(st.lists(st.tuples(STEPS, st.integers(0, 11), st.floats(0.1, 16)), max_size=80), st.integers(0, 99))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_against_a_plain_reference_with_losses_reorderings_and_restarts(story, seed):
    side, chance, queue, epoch = Side(), random.Random(seed), [], 1

    def arrive(part):
        if side.follower.take(part) is not None:
            side.held = None  # the director hears of the trouble: the whole follows

    for step, number, weight in story:
        if step == "weight":
            side.weight(number, weight)
        elif step == "out":
            side.weight(number, 0.0)
        elif step in ("shut", "open"):
            side.tables.carry_out(model.SetWithdrawn(key(number), step == "shut"))
        elif step == "send":
            queue.append(side.send())
            if chance.random() < 0.7:
                arrive(queue.pop(0))
        elif step == "lose" and queue:
            queue.pop(chance.randrange(len(queue)))
        elif step == "double" and queue:
            queue.append(queue[0])
        elif step == "swap":
            chance.shuffle(queue)
        elif step == "damage" and queue and isinstance(queue[0], Change):
            arrive(msgspec.structs.replace(queue.pop(0), digest="0" * 16))
        elif step == "restart":  # a director that numbers afresh; what is under way may still arrive
            epoch += 1
            side.writer, side.held = Writer(f"e{epoch}"), None
            side.tables.history.clear()
            side.tables.snapshots.clear()
            queue.append(Orders(f"e{epoch}", 0, (), side.send()))
            arrive(queue.pop())
        assert not set(side.follower.open_lines()) - {f"127.0.0.1:{9000 + one}" for one in range(12)}
    for part in queue:
        arrive(part)
    if side.follower.broken or not side.exact():
        # Nothing more is lost: one more change, and what the proxy says of it, is all it takes.
        side.weight(0, 7.5 if side.tables.lines[0].get(key(0)) != 7.5 else 8.5)
        arrive(side.send())
        if side.held is None:
            arrive(side.send())
    assert side.exact()
    assert canonical_digest(side.follower.lines) == side.tables.current(0).digest


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"[]",
        b'{"kind": "whole"}',
        b'{"kind": "other"}',
        b"\xff" * 9,
        b'{"kind":"whole","epoch":"e","table":70000,"version":1,"digest":"","lines":[]}',
        b'{"kind":"whole","epoch":"e","table":1,"version":1,"digest":"","lines":[["a:1",-1]]}',
        b"[" * 100_000,
    ],
)
def test_payloads_that_do_not_fit_the_schema_are_told(data):
    for read in (payloads.read_down, payloads.read_up):
        with pytest.raises(payloads.PayloadError):
            read(data)


def test_the_schema_names_every_payload():
    assert {"Whole", "Change", "Orders", "Presence", "Trouble", "Met"} <= payloads.schema()["$defs"].keys()


class Fleet:
    """What pins ask about servers."""

    def __init__(self):
        self.tables = Tables(Scale(16.0), lambda _: 1.0)
        self.gone, self.cold = set(), set()
        self.pins = Pins(
            lambda server: server not in self.gone,
            self.tables.withdrawn.__contains__,
            lambda server: server not in self.cold,
        )
        self.tables.overlay = self.pins.overlay
        for number in range(4):
            self.tables.carry_out(model.SetWeight(0, key(number), 1.0))
        self.first = self.tables.current(0)

    def weights(self):
        self.tables.snapshots.clear()
        lines = self.tables.current(0).lines
        return {server[1] - 9000: weight for server, (weight, _) in lines.items() if weight}


def test_a_rollback_is_a_new_version_with_old_content_less_what_drained_or_went():
    fleet = Fleet()
    for number in range(4):
        fleet.tables.carry_out(model.SetWeight(0, key(number), 2.0))
    second = fleet.tables.current(0)
    fleet.tables.carry_out(model.SetWithdrawn(key(0), True))
    fleet.gone.add(key(1))
    fleet.pins.pin(0, fleet.first, "staff", "weights of the morning", 5)
    assert fleet.weights() == {2: 4096, 3: 4096}
    assert fleet.tables.current(0).version > second.version
    fleet.tables.carry_out(model.SetWeight(0, key(2), 0.5))
    assert fleet.weights() == {2: 4096, 3: 4096}, "pinned"
    fleet.pins.release(0)
    assert fleet.weights() == {1: 8192, 2: 2048, 3: 8192}


def test_a_pin_never_gives_a_cold_server_more_than_the_decisions_do():
    fleet = Fleet()
    fleet.cold.add(key(3))
    fleet.tables.carry_out(model.SetWeight(0, key(3), 0.16))
    fleet.pins.pin(0, fleet.first, "staff", "why not", 5)
    assert fleet.weights()[3] == Scale(16.0)(0.16)
    fleet.tables.carry_out(model.SetWeight(0, key(3), 0.0))
    assert 3 not in fleet.weights()


def test_when_nothing_open_is_left_the_ordinary_table_is_published():
    fleet = Fleet()
    fleet.pins.pin(0, fleet.first, "staff", "a test", 5)
    fleet.tables.carry_out(model.SetWeight(0, key(9), 1.0))
    for number in range(4):
        fleet.tables.carry_out(model.SetWithdrawn(key(number), True))
    assert fleet.weights() == {9: 4096} and fleet.pins.idle == {0}
    fleet.tables.carry_out(model.SetWithdrawn(key(2), False))
    assert fleet.weights() == {2: 4096} and not fleet.pins.idle


def test_what_can_not_be_pinned_is_refused_with_the_reason():
    fleet = Fleet()
    with pytest.raises(PinError, match="not kept"):
        fleet.pins.pin(0, None, "staff", "x", 5)
    with pytest.raises(PinError, match="must be said"):
        fleet.pins.pin(0, fleet.first, "", "x", 5)
    fleet.gone |= {key(number) for number in range(4)}
    with pytest.raises(PinError, match="drained or gone"):
        fleet.pins.pin(0, fleet.first, "staff", "x", 5)
    with pytest.raises(PinError, match="not pinned"):
        fleet.pins.release(0)
