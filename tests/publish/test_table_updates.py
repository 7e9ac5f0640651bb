"""Table updates and their application by a proxy.

The proxy must end with the exact table after lost, duplicated, reordered and damaged updates.
"""

import random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from rainpick import model
from rainpick.director.snapshots import Scale
from rainpick.director.tables import MAX_VERSIONS, Tables
from rainpick.publish.follower import TableFollower, canonical_digest
from rainpick.publish.payloads import (
    ProxyAssignment,
    ServerWeight,
    TableDelta,
    TableSnapshot,
    decode_director_message,
)
from rainpick.publish.table_updates import TableUpdateEncoder


def server_key(number):
    return "127.0.0.1", 9000 + number


class TableDistribution:
    """A table at the director and a proxy that follows it.

    ``next_update`` returns the update that the director would send now. ``base`` is the version from which it
    makes a delta; None if it must send a snapshot.
    """

    def __init__(self, servers=12):
        self.tables = Tables(Scale(16.0), lambda _: 1.0)
        self.encoder = TableUpdateEncoder("e1")
        self.follower = TableFollower()
        for number in range(servers):
            self.tables.apply(model.SetWeight(0, server_key(number), 1.0))
        self.base = None
        self.follower.apply(ProxyAssignment("e1", 0, (), self.next_update()))

    def next_update(self):
        newest = self.tables.current(0)
        update, data = self.encoder.update(0, self.base, newest)
        self.base = newest
        assert decode_director_message(data) == update
        return update

    def set_weight(self, number, weight):
        self.tables.apply(model.SetWeight(0, server_key(number), weight))

    def in_sync(self):
        return self.follower.weights == {
            f"{host}:{port}": weight for (host, port), (weight, _) in self.tables.current(0).lines.items()
        }


def test_a_delta_is_sent_if_it_is_shorter_and_has_both_versions():
    distribution = TableDistribution()
    first = distribution.follower.version
    distribution.set_weight(3, 2.0)
    distribution.set_weight(4, 0.0)
    update = distribution.next_update()
    assert isinstance(update, TableDelta) and (update.base_version, update.version) == (first, first + 1)
    assert [entry.server for entry in update.updated] == ["127.0.0.1:9003"]
    assert update.removed == ("127.0.0.1:9004",)
    assert distribution.follower.apply(update) is None and distribution.in_sync()
    for number in range(12):
        distribution.set_weight(number, 3.0)
    assert isinstance(distribution.next_update(), TableSnapshot)


def test_a_change_below_the_published_resolution_creates_no_version():
    distribution = TableDistribution()
    before = distribution.tables.current(0)
    distribution.set_weight(1, 1.0 + 1e-9)
    assert distribution.tables.current(0) is before


def test_a_proxy_that_missed_two_deltas_reports_it_once_and_recovers_by_a_snapshot():
    distribution = TableDistribution()
    for number in (1, 2):
        distribution.set_weight(number, 2.0)
        distribution.next_update()  # the delta does not reach the proxy
    distribution.set_weight(3, 0.0)
    fault = distribution.follower.apply(distribution.next_update())
    assert fault.cause == "gap" and "127.0.0.1:9003" not in distribution.follower.weights, (
        "withdrawals are applied at once"
    )
    distribution.set_weight(4, 5.0)
    assert distribution.follower.apply(distribution.next_update()) is None, "reported once"
    distribution.base = None
    assert distribution.follower.apply(distribution.next_update()) is None
    assert distribution.in_sync()
    assert not distribution.follower.awaiting_snapshot


def test_a_damaged_delta_is_detected_by_its_digest():
    distribution = TableDistribution()
    distribution.set_weight(3, 2.0)
    update = distribution.next_update()
    (entry,) = update.updated
    damaged = msgspec.structs.replace(update, updated=(ServerWeight(entry.server, entry.weight + 1),))
    before = dict(distribution.follower.weights)
    assert distribution.follower.apply(damaged).cause == "digest" and distribution.follower.weights == before
    distribution.base = None
    distribution.follower.apply(distribution.next_update())
    assert distribution.in_sync()


def test_a_damaged_snapshot_is_detected_by_its_digest():
    distribution = TableDistribution()
    update = distribution.encoder.snapshot(0, distribution.tables.current(0))
    damaged = msgspec.structs.replace(update, lines=update.lines[:-1], version=99)
    assert distribution.follower.apply(damaged).cause == "digest" and distribution.in_sync()


def test_duplicate_and_older_updates_change_nothing():
    distribution = TableDistribution()
    distribution.set_weight(3, 2.0)
    first = distribution.next_update()
    distribution.set_weight(4, 2.0)
    second = distribution.next_update()
    for update in (first, second, first, second):
        assert distribution.follower.apply(update) is None
    assert distribution.in_sync()


def test_a_new_epoch_starts_from_a_snapshot():
    distribution = TableDistribution()
    later = TableDistribution(servers=3)
    later.encoder = TableUpdateEncoder("e2")
    assert distribution.follower.apply(later.encoder.snapshot(0, later.tables.current(0))) is None, (
        "not assigned to that table"
    )
    update = later.encoder.snapshot(0, later.tables.current(0))
    assert distribution.follower.apply(ProxyAssignment("e2", 0, (), update)) is None
    assert len(distribution.follower.weights) == 3 and distribution.follower.epoch == "e2"


def test_versions_older_than_the_history_are_unknown():
    distribution = TableDistribution()
    first_version = distribution.tables.current(0)
    for round_number in range(MAX_VERSIONS + 2):
        distribution.set_weight(1, 2.0 + round_number / 100)
        distribution.tables.current(0)
    assert distribution.tables.version(0, first_version.version) is None
    assert distribution.tables.version(0, distribution.tables.current(0).version - 3) is not None


def test_proxies_that_need_the_same_update_share_its_bytes():
    distribution = TableDistribution()
    before = distribution.tables.current(0)
    distribution.set_weight(2, 2.0)
    newest = distribution.tables.current(0)
    encoder = distribution.encoder
    assert encoder.update(0, before, newest).payload is encoder.update(0, before, newest).payload
    assert isinstance(encoder.update(1, before, newest).update, TableSnapshot), (
        "a version of another table can't be the base"
    )


ACTIONS = st.sampled_from(
    ["weight", "remove", "withdraw", "return", "send", "lose", "duplicate", "reorder", "damage", "restart"]
)


@given(st.lists(st.tuples(ACTIONS, st.integers(0, 11), st.floats(0.1, 16)), max_size=80), st.integers(0, 99))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_a_proxy_ends_in_sync_after_losses_reorderings_damage_and_restarts(steps, seed):
    distribution, rng, in_flight, epoch = TableDistribution(), random.Random(seed), [], 1

    def deliver(update):
        if distribution.follower.apply(update) is not None:
            distribution.base = None  # the proxy reports the fault, so a snapshot follows

    for action, number, weight in steps:
        if action == "weight":
            distribution.set_weight(number, weight)
        elif action == "remove":
            distribution.set_weight(number, 0.0)
        elif action in ("withdraw", "return"):
            distribution.tables.apply(model.SetWithdrawn(server_key(number), action == "withdraw"))
        elif action == "send":
            in_flight.append(distribution.next_update())
            if rng.random() < 0.7:
                deliver(in_flight.pop(0))
        elif action == "lose" and in_flight:
            in_flight.pop(rng.randrange(len(in_flight)))
        elif action == "duplicate" and in_flight:
            in_flight.append(in_flight[0])
        elif action == "reorder":
            rng.shuffle(in_flight)
        elif action == "damage" and in_flight and isinstance(in_flight[0], TableDelta):
            deliver(msgspec.structs.replace(in_flight.pop(0), digest="0" * 16))
        elif action == "restart":  # a director with a new epoch; messages in flight may still arrive
            epoch += 1
            distribution.encoder, distribution.base = TableUpdateEncoder(f"e{epoch}"), None
            distribution.tables.history.clear()
            distribution.tables.snapshots.clear()
            in_flight.append(ProxyAssignment(f"e{epoch}", 0, (), distribution.next_update()))
            deliver(in_flight.pop())
        assert not set(distribution.follower.available_servers()) - {
            f"127.0.0.1:{9000 + number}" for number in range(12)
        }
    for update in in_flight:
        deliver(update)
    if distribution.follower.awaiting_snapshot or not distribution.in_sync():
        # Without further losses, one more update and the proxy's report on it must be sufficient.
        distribution.set_weight(0, 7.5 if distribution.tables.lines[0].get(server_key(0)) != 7.5 else 8.5)
        deliver(distribution.next_update())
        if distribution.base is None:
            deliver(distribution.next_update())
    assert distribution.in_sync()
    assert canonical_digest(distribution.follower.weights) == distribution.tables.current(0).digest
