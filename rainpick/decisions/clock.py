"""The time of a step, and the buckets into which evidence is sorted by time."""

from __future__ import annotations

from rainpick.decisions.settings import TICK_US, DecisionSettings
from rainpick.decisions.sliding_window import RECENT_BUCKETS

OVERLOAD_BUCKET_US = TICK_US // 2  # the shortest buckets of the evidence of overload


class StepClock:
    """The clock of the step under way, and the numbers of its buckets.

    ``bucket`` counts buckets of load reports, ``overload_bucket`` those of the evidence of overload.
    """

    __slots__ = ("bucket", "bucket_us", "now", "overload_bucket_us", "settings")

    def __init__(self, settings: DecisionSettings, now: int):
        self.settings = settings
        self.bucket_us = self.overload_bucket_us = settings.report_interval_us
        self.advance(now)

    def advance(self, now: int) -> None:
        """Begin a step."""
        self.now = now
        self.bucket = now // self.bucket_us

    @property
    def overload_bucket(self) -> int:
        """The bucket of the evidence of overload."""
        return self.now // self.overload_bucket_us

    def fit_buckets(self, servers: int, zones: int) -> None:
        """Make buckets so long that the recent ones hold a report on every server.

        Reports come so many lines a second: a window shorter than a round of them has nothing of most
        servers.
        """
        settings = self.settings
        zones = max(settings.directors, zones)
        lines = (settings.expected_proxies * len(settings.routes) + servers * zones) / settings.directors
        round_us = lines / settings.reports_per_s * 1e6
        self.bucket_us = max(settings.report_interval_us, int(round_us / RECENT_BUCKETS))
        self.bucket = self.now // self.bucket_us
        self.overload_bucket_us = max(OVERLOAD_BUCKET_US, self.bucket_us)
