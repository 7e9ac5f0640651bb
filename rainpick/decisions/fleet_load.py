"""How the fleet as a whole is doing, from load reports: latency, answered attempts, congestion."""

from __future__ import annotations

from collections.abc import Mapping
from statistics import median
from typing import NamedTuple

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.servers import ServerState
from rainpick.decisions.sliding_window import RECENT_BUCKETS, SlidingWindow
from rainpick.model import ServerLoadReport

FEW_ATTEMPTS = 4  # failures say nothing of the fleet under so many attempts
CALM_SUCCESS_RATIO = 0.7  # a fleet that answers a lower part of its attempts is congested
CONGESTED_LATENCY_RATIO = 0.6  # so is one whose median latency is over this part of the objective


class Observations(NamedTuple):
    """Attempts at a server over a window."""

    attempts: int
    failures: int
    latency_us: int  # sum of those that were answered

    @property
    def answered(self) -> int:
        """Attempts that did not fail."""
        return self.attempts - self.failures


class FleetLoad:
    """Evidence from all servers together.

    ``latency_ratio`` is the median latency of servers over the latency objective, ``success_ratio`` the part
    of all attempts that was answered lately, ``typical_success_ratio`` that part at the median server.
    """

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        # Everywhere: attempts, failures, the reports' intervals, how many reports.
        self.totals = SlidingWindow(4)
        self.has_new_reports = False
        self.latency_ratio = 0.0
        self.success_ratio = 1.0
        self.typical_success_ratio = 1.0
        self.mean_report_interval_us = 0.0

    def record(self, report: ServerLoadReport, capacity_settled_us: int) -> None:
        """Take in a report. Evidence of overload counts from ``capacity_settled_us`` on."""
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
        """Work out what the reports on all servers say together."""
        attempts, failures, interval_us, reports = self.totals.sums(self.fleet.clock.bucket, RECENT_BUCKETS)
        self.success_ratio = 1 - failures / max(attempts, FEW_ATTEMPTS)
        self.mean_report_interval_us = interval_us / max(1, reports)

    def update_medians(self, recent: Mapping[ServerState, Observations]) -> None:
        """Work out how the median server is doing, from the recent observations of each."""
        latencies = [row.latency_us / row.answered for row in recent.values() if row.answered > 0]
        failed = [row.failures / row.attempts for row in recent.values() if row.attempts]
        self.latency_ratio = median(latencies or [0]) / self.fleet.settings.latency_objective_us
        self.typical_success_ratio = 1 - median(failed or [0])

    @property
    def is_congested(self) -> bool:
        """Whether servers are so slow that a full one and a dead one look alike."""
        return self.latency_ratio > CONGESTED_LATENCY_RATIO

    @property
    def is_calm(self) -> bool:
        """Whether the fleet is neither slow nor failing as a whole."""
        return not self.is_congested and self.success_ratio >= CALM_SUCCESS_RATIO
