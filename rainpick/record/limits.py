"""How closely the commands of a day approached the limits in the decision settings."""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple

from rainpick import model
from rainpick.record.schema import format_address


class LimitApproach(NamedTuple):
    """The closest approach of a day to a limit."""

    fraction: float  # fraction of the limit: 1.0 if it was reached, more if it was exceeded
    at_us: int  # time on the director's clock
    subject: str  # a server, a proxy or a number of lines


class LimitTracker:
    """Tracks the closest approach to each limit that the decision settings define.

    ``approaches`` has the closest approaches by name of the limit. The names are part of the output.
    """

    def __init__(self, settings: dict[str, Any]):
        self.max_pending_lines = settings.get("proxies.pending_max") or 0  # 0: no limit
        self.max_messages = settings.get("proxies.pushes_allowed") or 0  # per proxy; 0: no limit
        self.message_window_us = settings.get("proxies.counted_over_us") or 1
        self.drain_grace_us = settings.get("rules.drain_grace_us") or 0  # 0: no limit
        self.warm_after_us = settings.get("rules.warm_after_us") or 0
        self.start_capacity = settings.get("rules.start_capacity", 1.0)  # fraction of the listed weight
        self.approaches: dict[str, LimitApproach] = {}

    def observe(self, limit: str, fraction: float, now: int, subject: str) -> None:
        """Record an approach to a limit if it is closer than every earlier one."""
        if limit not in self.approaches or fraction > self.approaches[limit].fraction:
            self.approaches[limit] = LimitApproach(fraction, now, subject)

    def observe_drain(self, now: int, address: Any, ended_us: int) -> None:
        """Compare the drain time of a server, which is no longer published, with the drain grace.

        ``ended_us`` is the time at which the server was listed as draining or gone.
        """
        if self.drain_grace_us:
            self.observe("drain", (now - ended_us) / self.drain_grace_us, now, format_address(address))

    def observe_message(self, now: int, proxy: int, sent_us: deque[int]) -> None:
        """Add a message to ``sent_us``, the times of the recent messages to a proxy.

        Their number is compared with the limit on messages to one proxy.
        """
        while sent_us and sent_us[0] <= now - self.message_window_us:
            sent_us.popleft()
        sent_us.append(now)
        if self.max_messages:
            self.observe("messages", len(sent_us) / self.max_messages, now, f"proxy {proxy}")

    def observe_queue(self, now: int, lines: int) -> None:
        """Compare the number of unacknowledged lines with its limit."""
        if self.max_pending_lines:
            self.observe("queue", lines / self.max_pending_lines, now, f"{lines} lines")

    def observe_warming(self, now: int, entry: model.Endpoint, weight: float) -> None:
        """Compare the published weight of a server in slow start with its capacity at its age."""
        age_us = now - entry.started_us
        capacity = self.start_capacity + (1 - self.start_capacity) * age_us / self.warm_after_us
        self.observe("cold", weight / max(entry.weight * capacity, 1e-9), now, format_address(entry.address))
