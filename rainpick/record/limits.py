"""How near the orders of a day came to the limits of the rules."""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple

from rainpick import model
from rainpick.record.schema import format_address


class LimitApproach(NamedTuple):
    """The nearest approach to a limit."""

    fraction: float  # of the limit; 1.0 is at it
    at_us: int
    subject: str  # a server, a proxy or a number of lines


class Limits:
    """The limits by the decisions' settings, and the nearest approach to each of them.

    The keys of ``approaches`` are the names that are printed.
    """

    def __init__(self, settings: dict[str, Any]):
        self.pending_most = settings.get("proxies.pending_max") or 0  # lines; 0: no limit
        self.messages_most = settings.get("proxies.pushes_allowed") or 0  # per proxy; 0: no limit
        self.messages_over_us = settings.get("proxies.counted_over_us") or 1
        self.grace_us = settings.get("rules.drain_grace_us") or 0  # 0: no limit
        self.warm_us = settings.get("rules.warm_after_us") or 0
        self.start_capacity = settings.get("rules.start_capacity", 1.0)
        self.approaches: dict[str, LimitApproach] = {}

    def note(self, limit: str, fraction: float, now: int, subject: str) -> None:
        """Keep the nearest approach to a limit; of equals the first."""
        if limit not in self.approaches or fraction > self.approaches[limit].fraction:
            self.approaches[limit] = LimitApproach(fraction, now, subject)

    def note_drain(self, now: int, address: Any, ended_us: int) -> None:
        """Calls are kept from a server that is draining or gone since ``ended_us``."""
        if self.grace_us:
            self.note("drain", (now - ended_us) / self.grace_us, now, format_address(address))

    def note_message(self, now: int, proxy: int, sent_us: deque[int]) -> None:
        """A message is sent to a proxy. ``sent_us``: when it was sent earlier ones; this one is added."""
        while sent_us and sent_us[0] <= now - self.messages_over_us:
            sent_us.popleft()
        sent_us.append(now)
        if self.messages_most:
            self.note("messages", len(sent_us) / self.messages_most, now, f"proxy {proxy}")

    def note_queue(self, now: int, waiting: int) -> None:
        """So many lines are not acknowledged."""
        if self.pending_most:
            self.note("queue", waiting / self.pending_most, now, f"{waiting} lines")

    def note_warming(self, now: int, entry: model.Endpoint, weight: float) -> None:
        """A server in slow start: the weight that proxies were sent, over what it surely can do."""
        age_us = now - entry.started_us
        capacity = self.start_capacity + (1 - self.start_capacity) * age_us / self.warm_us
        self.note("cold", weight / max(entry.weight * capacity, 1e-9), now, format_address(entry.address))
