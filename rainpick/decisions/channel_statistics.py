"""Counts what was written to the paced channel and what was held back, for logs and metrics alone.

No decision reads these counts.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum


class Limit(Enum):
    """The limit that holds a command back."""

    QUEUE = "queue"  # the limit of waiting lines, less the reserve of the command's quota
    WINDOW = "window"  # the lines that may be written ahead of transmission
    MESSAGES = "messages"  # the cap on messages to a proxy


class ChannelStatistics:
    """Lines written by kind of command, and attempts to write that were held back, by kind and limit."""

    def __init__(self) -> None:
        self.written: Counter[str] = Counter()
        self.held_back: Counter[str] = Counter()
        # Of messages that were not counted, or no longer; calls that were merged are acknowledged repeatedly.
        self.unmatched_acknowledgements = 0

    def count_written(self, kind: str, lines: int) -> None:
        """Count lines of a kind of command, message heads included."""
        self.written[kind] += lines

    def count_held_back(self, kind: str, limit: Limit) -> None:
        """Count an attempt to write that a limit did not allow; it is repeated in later steps."""
        self.held_back[f"{kind}: {limit.value}"] += 1
