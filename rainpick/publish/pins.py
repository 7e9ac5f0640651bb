"""Tables that operators pinned to an earlier version, and which of its entries may still be published.

A pin becomes a new version with the old content, less the servers that were withdrawn or left the endpoint
list since. A server that is not warmed up never gets more weight than the decisions give it. When no
available server is left of a pin, the ordinary table is published.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from rainpick.director.addresses import Key
from rainpick.director.snapshots import WITHDRAWN, Lines, Snapshot

Entry = tuple[int, int]  # weight and flags
WITHDRAWN_ENTRY: Entry = (0, WITHDRAWN)


class PinnedVersion(NamedTuple):
    """The content of an earlier version of a table, and who pinned it, why and when."""

    table: int
    version: int
    lines: Lines
    operator: str
    reason: str
    since_us: int


class PinError(Exception):
    """A table can't be pinned or released; the message says why."""


class TablePins:
    """All pinned tables of a director.

    The callbacks say of a server, as of now, whether the endpoint list holds it, whether it is withdrawn and
    whether it is warmed up.
    """

    def __init__(
        self,
        is_listed: Callable[[Key], bool],
        is_withdrawn: Callable[[Key], bool],
        is_warmed_up: Callable[[Key], bool],
    ):
        self.is_listed = is_listed
        self.is_withdrawn = is_withdrawn
        self.is_warmed_up = is_warmed_up
        self.by_table: dict[int, PinnedVersion] = {}
        self.idle_tables: set[int] = set()  # pinned, but no available server was left of the pin

    def pin(
        self, table: int, snapshot: Snapshot | None, operator: str, reason: str, now_us: int
    ) -> PinnedVersion:
        """Pin a table to a version; ``PinError`` if that is unknown (None) or nothing of it can be used."""
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
        """End a pin and return it; ``PinError`` if there is none."""
        if table not in self.by_table:
            raise PinError(f"table {table} is not pinned")
        self.idle_tables.discard(table)
        return self.by_table.pop(table)

    def overlay(self, table: int, ordinary_lines: Lines) -> Lines:
        """Return what to publish of a table whose content by the decisions is ``ordinary_lines``."""
        pin = self.by_table.get(table)
        if pin is None:
            return ordinary_lines
        lines = self._publishable_lines(pin, ordinary_lines)
        if _has_available_server(lines):
            self.idle_tables.discard(table)
            return lines
        self.idle_tables.add(table)
        return ordinary_lines

    def _publishable_lines(self, pin: PinnedVersion, ordinary_lines: Lines) -> Lines:
        lines: Lines = {}
        for server, pinned in pin.lines.items():
            if not self.is_listed(server):
                continue
            if self.is_withdrawn(server):
                lines[server] = WITHDRAWN_ENTRY
            elif pinned[0] and self.is_warmed_up(server):
                lines[server] = pinned
            elif server in ordinary_lines:
                lines[server] = _limited_entry(pinned, ordinary_lines[server])
        return lines


def _limited_entry(pinned: Entry, ordinary: Entry) -> Entry:
    """Return the entry of a server that is not warmed up, or that was withdrawn in the pinned version."""
    pinned_weight, _ = pinned
    if not pinned_weight:
        return WITHDRAWN_ENTRY
    ordinary_weight, ordinary_flags = ordinary
    return min(pinned_weight, ordinary_weight), ordinary_flags


def _has_available_server(lines: Lines) -> bool:
    return any(weight for weight, _ in lines.values())
