"""Tables that operators pinned to an earlier version.

A pinned table is published as a new version with the entries of the earlier one. Servers that drain or have
been withdrawn since then are withdrawn, and servers that have left the endpoint list are omitted. A
server that is not warmed up gets at most the weight that the decision modules give it. If no available server
of the pin is left, the unpinned table is published.
"""

from __future__ import annotations

from collections.abc import Callable, Set
from typing import NamedTuple

from rainpick.director.addresses import Key
from rainpick.director.snapshots import WITHDRAWN, Lines, Snapshot

Entry = tuple[int, int]  # weight and flags
WITHDRAWN_ENTRY: Entry = (0, WITHDRAWN)


class PinnedVersion(NamedTuple):
    """A pin: the table, the entries of the pinned version, and operator, reason and time of the pin."""

    table: int
    version: int
    lines: Lines
    operator: str
    reason: str
    since_us: int


class PinError(Exception):
    """A table can't be pinned or released; the message states the reason."""


class TablePins:
    """All pinned tables of a director.

    The callbacks return the current state of a server: whether it is in the endpoint list, and of a listed
    one whether it is closed to new requests, because it drains or is withdrawn, and whether it is warmed up.
    """

    def __init__(
        self,
        is_listed: Callable[[Key], bool],
        is_closed: Callable[[Key], bool],
        is_warmed_up: Callable[[Key], bool],
    ):
        self.is_listed = is_listed
        self.is_closed = is_closed
        self.is_warmed_up = is_warmed_up
        self.by_table: dict[int, PinnedVersion] = {}
        self.idle_tables: set[int] = set()  # pinned tables whose pins have no available servers

    def pin(
        self, table: int, snapshot: Snapshot | None, operator: str, reason: str, now_us: int
    ) -> PinnedVersion:
        """Pin a table to the version ``snapshot``; an earlier pin of the table is replaced.

        ``PinError`` if ``snapshot`` is None (the version is not retained) or has no available servers, or if
        operator or reason is empty.
        """
        if snapshot is None:
            raise PinError(f"that version of table {table} is not kept any more")
        if not operator or not reason:
            raise PinError("who does it, and why, must be said")
        pin = PinnedVersion(table, snapshot.version, dict(snapshot.lines), operator, reason, now_us)
        if not _has_available_server(self._publishable_lines(pin, {})):
            raise PinError(f"every server of version {snapshot.version} has drained or gone, or is cold")
        self.by_table[table] = pin
        return pin

    def release(self, table: int) -> PinnedVersion:
        """End the pin of a table and return the pin; ``PinError`` if the table is not pinned."""
        if table not in self.by_table:
            raise PinError(f"table {table} is not pinned")
        self.idle_tables.discard(table)
        return self.by_table.pop(table)

    def tables_with(self, servers: Set[Key]) -> list[int]:
        """Return the numbers of the tables that are pinned to a version with any of these servers."""
        return [table for table, pin in self.by_table.items() if not servers.isdisjoint(pin.lines)]

    def lines_to_publish(self, table: int, unpinned_lines: Lines) -> Lines:
        """Return the entries to publish for a table: those of its pin, or ``unpinned_lines`` without one.

        ``unpinned_lines`` are the entries that the decision modules set. They are also published while the
        pin has no available servers.
        """
        pin = self.by_table.get(table)
        if pin is None:
            return unpinned_lines
        lines = self._publishable_lines(pin, unpinned_lines)
        if _has_available_server(lines):
            self.idle_tables.discard(table)
            return lines
        self.idle_tables.add(table)
        return unpinned_lines

    def _publishable_lines(self, pin: PinnedVersion, unpinned_lines: Lines) -> Lines:
        lines: Lines = {}
        for server, pinned in pin.lines.items():
            if not self.is_listed(server):
                continue
            if self.is_closed(server):
                lines[server] = WITHDRAWN_ENTRY
            elif pinned[0] and self.is_warmed_up(server):
                lines[server] = pinned
            elif server in unpinned_lines:
                lines[server] = _limited_entry(pinned, unpinned_lines[server])
        return lines


def _limited_entry(pinned: Entry, unpinned: Entry) -> Entry:
    """Return the entry to publish in a pinned table: its weight is the smaller of both weights.

    A server that was withdrawn in the pinned version (weight 0) stays withdrawn.
    """
    pinned_weight, _ = pinned
    if not pinned_weight:
        return WITHDRAWN_ENTRY
    unpinned_weight, unpinned_flags = unpinned
    return min(pinned_weight, unpinned_weight), unpinned_flags


def _has_available_server(lines: Lines) -> bool:
    return any(weight for weight, _ in lines.values())
