"""Director side of table distribution: updates from a subscriber's version of a table to the newest one.

A subscriber gets a single update, no matter how many versions it missed: a delta from its version if that is
shorter, otherwise a snapshot.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from rainpick.director.snapshots import Delta, Line, Snapshot
from rainpick.publish.payloads import (
    ServerWeight,
    TableDelta,
    TableSnapshot,
    TableUpdate,
    encode,
    format_address,
)

MAX_SHARED_UPDATES = 256


class EncodedUpdate(NamedTuple):
    """A table update and its encoded payload."""

    update: TableUpdate
    payload: bytes


class TableUpdateEncoder:
    """Creates and encodes table updates. Subscribers that need the same update share one encoded payload."""

    def __init__(self, epoch: str):
        self.epoch = epoch
        # Key: table, base version (None for a snapshot) and newest version. Versions compare by identity.
        self._shared: OrderedDict[tuple[int, Snapshot | None, Snapshot], EncodedUpdate] = OrderedDict()

    def update(self, table: int, held: Snapshot | None, newest: Snapshot) -> EncodedUpdate:
        """Return the update to version ``newest`` of a table for a subscriber that holds version ``held``.

        The update is a snapshot if ``held`` is None, of another table, or has unknown weights.
        """
        is_base = held is not None and held.known and held.table == table
        base = held if is_base else None
        shared_key = (table, base, newest)
        shared = self._shared.get(shared_key)
        if shared is not None:
            return shared
        update = self._shorter_update(table, base, newest)
        encoded = EncodedUpdate(update, encode(update))
        self._shared[shared_key] = encoded
        if len(self._shared) > MAX_SHARED_UPDATES:
            self._shared.popitem(last=False)
        return encoded

    def snapshot(self, table: int, newest: Snapshot) -> TableSnapshot:
        """Return the message that carries all entries of version ``newest``, withdrawn servers first."""
        return TableSnapshot(
            self.epoch, table, newest.version, newest.digest, _server_weights(newest.sorted_entries())
        )

    def delta(self, table: int, base: Snapshot, newest: Snapshot) -> TableDelta:
        """Return the message that turns version ``base`` of a table into ``newest``, withdrawals first."""
        delta = base.delta_to(newest)
        updated = _server_weights([line for line in delta.lines if line.server in newest.lines])
        removed = tuple(
            [format_address(line.server) for line in delta.withdrawn if line.server not in newest.lines]
        )
        return TableDelta(self.epoch, table, base.version, newest.version, newest.digest, updated, removed)

    def unbound_weights(self, delta: Delta) -> tuple[ServerWeight, ...]:
        """Convert a delta to entries for a proxy without a table; they withdraw and readmit its servers."""
        return _server_weights(delta.lines)

    def _shorter_update(self, table: int, base: Snapshot | None, newest: Snapshot) -> TableUpdate:
        if base is not None:
            delta = self.delta(table, base, newest)
            if len(delta.updated) + len(delta.removed) < len(newest.lines):
                return delta
        return self.snapshot(table, newest)


def _server_weights(lines: list[Line] | tuple[Line, ...]) -> tuple[ServerWeight, ...]:
    return tuple([ServerWeight(format_address(line.server), line.weight) for line in lines])
