"""Monitors the paced channel to the proxies; logs takeovers, drains close to their deadline, and peaks.

A takeover is a time during which more proxies are unbound than can be bound at once, as after the failure of
another director.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from rainpick.decisions.send_queue import ChannelState
from rainpick.node.log import log

OBSERVATION_PERIOD_US = 1_000_000
GRACE_USED_WARNING = 0.8  # fraction of the drain grace above which a warning is logged
PEAK_FIELDS = "waiting", "backlog", "unbound", "uncertain", "grace_used", "silent_s"


def rounded(channel: ChannelState) -> dict[str, Any]:
    """Return the fields of a channel state, numbers rounded for the log."""
    return {
        name: value if isinstance(value, Mapping) else round(value, 3)
        for name, value in channel._asdict().items()
    }


class ChannelMonitor:
    """Observes the state of the channel. The event loop calls it once per ``OBSERVATION_PERIOD_US``."""

    def __init__(self) -> None:
        self.due_us = 0  # time of the next observation
        self.takeover = False  # whether a takeover was in progress at the last observation
        self.peaks: dict[str, float] = {}
        self.reset_peaks()

    def reset_peaks(self) -> None:
        """Reset the peak values, at the start of a status period."""
        self.peaks = dict.fromkeys(PEAK_FIELDS, 0)

    def observe(self, channel: ChannelState) -> None:
        """Update the peaks, log begin and end of a takeover, and warn if the drain grace is nearly over."""
        for name in self.peaks:
            self.peaks[name] = max(self.peaks[name], getattr(channel, name))
        if channel.takeover != self.takeover:
            self.takeover = channel.takeover
            log.info("takeover begins" if channel.takeover else "takeover ends", **rounded(channel))
        if channel.grace_used > GRACE_USED_WARNING:
            log.warning("drains or bindings near the drain grace", **rounded(channel))

    def rounded_peaks(self) -> dict[str, float]:
        """Return the peak values, rounded for the log."""
        return {name: round(peak, 3) for name, peak in self.peaks.items()}
