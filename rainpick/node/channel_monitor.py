"""Watches the channel to the proxies for the log: takeovers, deadlines that come near, and peaks."""

from __future__ import annotations

from typing import Any

from rainpick.decisions.send_queue import ChannelState
from rainpick.node.log import log

PERIOD_US = 1_000_000  # between two looks at the channel
NEAR_DEADLINE = 0.8  # of the drain grace
PEAK_FIELDS = "waiting", "backlog", "unbound", "grace_used"


def rounded(channel: ChannelState) -> dict[str, Any]:
    """The channel's figures as the log has them."""
    return {name: round(value, 3) for name, value in channel._asdict().items()}


class ChannelMonitor:
    """Handed the state of the channel once a period."""

    def __init__(self) -> None:
        self.due_us = 0  # when the next look is due
        self.takeover = False  # at the last look
        self.peaks: dict[str, float] = {}
        self.reset_peaks()

    def reset_peaks(self) -> None:
        """Begin another period of the peaks."""
        self.peaks = dict.fromkeys(PEAK_FIELDS, 0)

    def observe(self, channel: ChannelState) -> None:
        """Log begin and end of a takeover, and what comes near its deadline; update the peaks."""
        for name in self.peaks:
            self.peaks[name] = max(self.peaks[name], getattr(channel, name))
        if channel.takeover != self.takeover:
            self.takeover = channel.takeover
            log.info("takeover begins" if channel.takeover else "takeover ends", **rounded(channel))
        if channel.grace_used > NEAR_DEADLINE:
            log.warning("drains or bindings near the drain grace", **rounded(channel))

    def rounded_peaks(self) -> dict[str, float]:
        """The peaks as the log has them."""
        return {name: round(peak, 3) for name, peak in self.peaks.items()}
