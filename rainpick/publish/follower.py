"""Proxy side of table distribution: ``TableFollower`` applies snapshots and deltas and detects faults."""

from __future__ import annotations

from xxhash import xxh3_64_hexdigest

from rainpick.publish.payloads import (
    DirectorMessage,
    FaultCause,
    ProxyAssignment,
    RouteAdmission,
    ServerWeight,
    SyncFault,
    TableDelta,
    TableSnapshot,
)


def canonical_digest(weights: dict[str, int]) -> str:
    """Return the digest of a table, whose weights are given by server address.

    The director computes the same digest in ``snapshots.digest``.
    """
    rows = sorted(f"{server} {weight}\n" for server, weight in weights.items())
    return xxh3_64_hexdigest("".join(rows).encode())


class TableFollower:
    """A proxy's copy of its table, kept up to date by the messages of the director.

    ``weights`` maps server addresses to weights; the weight of a withdrawn server is 0. A fault is a delta
    whose base version is not the version of the copy, or an update whose digest is not that of the updated
    table. The follower reports a fault once. Until the next snapshot it then keeps its entries and applies
    only the withdrawals in deltas.
    """

    def __init__(self, weights: dict[str, int] | None = None):
        self.weights: dict[str, int] = dict(weights or {})
        self.epoch = ""
        self.table: int | None = None
        self.version = 0
        self.digest = ""
        self.awaiting_snapshot = False
        self.admissions: tuple[RouteAdmission, ...] = ()

    def apply(self, message: DirectorMessage) -> SyncFault | None:
        """Apply a message of the director; return the fault to report if the message does not fit."""
        if isinstance(message, ProxyAssignment):
            return self._apply_assignment(message)
        if message.table != self.table or message.epoch != self.epoch:
            return None  # the message is for a table to which this proxy is not assigned
        if isinstance(message, TableSnapshot):
            return self._apply_snapshot(message)
        return self._apply_delta(message)

    def report_fault(self, cause: FaultCause) -> SyncFault | None:
        """Until the next snapshot, apply only the withdrawals and removals in deltas.

        Returns the fault to report to the director; None if one was reported since the last snapshot.
        """
        if self.awaiting_snapshot:
            return None
        self.awaiting_snapshot = True
        return SyncFault(cause, self.epoch, self.table, self.version)

    def available_servers(self) -> dict[str, int]:
        """Return the weights of the servers that are not withdrawn."""
        return {server: weight for server, weight in self.weights.items() if weight}

    def _apply_assignment(self, assignment: ProxyAssignment) -> SyncFault | None:
        self.admissions = assignment.admissions
        if assignment.epoch != self.epoch or assignment.table != self.table:
            self.epoch = assignment.epoch
            self.table = assignment.table
            self.version = 0
            self.awaiting_snapshot = False
        if assignment.table is None:
            held = [entry for entry in assignment.updated if entry.server in self.weights]
            self.weights.update(_by_server(held))
            return None
        if assignment.table_update is None:
            return None
        return self.apply(assignment.table_update)

    def _apply_snapshot(self, snapshot: TableSnapshot) -> SyncFault | None:
        if snapshot.version < self.version and not self.awaiting_snapshot:
            return None  # the snapshot is older than the current version
        weights = _by_server(snapshot.lines)
        if canonical_digest(weights) != snapshot.digest:
            return self.report_fault("digest")
        self._replace_entries(weights, snapshot)
        self.awaiting_snapshot = False
        return None

    def _apply_delta(self, delta: TableDelta) -> SyncFault | None:
        if self.awaiting_snapshot:
            self._apply_withdrawals(delta)
            return None
        if delta.version <= self.version:
            return None  # the delta is a duplicate, or was overtaken by a newer version
        if delta.base_version != self.version:
            self._apply_withdrawals(delta)
            return self.report_fault("gap")
        removed = frozenset(delta.removed)
        weights = {server: weight for server, weight in self.weights.items() if server not in removed}
        weights |= _by_server(delta.updated)
        if canonical_digest(weights) != delta.digest:
            self._apply_withdrawals(delta)
            return self.report_fault("digest")
        self._replace_entries(weights, delta)
        return None

    def _replace_entries(self, weights: dict[str, int], update: TableSnapshot | TableDelta) -> None:
        self.weights = weights
        self.version = update.version
        self.digest = update.digest

    def _apply_withdrawals(self, delta: TableDelta) -> None:
        """Stop using the servers that a delta withdraws or removes; its other entries can't be applied.

        The version that the delta leads to does not use these servers.
        """
        for server in delta.removed:
            self.weights.pop(server, None)
        for entry in delta.updated:
            if not entry.weight and entry.server in self.weights:
                self.weights[entry.server] = 0


def _by_server(entries: list[ServerWeight] | tuple[ServerWeight, ...]) -> dict[str, int]:
    return {entry.server: entry.weight for entry in entries}
