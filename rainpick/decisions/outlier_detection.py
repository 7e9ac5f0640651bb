"""Ejects outliers: servers that fail or become unresponsive unlike the others, and partitioned zones.

A fault that all servers share ejects none of them. Under congestion an overloaded server cannot be
distinguished from a broken one, and each ejection worsens the congestion; so no server is ejected then.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from statistics import median

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.fleet_load import HEALTHY_SUCCESS_RATIO, FleetLoad, Observations
from rainpick.decisions.servers import GONE, MISSING, OBSERVATION_COLUMNS, ServerState
from rainpick.decisions.settings import TICK_US
from rainpick.decisions.sliding_window import BUCKETS, RECENT_BUCKETS, SlidingWindow
from rainpick.decisions.zone_coverage import ZoneCoverage

FAILURES_MIN = 4  # a server with fewer failures is not ejected
EXCESS_FRACTION = 0.3  # an outlier fails more than this fraction of attempts beyond the others' failure ratio
SIGNIFICANT_DEVIATIONS = 3  # standard deviations above the expected number of failures
FAST_LATENCY_MULTIPLE = 2  # a failing server below this multiple of the median latency is not overloaded
BROKEN_FAILURE_RATIO = 0.85  # a server that fails a larger fraction of its attempts is not merely overloaded
# A server is unresponsive if no attempts at it were reported for more than UNRESPONSIVE_REPORT_ROUNDS rounds
# of reports, although more than UNRESPONSIVE_ATTEMPTS_MIN attempts were expected in this time.
UNRESPONSIVE_ATTEMPTS_MIN = 8
UNRESPONSIVE_REPORT_ROUNDS = 2
EJECTED_FRACTION_MAX = 0.34  # maximum fraction of the listed weight of warm servers that may be ejected
UNREACHABLE_EJECTED_FRACTION_MAX = 0.6  # maximum fraction if the server to eject answers no attempts
PARTITIONED_SERVERS_MIN = 3  # a zone with fewer failing servers is not considered partitioned
PROBATION_ATTEMPTS = 3  # attempts needed before a recovering or missing server is evaluated by itself
# The first ejection lasts one tick; each further one in a row lasts twice as long, up to this many doublings.
BACKOFF_DOUBLINGS_MAX = 3
# A missing server is one that was dropped by an endpoint list that may be wrong. It is treated as gone if it
# fails a larger fraction of its attempts than this; the limit is higher if the whole fleet fails attempts.
MISSING_FAILURE_RATIO_MIN = 0.5


def is_significant(excess: float, attempts: float, baseline_ratio: float) -> bool:
    """Return whether failures above the baseline are significant, assuming a binomial distribution."""
    deviation: float = (attempts * baseline_ratio * (1 - baseline_ratio) + 1) ** 0.5
    return excess > SIGNIFICANT_DEVIATIONS * deviation


class DetectionSnapshot:
    """The load reports that one detection evaluates: those on warm servers that are not ejected.

    ``observed`` covers the whole window, ``recent`` its last ``RECENT_BUCKETS`` buckets, ``latest`` the
    current bucket.
    """

    def __init__(self, fleet: Fleet, load: FleetLoad):
        bucket = fleet.clock.bucket
        self.warm = [server for server in fleet.servers.values() if fleet.is_warm(server)]
        candidates = [server for server in self.warm if not server.ejected_until_us]
        self.observed = {server: Observations(*server.observations.sums(bucket)) for server in candidates}
        self.recent = {
            server: Observations(*server.observations.sums(bucket, RECENT_BUCKETS)) for server in candidates
        }
        self.latest = {server: Observations(*server.observations.sums(bucket, 1)) for server in candidates}
        self.attempts = sum(row.attempts for row in self.observed.values())
        self.failures = sum(row.failures for row in self.observed.values())
        self.mean_latency_us = {
            server: row.latency_us / row.answered for server, row in self.observed.items() if row.answered > 0
        }
        self.median_latency_us = median(self.mean_latency_us.values() or [0])
        ages_us = [fleet.clock.now - server.last_report_us for server in candidates] or [0]
        self.report_round_us = max(
            median(ages_us) + fleet.settings.report_interval_us, load.mean_report_interval_us
        )
        self.listed_weight = sum(server.endpoint.weight for server in self.warm)
        self.effective_weight = sum(server.effective_weight() for server in candidates) or 1.0


class OutlierDetector:
    """Evaluates load reports, marks servers as ejected, and ends ejections."""

    def __init__(self, fleet: Fleet, load: FleetLoad, coverage: ZoneCoverage):
        self.fleet = fleet
        self.load = load
        self.coverage = coverage

    def detect(self) -> None:
        """Eject the outliers that the load reports show, in descending order of their failures.

        A server whose ejection would exceed the maximum ejected weight is skipped, and so is the last warm
        one of a zone in a table whose proxies have routes that keep to the zone.
        """
        self.load.update_totals()
        self.remove_failing_missing_servers()
        snapshot = DetectionSnapshot(self.fleet, self.load)
        self.load.update_medians(snapshot.recent)
        observed = snapshot.observed
        candidate_weight = sum(server.endpoint.weight for server in observed)
        ejected_weight = snapshot.listed_weight - candidate_weight
        partitioned = partitioned_zone(snapshot.latest)
        for server in sorted(observed, key=lambda server: -observed[server].failures):
            unreachable = self.is_unresponsive(server, snapshot) or (
                server.endpoint.zone == partitioned and server.recovering_since_us is None
            )
            if not unreachable and not self.is_failing(server, snapshot):
                continue
            row = observed[server]
            no_answers = unreachable or row.failures == row.attempts > 0
            weight = ejected_weight + server.endpoint.weight
            is_within_limit = weight <= snapshot.listed_weight * self.ejected_fraction_max(no_answers)
            if is_within_limit and not self.coverage.is_needed(server):
                ejected_weight = weight
                self.eject(server)

    def ejected_fraction_max(self, no_answers: bool) -> float:
        """Return the fraction of the listed weight that all ejected servers together may have.

        It is larger for the ejection of a server that answers no attempts, and 0 under congestion.
        """
        if self.load.is_congested:
            return 0
        return UNREACHABLE_EJECTED_FRACTION_MAX if no_answers else EJECTED_FRACTION_MAX

    def is_failing(self, server: ServerState, snapshot: DetectionSnapshot) -> bool:
        """Return whether a server fails significantly more than the others, and not because of overload.

        A server that recovers from an ejection is failing if it fails over half of its attempts.
        """
        row = snapshot.observed[server]
        if (
            server.consecutive_ejections
            and server.recovering_since_us is not None
            and row.attempts >= PROBATION_ATTEMPTS
        ):
            return row.failures > row.attempts / 2
        baseline_ratio = max(0, snapshot.failures - row.failures) / max(1, snapshot.attempts - row.attempts)
        excess = row.failures - baseline_ratio * row.attempts
        return (
            is_significant(excess, row.attempts, baseline_ratio)
            and row.failures >= FAILURES_MIN
            and excess > EXCESS_FRACTION * row.attempts
            and self.is_broken(server, snapshot)
        )

    def is_broken(self, server: ServerState, snapshot: DetectionSnapshot) -> bool:
        """Return whether a failing server is broken rather than overloaded.

        A broken server answers fast or not at all. In a healthy fleet a server is also broken if it fails
        more than ``BROKEN_FAILURE_RATIO`` of its attempts, in the whole window or recently.
        """
        row = snapshot.observed[server]
        fast_limit_us = min(
            FAST_LATENCY_MULTIPLE * snapshot.median_latency_us, self.fleet.settings.latency_objective_us
        )
        if snapshot.mean_latency_us.get(server, 0) < fast_limit_us or row.failures == row.attempts > 0:
            return True
        # A server that hangs may have answered earlier attempts in the window; these must not hide the fault.
        recent = snapshot.recent[server]
        hangs = recent.failures >= FAILURES_MIN and recent.failures > BROKEN_FAILURE_RATIO * recent.attempts
        return self.load.is_healthy and (row.failures > BROKEN_FAILURE_RATIO * row.attempts or hangs)

    def is_unresponsive(self, server: ServerState, snapshot: DetectionSnapshot) -> bool:
        """Return whether a server had no report for so long that attempts at it must be hanging.

        Always false unless the fleet as a whole is healthy.
        """
        clock = self.fleet.clock
        unreported_us = clock.now - server.last_report_us if server.last_report_us else 0
        share = server.effective_weight() / snapshot.effective_weight
        expected_attempts = share * snapshot.attempts * unreported_us / (BUCKETS * clock.bucket_us)
        is_overdue = unreported_us > UNRESPONSIVE_REPORT_ROUNDS * snapshot.report_round_us
        return is_overdue and expected_attempts > UNRESPONSIVE_ATTEMPTS_MIN and self.load.is_healthy

    def eject(self, server: ServerState) -> None:
        """Eject a server; the duration doubles with each ejection in a row, up to a maximum."""
        doublings = min(server.consecutive_ejections, BACKOFF_DOUBLINGS_MAX)
        server.ejected_until_us = self.fleet.clock.now + TICK_US * 2**doublings
        server.consecutive_ejections += 1
        server.recovering_since_us = None

    def readmit(self) -> None:
        """Begin the recovery of servers whose ejection has ended; called once a tick."""
        now = self.fleet.clock.now
        for server in self.fleet.servers.values():
            if server.ejected_until_us and now >= server.ejected_until_us:
                server.ejected_until_us = 0
                server.recovering_since_us = now
                server.last_report_us = 0
                server.observations = SlidingWindow(OBSERVATION_COLUMNS)

    def remove_failing_missing_servers(self) -> None:
        """Mark missing servers that fail as gone.

        A missing server was dropped by an endpoint list that may be wrong, and is used while it answers. This
        delays the removal of servers that have really stopped. Therefore the reports on all missing servers
        are evaluated together as well: if they show failures, each server that answers nothing is removed.
        """
        bucket = self.fleet.clock.bucket
        missing = {
            server: Observations(*server.observations.sums(bucket))
            for server in self.fleet.servers.values()
            if server.status == MISSING
        }
        # Under congestion even servers that work fail some attempts.
        limit = max(MISSING_FAILURE_RATIO_MIN, 1 - self.load.success_ratio + EXCESS_FRACTION)
        attempts = PROBATION_ATTEMPTS + sum(row.attempts for row in missing.values())
        all_failing = sum(row.failures for row in missing.values()) > attempts * limit
        for server, row in missing.items():
            answers_nothing = all_failing and row.failures == row.attempts
            failing = row.attempts >= PROBATION_ATTEMPTS and row.failures > row.attempts * limit
            if answers_nothing or failing:
                server.status = GONE
                server.presumed_gone = True


class ZoneObservations:
    """The observations of the latest bucket, added up over the servers of one zone."""

    def __init__(self, rows: Iterable[Observations]):
        rows = list(rows)
        self.servers = len(rows)
        self.attempts = sum(row.attempts for row in rows)
        self.failures = sum(row.failures for row in rows)
        self.failing_servers = sum(row.failures > EXCESS_FRACTION * row.attempts for row in rows)

    def is_partitioned(self, other_attempts: int, other_failures: int) -> bool:
        """Return whether most servers of the zone fail while servers of other zones answer."""
        baseline_ratio = other_failures / max(1, other_attempts)
        excess = self.failures - baseline_ratio * self.attempts
        return (
            is_significant(excess, self.attempts, baseline_ratio)
            and self.failures >= 2 * FAILURES_MIN
            and excess > EXCESS_FRACTION * self.attempts
            and 2 * self.failing_servers > self.servers
            and self.failing_servers >= PARTITIONED_SERVERS_MIN
            and other_attempts > self.attempts
            and baseline_ratio < 1 - HEALTHY_SUCCESS_RATIO
        )


def partitioned_zone(latest: dict[ServerState, Observations]) -> int | None:
    """Return a zone most of whose servers fail in the latest bucket while other zones answer, or None.

    Reports also cover the time before the partition, so for seconds no single server has enough failures to
    be ejected. The latest bucket shows the partition when the servers of a zone are evaluated together.
    """
    rows = defaultdict(list)
    for server, row in latest.items():
        if row.attempts:
            rows[server.endpoint.zone].append(row)
    zones = {zone: ZoneObservations(rows[zone]) for zone in rows}
    attempts = sum(zone.attempts for zone in zones.values())
    failures = sum(zone.failures for zone in zones.values())
    for number, zone in zones.items():
        if zone.is_partitioned(attempts - zone.attempts, failures - zone.failures):
            return number
    return None
