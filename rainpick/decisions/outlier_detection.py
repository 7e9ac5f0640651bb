"""Ejects outliers: servers that fail or fall silent beside the rest, and zones that are partitioned.

A fault that all servers share ejects nobody. Under congestion a full server and a dead one look alike, and
each ejection makes it worse: nobody is ejected then.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from statistics import median

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.fleet_load import CALM_SUCCESS_RATIO, FleetLoad, Observations
from rainpick.decisions.servers import GONE, MISSING, OBSERVED, ServerState
from rainpick.decisions.settings import TICK_US
from rainpick.decisions.sliding_window import BUCKETS, RECENT_BUCKETS, SlidingWindow

FAILURES_MIN = 4  # fewer failures eject nobody
EXCESS_FRACTION = 0.3  # of its attempts that fail beyond what is usual elsewhere
SURE_DEVIATIONS = 3  # standard deviations beyond chance
FAST_LATENCY_MULTIPLE = 2  # a server that answers the rest so fast, in median latencies, is not overrun
DEAD_FAILURE_RATIO = 0.85  # nor is one that fails so many of its attempts
SILENT_ATTEMPTS = 8  # silent: so many attempts were due over SILENT_ROUNDS rounds of reports, and none ended
SILENT_ROUNDS = 2
EJECTED_MAX = 0.34  # of the listed weight that may be ejected
DEAD_EJECTED_MAX = 0.6  # the same for servers that answer nothing
PARTITIONED_SERVERS_MIN = 3  # failing servers that make a zone partitioned, and most of those reported on
PROBATION_ATTEMPTS = 3  # a readmitted server is ejected if it fails more than half of so many attempts
BACKOFF_DOUBLINGS_MAX = 3  # an ejection lasts a tick, doubled with each further one, up to so often
MISSING_FAILURE_RATIO_MIN = 0.5  # a server that the list dropped is lost if it fails more than this


def is_beyond_chance(excess: float, attempts: float, usual: float) -> bool:
    """Whether so many failures over the usual ones are no chance, for a binomial distribution."""
    deviation: float = (attempts * usual * (1 - usual) + 1) ** 0.5
    return excess > SURE_DEVIATIONS * deviation


class Evidence:
    """What the reports of one step say of the serving servers that are warm and not ejected."""

    def __init__(self, fleet: Fleet, load: FleetLoad):
        bucket = fleet.clock.bucket
        self.ready = [server for server in fleet.servers.values() if fleet.is_warm(server)]
        judged = [server for server in self.ready if not server.ejected_until_us]
        self.observed = {server: Observations(*server.observations.sums(bucket)) for server in judged}
        self.recent = {
            server: Observations(*server.observations.sums(bucket, RECENT_BUCKETS)) for server in judged
        }
        self.latest = {server: Observations(*server.observations.sums(bucket, 1)) for server in judged}
        self.attempts = sum(row.attempts for row in self.observed.values())
        self.failures = sum(row.failures for row in self.observed.values())
        self.mean_latency_us = {
            server: row.latency_us / row.answered for server, row in self.observed.items() if row.answered > 0
        }
        self.median_latency_us = median(self.mean_latency_us.values() or [0])
        ages_us = [fleet.clock.now - server.last_report_us for server in judged] or [0]
        self.report_round_us = max(
            median(ages_us) + fleet.settings.report_interval_us, load.mean_report_interval_us
        )
        self.listed_weight = sum(server.endpoint.weight for server in self.ready)
        self.effective_weight = sum(server.effective_weight() for server in judged) or 1.0


class OutlierDetector:
    """Looks at new reports and marks servers as ejected."""

    def __init__(self, fleet: Fleet, load: FleetLoad):
        self.fleet = fleet
        self.load = load

    def detect(self) -> None:
        """Eject what is an outlier by the reports so far, those with most failures first."""
        self.load.update_totals()
        self.drop_lost_servers()
        evidence = Evidence(self.fleet, self.load)
        self.load.update_medians(evidence.recent)
        observed = evidence.observed
        judged_weight = sum(server.endpoint.weight for server in observed)
        ejected_weight = evidence.listed_weight - judged_weight
        partitioned = partitioned_zone(evidence.latest)
        for server in sorted(observed, key=lambda server: -observed[server].failures):
            unreachable = self.is_silent(server, evidence) or (
                server.endpoint.zone == partitioned and server.recovering_since_us is None
            )
            if not unreachable and not self.is_failing(server, evidence):
                continue
            row = observed[server]
            dead = unreachable or row.failures == row.attempts > 0
            weight = ejected_weight + server.endpoint.weight
            if weight <= evidence.listed_weight * self.ejected_max(dead):
                ejected_weight = weight
                self.eject(server)

    def ejected_max(self, dead: bool) -> float:
        """The part of the listed weight that may be ejected with this server."""
        if self.load.is_congested:
            return 0
        return DEAD_EJECTED_MAX if dead else EJECTED_MAX

    def is_failing(self, server: ServerState, evidence: Evidence) -> bool:
        """Whether a server fails beyond chance and beyond the others, and is not merely overrun."""
        row = evidence.observed[server]
        if (
            server.consecutive_ejections
            and server.recovering_since_us is not None
            and row.attempts >= PROBATION_ATTEMPTS
        ):
            return row.failures > row.attempts / 2
        usual = max(0, evidence.failures - row.failures) / max(1, evidence.attempts - row.attempts)
        excess = row.failures - usual * row.attempts
        return (
            is_beyond_chance(excess, row.attempts, usual)
            and row.failures >= FAILURES_MIN
            and excess > EXCESS_FRACTION * row.attempts
            and self.is_broken(server, evidence)
        )

    def is_broken(self, server: ServerState, evidence: Evidence) -> bool:
        """Whether a failing server fails all who ask, rather than being overrun."""
        row = evidence.observed[server]
        fast_us = min(
            FAST_LATENCY_MULTIPLE * evidence.median_latency_us, self.fleet.settings.latency_objective_us
        )
        if evidence.mean_latency_us.get(server, 0) < fast_us or row.failures == row.attempts > 0:
            return True
        # What it answered before it hung must not speak for it.
        recent = evidence.recent[server]
        hangs = recent.failures >= FAILURES_MIN and recent.failures > DEAD_FAILURE_RATIO * recent.attempts
        return self.load.is_calm and (row.failures > DEAD_FAILURE_RATIO * row.attempts or hangs)

    def is_silent(self, server: ServerState, evidence: Evidence) -> bool:
        """Whether nothing was reported of a server for so long that attempts at it must be hanging."""
        clock = self.fleet.clock
        silent_us = clock.now - server.last_report_us if server.last_report_us else 0
        share = server.effective_weight() / evidence.effective_weight
        due = share * evidence.attempts * silent_us / (BUCKETS * clock.bucket_us)
        silent = silent_us > SILENT_ROUNDS * evidence.report_round_us
        return silent and due > SILENT_ATTEMPTS and self.load.is_calm

    def eject(self, server: ServerState) -> None:
        """Eject a server, the longer the more often it was ejected in a row."""
        doublings = min(server.consecutive_ejections, BACKOFF_DOUBLINGS_MAX)
        server.ejected_until_us = self.fleet.clock.now + TICK_US * 2**doublings
        server.consecutive_ejections += 1
        server.recovering_since_us = None

    def readmit(self) -> None:
        """Once a tick: begin the recovery of servers whose ejection has ended."""
        now = self.fleet.clock.now
        for server in self.fleet.servers.values():
            if server.ejected_until_us and now >= server.ejected_until_us:
                server.ejected_until_us = 0
                server.recovering_since_us = now
                server.last_report_us = 0
                server.observations = SlidingWindow(OBSERVED)

    def drop_lost_servers(self) -> None:
        """A list may be wrong: what it dropped is kept while it answers, where that is not final.

        That is the slower to let go of what is truly lost, so what is met at one of them counts for all.
        """
        bucket = self.fleet.clock.bucket
        missing = {
            server: Observations(*server.observations.sums(bucket))
            for server in self.fleet.servers.values()
            if server.status == MISSING
        }
        # Under congestion those that answer fail, too.
        limit = max(MISSING_FAILURE_RATIO_MIN, 1 - self.load.success_ratio + EXCESS_FRACTION)
        attempts = PROBATION_ATTEMPTS + sum(row.attempts for row in missing.values())
        all_lost = sum(row.failures for row in missing.values()) > attempts * limit
        for server, row in missing.items():
            answers_nothing = all_lost and row.failures == row.attempts
            failing = row.attempts >= PROBATION_ATTEMPTS and row.failures > row.attempts * limit
            if answers_nothing or failing:
                server.status = GONE
                server.presumed_gone = True


class ZoneObservations:
    """Observations of the latest bucket, put together by zone."""

    def __init__(self, rows: Iterable[Observations]):
        rows = list(rows)
        self.servers = len(rows)
        self.attempts = sum(row.attempts for row in rows)
        self.failures = sum(row.failures for row in rows)
        self.failing_servers = sum(row.failures > EXCESS_FRACTION * row.attempts for row in rows)

    def is_partitioned(self, other_attempts: int, other_failures: int) -> bool:
        """Whether most servers of the zone fail while those of the others answer."""
        usual = other_failures / max(1, other_attempts)
        excess = self.failures - usual * self.attempts
        return (
            is_beyond_chance(excess, self.attempts, usual)
            and self.failures >= 2 * FAILURES_MIN
            and excess > EXCESS_FRACTION * self.attempts
            and 2 * self.failing_servers > self.servers
            and self.failing_servers >= PARTITIONED_SERVERS_MIN
            and other_attempts > self.attempts
            and usual < 1 - CALM_SUCCESS_RATIO
        )


def partitioned_zone(latest: dict[ServerState, Observations]) -> int | None:
    """The zone most of whose servers fail lately while the rest answers, or None.

    Reports tell of the time before the partition, too, so for seconds no server has failed enough for itself.
    What came in the latest bucket shows it when put together.
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
