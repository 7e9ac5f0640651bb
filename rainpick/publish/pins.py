"""Tables that people pinned to an earlier version: what of it may be published. Free of I/O.

A pin is a new version with old content, less what has drained or gone since, and never more than the
decisions give a server that is not warm. When nothing open is left of it, the ordinary table is published.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from rainpick.director.tables import SHUT, Lines, Snapshot


class Pin(NamedTuple):
    table: int
    version: int  # whose content it is
    lines: Lines
    who: str
    why: str
    since_us: int


class PinError(Exception):
    """What was asked for can't be done; the text says why."""


class Pins:
    """All pins of a director. ``listed`` and ``warm`` ask about a server as it is now."""

    def __init__(
        self,
        listed: Callable[[tuple], bool],
        withdrawn: Callable[[tuple], bool],
        warm: Callable[[tuple], bool],
    ):
        self.listed, self.withdrawn, self.warm = listed, withdrawn, warm
        self.pins: dict[int, Pin] = {}
        self.idle: set[int] = set()  # pinned, but nothing open was left of it

    def pin(self, table: int, old: Snapshot | None, who: str, why: str, now: int) -> Pin:
        if old is None:
            raise PinError(f"that version of table {table} is not kept any more")
        if not who or not why:
            raise PinError("who does it, and why, must be said")
        pin = Pin(table, old.version, dict(old.lines), who, why, now)
        if not any(weight for weight, _ in self.usable(pin, {}).values()):
            raise PinError(f"every server of version {old.version} has drained or gone, or is cold")
        self.pins[table] = pin
        return pin

    def release(self, table: int) -> Pin:
        if table not in self.pins:
            raise PinError(f"table {table} is not pinned")
        self.idle.discard(table)
        return self.pins.pop(table)

    def usable(self, pin: Pin, ordinary: Lines) -> Lines:
        """What may be published of a pin now."""
        found: Lines = {}
        for server, (weight, flags) in pin.lines.items():
            if not self.listed(server):
                continue
            if self.withdrawn(server):
                found[server] = 0, SHUT
            elif weight and self.warm(server):
                found[server] = weight, flags
            elif server in ordinary:  # cold: never more than the decisions give it
                now, its = ordinary[server]
                found[server] = (min(weight, now), its) if weight else (0, SHUT)
        return found

    def overlay(self, table: int, ordinary: Lines) -> Lines:
        """What is published of a table."""
        pin = self.pins.get(table)
        if pin is None:
            return ordinary
        found = self.usable(pin, ordinary)
        if any(weight for weight, _ in found.values()):
            self.idle.discard(table)
            return found
        self.idle.add(table)
        return ordinary
