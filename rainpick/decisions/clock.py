"""The time of a step, and the time buckets into which observations are sorted."""

from __future__ import annotations

from rainpick.decisions.settings import TICK_US, DecisionSettings
from rainpick.decisions.sliding_window import RECENT_BUCKETS

OVERLOAD_BUCKET_US = TICK_US // 2  # minimum length of overload buckets


class StepClock:
    """The time of the current step, and the numbers of its buckets.

    ``bucket`` is the number of the bucket for load reports, ``overload_bucket`` the number of the bucket for
    the observations of overload protection.
    """

    __slots__ = ("bucket", "bucket_us", "now", "overload_bucket_us", "settings")

    def __init__(self, settings: DecisionSettings, now: int):
        self.settings = settings
        self.bucket_us = self.overload_bucket_us = settings.report_interval_us
        self.advance(now)

    def advance(self, now: int) -> None:
        """Set the time of a new step."""
        self.now = now
        self.bucket = now // self.bucket_us

    @property
    def overload_bucket(self) -> int:
        """The number of the current bucket for the observations of overload protection."""
        return self.now // self.overload_bucket_us

    def fit_buckets(self, servers: int, zones: int) -> None:
        """Set the length of buckets so that ``RECENT_BUCKETS`` of them contain a report on every server.

        Load reports reach a director at a limited rate, so a round with a report on every server may take
        longer than the report interval. A shorter window would contain no reports on most servers.
        """
        settings = self.settings
        zones = max(settings.directors, zones)
        lines = (settings.expected_proxies * len(settings.routes) + servers * zones) / settings.directors
        round_us = lines / settings.reports_per_s * 1e6
        self.bucket_us = max(settings.report_interval_us, int(round_us / RECENT_BUCKETS))
        self.bucket = self.now // self.bucket_us
        self.overload_bucket_us = max(OVERLOAD_BUCKET_US, self.bucket_us)
