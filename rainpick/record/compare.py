"""Comparison of the recorded commands of a day with the commands of its replay.

The recorded load reports are a result of the recorded commands. Once the replayed commands would have sent a
large part of the requests to other servers, the reports no longer show the effect of the replayed commands:
from then on a replay shows how the decision modules react to these reports, but not how the day would have
continued. ``Comparison`` determines this point in time.
"""

from __future__ import annotations

import copy
from collections import defaultdict
from typing import Any, NamedTuple

from rainpick.record.limits import LimitApproach
from rainpick.record.schema import format_address
from rainpick.record.series import Point, TimeSeries
from rainpick.record.view import FleetView

MAX_DIVERTED_FRACTION = 0.2  # a replay is valid until the mean diverted fraction exceeds this
DIVERTED_WINDOW_S = 10  # window of the mean diverted fraction, with one sample per second
SAMPLE_INTERVAL_US = 1_000_000  # short enough: weights are sent to proxies only a few times per tick
MAX_SHARE_CHANGES = 12  # maximum number of servers in a result


class ShareChange(NamedTuple):
    """A server whose share of the requests differs between record and replay.

    ``recorded`` and ``replayed`` are the means of its shares over the day, from 0 to 1.
    """

    server: str
    recorded: float
    replayed: float


class ComparisonResult(NamedTuple):
    """Result of a comparison. Pairs are (recorded, replayed).

    Seconds count from the start of the incarnation; shares and fractions are of all requests, from 0 to 1.
    """

    counts: dict[str, tuple[int, int]]  # counts by key of ``FleetView.counts``
    throttled_s: tuple[float, float]
    approaches: dict[str, tuple[LimitApproach | None, LimitApproach | None]]  # by name of the limit
    valid_until_s: float | None  # time at which too many requests were diverted; None: valid to the end
    diverted: float  # mean fraction of the requests that the replayed commands send to other servers
    share_changes: list[ShareChange]  # largest change first
    diverted_series: list[Point]
    share_series: dict[str, tuple[list[Point], list[Point]]]  # shares over time, by server


class Comparison:
    """Compares the commands of a day step by step. Memory use does not grow with the length of the day.

    ``recorded`` and ``replayed`` are the decision settings of the recorded director and of its replay.
    """

    def __init__(self, begin_us: int, recorded: dict[str, Any], replayed: dict[str, Any]):
        self.begin_us = begin_us
        view = FleetView(recorded)
        # Both sides share one view until their commands differ, which they never do in most replays.
        self.views = view, view if recorded == replayed else FleetView(replayed)
        self.sampled_us = begin_us  # time of the latest sample
        self.sample_count = 0
        self.diverted_sum = 0.0
        self.diverted_series = TimeSeries(begin_us)
        self.latest_diverted: list[float] = []  # diverted fractions in the last DIVERTED_WINDOW_S samples
        self.share_series: dict[Any, tuple[TimeSeries, TimeSeries]] = {}  # shares on both sides, by server
        # Sums of the sampled shares for both sides, by server.
        self.share_sums: tuple[dict[Any, float], dict[Any, float]] = defaultdict(float), defaultdict(float)
        self.valid_until_us: int | None = None

    def apply(self, now: int, events: list[Any], recorded: list[Any], replayed: list[Any]) -> None:
        """Apply the events of a step and the commands of both sides, and take a sample if one is due."""
        recorded_view, replayed_view = self.views
        if recorded_view is replayed_view and list(replayed) != list(recorded):
            replayed_view = copy.deepcopy(recorded_view)
            self.views = recorded_view, replayed_view
        recorded_view.apply_events(now, events)
        recorded_view.apply_commands(now, recorded)
        if replayed_view is not recorded_view:
            replayed_view.apply_events(now, events)
            replayed_view.apply_commands(now, replayed)
        if now - self.sampled_us >= SAMPLE_INTERVAL_US:
            self.add_sample(now)

    def add_sample(self, now: int) -> None:
        """Sample the shares of the requests on both sides, and the fraction of requests that is diverted."""
        self.sampled_us = now
        recorded_view, replayed_view = self.views
        recorded = recorded_view.shares()
        replayed = recorded if recorded_view is replayed_view else replayed_view.shares()
        # Not a set, since the rounding of the sums must not depend on the hash seed.
        servers = dict.fromkeys((*recorded, *replayed))
        self.add_diverted(
            now,
            sum(abs(recorded.get(server, 0.0) - replayed.get(server, 0.0)) for server in servers) / 2,
        )
        for server in servers:
            series = self.share_series.setdefault(
                server, (TimeSeries(self.begin_us), TimeSeries(self.begin_us))
            )
            for side, shares in enumerate((recorded, replayed)):
                share = shares.get(server, 0.0)
                series[side].add(now, share)
                self.share_sums[side][server] += share

    def add_diverted(self, now: int, diverted: float) -> None:
        """Add a sample of the diverted fraction.

        When the mean of the latest samples first exceeds ``MAX_DIVERTED_FRACTION``, the validity ends.
        """
        self.sample_count += 1
        self.diverted_sum += diverted
        self.diverted_series.add(now, diverted)
        self.latest_diverted = [*self.latest_diverted[-DIVERTED_WINDOW_S + 1 :], diverted]
        if (
            self.valid_until_us is None
            and sum(self.latest_diverted) / DIVERTED_WINDOW_S > MAX_DIVERTED_FRACTION
        ):
            self.valid_until_us = now

    def result(self, max_changes: int = MAX_SHARE_CHANGES) -> ComparisonResult:
        """Return the result so far, with at most ``max_changes`` servers: those with the largest changes."""
        recorded, replayed = self.views
        recorded_approaches, replayed_approaches = recorded.limits.approaches, replayed.limits.approaches
        share_changes = self.share_changes(max_changes)
        servers = {change.server for change in share_changes}
        valid_until_us = self.valid_until_us
        return ComparisonResult(
            {
                name: (recorded.counts[name], replayed.counts[name])
                for name in sorted(recorded.counts | replayed.counts)
            },
            (recorded.throttled_us / 1e6, replayed.throttled_us / 1e6),
            {
                limit: (recorded_approaches.get(limit), replayed_approaches.get(limit))
                for limit in sorted(recorded_approaches.keys() | replayed_approaches.keys())
            },
            None if valid_until_us is None else (valid_until_us - self.begin_us) / 1e6,
            self.diverted_sum / max(1, self.sample_count),
            share_changes,
            self.diverted_series.points(),
            {
                format_address(server): (series[0].points(), series[1].points())
                for server, series in self.share_series.items()
                if format_address(server) in servers
            },
        )

    def share_changes(self, max_changes: int) -> list[ShareChange]:
        """Return up to ``max_changes`` servers whose share changed, the largest change first.

        A change is the sum of the absolute differences between the points of both series.
        """
        sample_count = max(1, self.sample_count)
        recorded_sums, replayed_sums = self.share_sums
        distances: dict[str, float] = {}
        changes = []
        for server, (recorded, replayed) in self.share_series.items():
            name = format_address(server)
            distances[name] = sum(
                abs(recorded_share - replayed_share)
                for (_, recorded_share), (_, replayed_share) in zip(
                    recorded.points(), replayed.points(), strict=False
                )
            )
            changes.append(
                ShareChange(name, recorded_sums[server] / sample_count, replayed_sums[server] / sample_count)
            )
        changes.sort(key=lambda change: (-distances[change.server], change.server))
        return [change for change in changes[:max_changes] if distances[change.server] > 1e-9]
