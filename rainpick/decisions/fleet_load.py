"""The latency and the success ratio of the whole fleet, computed from load reports."""

from __future__ import annotations

from collections.abc import Mapping
from statistics import median
from typing import NamedTuple

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.servers import ServerState
from rainpick.decisions.sliding_window import RECENT_BUCKETS, SlidingWindow
from rainpick.model import ServerLoadReport

SUCCESS_RATIO_ATTEMPTS_MIN = 4  # fewer attempts count as this many, since they do not represent the fleet
HEALTHY_SUCCESS_RATIO = 0.7  # a fleet that answers a smaller fraction of its attempts is not healthy
CONGESTED_LATENCY_RATIO = 0.6  # a fleet is congested above this ratio of median latency to the objective


class Observations(NamedTuple):
    """Attempts at a server over a time window."""

    attempts: int
    failures: int
    latency_us: int  # total latency of answered attempts

    @property
    def answered(self) -> int:
        """The number of attempts that did not fail."""
        return self.attempts - self.failures


class FleetLoad:
    """Aggregated load reports of all servers.

    ``latency_ratio`` is the median of the servers' mean latencies, divided by the latency objective in the
    settings. ``success_ratio`` is the fraction of all recent attempts that were answered,
    ``typical_success_ratio`` the median of this fraction over the servers.
    """

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        # Over all servers: attempts, failures, the sum of report intervals, the number of reports.
        self.totals = SlidingWindow(4)
        self.has_new_reports = False
        self.latency_ratio = 0.0
        self.success_ratio = 1.0
        self.typical_success_ratio = 1.0
        self.mean_report_interval_us = 0.0

    def record(self, report: ServerLoadReport, capacity_settled_us: int) -> None:
        """Add a report to the totals, and to the observations of its server if it is known and not ejected.

        Overload protection ignores reports until the last change of the server's capacity factor has taken
        effect, and the last change of a machine type's factor, which it has at ``capacity_settled_us``.
        """
        clock = self.fleet.clock
        self.totals.add(clock.bucket, report.attempts, report.failures, report.interval_us, 1)
        server = self.fleet.servers.get(report.server)
        if not server or server.ejected_until_us:
            return
        answered = report.attempts - report.failures
        observed = report.attempts, report.failures, answered * report.mean_latency_us
        server.observations.add(clock.bucket, *observed)
        if clock.now >= max(server.capacity_settled_us, capacity_settled_us):
            server.overload_observations.add(clock.overload_bucket, *observed)
        server.last_report_us = clock.now
        self.has_new_reports = True

    def update_totals(self) -> None:
        """Update the success ratio of the fleet and the mean report interval from the recent reports."""
        attempts, failures, interval_us, reports = self.totals.sums(self.fleet.clock.bucket, RECENT_BUCKETS)
        self.success_ratio = 1 - failures / max(attempts, SUCCESS_RATIO_ATTEMPTS_MIN)
        self.mean_report_interval_us = interval_us / max(1, reports)

    def update_medians(self, recent: Mapping[ServerState, Observations]) -> None:
        """Update ``latency_ratio`` and ``typical_success_ratio`` from the recent observations of servers."""
        latencies = [row.latency_us / row.answered for row in recent.values() if row.answered > 0]
        failed = [row.failures / row.attempts for row in recent.values() if row.attempts]
        self.latency_ratio = median(latencies or [0]) / self.fleet.settings.latency_objective_us
        self.typical_success_ratio = 1 - median(failed or [0])

    @property
    def is_congested(self) -> bool:
        """Whether latency is too high to distinguish an overloaded server from a broken one."""
        return self.latency_ratio > CONGESTED_LATENCY_RATIO

    @property
    def is_healthy(self) -> bool:
        """Whether the fleet as a whole is neither congested nor failing."""
        return not self.is_congested and self.success_ratio >= HEALTHY_SUCCESS_RATIO
