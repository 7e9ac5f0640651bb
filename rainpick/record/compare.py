"""Two streams of orders for one day side by side: what was recorded, and what the replay ordered.

The recorded reports answer the recorded orders. Once the replayed ones would have sent a good part of the
calls to other servers, the reports no longer tell what those would have led to: from there on a replay
shows what the decisions would have done with those reports, not how the day would have gone. ``Comparison``
finds that moment.
"""

from __future__ import annotations

import copy
from collections import defaultdict
from typing import Any, NamedTuple

from rainpick.record.limits import LimitApproach
from rainpick.record.schema import format_address
from rainpick.record.series import Point, TimeSeries
from rainpick.record.view import FleetView

DIVERTED_MOST = 0.2  # fraction of the calls, as a mean over the last while, up to which a replay is valid
DIVERTED_OVER_S = 10
SAMPLE_US = 1_000_000  # proxies are sent weights some times a tick at most, so once a second is enough
CHANGES_MOST = 12  # servers in a result


class ShareChange(NamedTuple):
    """A server whose share of the calls would have been another; shares are means over the day."""

    server: str
    recorded: float
    replayed: float


class ComparisonResult(NamedTuple):
    """What a comparison found; pairs are (recorded, replayed).

    Seconds are from the beginning of the incarnation; shares and fractions are of the calls, 0 to 1.
    """

    counts: dict[str, tuple[int, int]]  # by the name of what was counted
    throttled_s: tuple[float, float]
    approaches: dict[str, tuple[LimitApproach | None, LimitApproach | None]]  # by limit
    valid_until_s: float | None  # from here on too many calls would go elsewhere; None: valid to the end
    diverted: float  # mean fraction that goes to other servers
    share_changes: list[ShareChange]  # the largest first
    diverted_series: list[Point]
    share_series: dict[str, tuple[list[Point], list[Point]]]  # by server


class Comparison:
    """Compares the orders of a day step by step; memory does not grow with its length.

    ``recorded`` and ``replayed`` are the settings of the two sides, by the decisions' names.
    """

    def __init__(self, begin_us: int, recorded: dict[str, Any], replayed: dict[str, Any]):
        self.begin_us = begin_us
        view = FleetView(recorded)
        # One view serves for both until they differ: most days are replayed to see that they do not.
        self.views = view, view if recorded == replayed else FleetView(replayed)
        self.sampled_us = begin_us
        self.samples = 0
        self.diverted_sum = 0.0
        self.diverted_series = TimeSeries(begin_us)
        self.latest_diverted: list[float] = []  # of the last samples
        self.share_series: dict[Any, tuple[TimeSeries, TimeSeries]] = {}  # by server
        # Sums of the sampled shares, by server.
        self.share_sums: tuple[dict[Any, float], dict[Any, float]] = defaultdict(float), defaultdict(float)
        self.valid_until_us: int | None = None

    def apply(self, now: int, events: list[Any], recorded: list[Any], replayed: list[Any]) -> None:
        """Follow one step: its events, and the orders of both sides."""
        recorded_view, replayed_view = self.views
        if recorded_view is replayed_view and list(replayed) != list(recorded):
            replayed_view = copy.deepcopy(recorded_view)
            self.views = recorded_view, replayed_view
        recorded_view.apply_events(now, events)
        recorded_view.apply_orders(now, recorded)
        if replayed_view is not recorded_view:
            replayed_view.apply_events(now, events)
            replayed_view.apply_orders(now, replayed)
        if now - self.sampled_us >= SAMPLE_US:
            self.sample(now)

    def sample(self, now: int) -> None:
        """Add the shares of the calls at this moment to the series."""
        self.sampled_us = now
        recorded_view, replayed_view = self.views
        recorded = recorded_view.shares()
        replayed = recorded if recorded_view is replayed_view else replayed_view.shares()
        servers = dict.fromkeys((*recorded, *replayed))  # not a set: sums must not depend on a hash seed
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
        """Note which fraction of the calls goes elsewhere, and when the mean of it is too much."""
        self.samples += 1
        self.diverted_sum += diverted
        self.diverted_series.add(now, diverted)
        self.latest_diverted = [*self.latest_diverted[-DIVERTED_OVER_S + 1 :], diverted]
        if self.valid_until_us is None and sum(self.latest_diverted) / DIVERTED_OVER_S > DIVERTED_MOST:
            self.valid_until_us = now

    def result(self, most: int = CHANGES_MOST) -> ComparisonResult:
        """The result up to now, with ``most`` servers: those whose share changed most."""
        recorded, replayed = self.views
        recorded_approaches, replayed_approaches = recorded.limits.approaches, replayed.limits.approaches
        share_changes = self.share_changes(most)
        servers = {change.server for change in share_changes}
        until = self.valid_until_us
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
            None if until is None else (until - self.begin_us) / 1e6,
            self.diverted_sum / max(1, self.samples),
            share_changes,
            self.diverted_series.points(),
            {
                format_address(server): (series[0].points(), series[1].points())
                for server, series in self.share_series.items()
                if format_address(server) in servers
            },
        )

    def share_changes(self, most: int) -> list[ShareChange]:
        """The servers whose share changed most, those first; none whose share is the same."""
        samples = max(1, self.samples)
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
                ShareChange(name, recorded_sums[server] / samples, replayed_sums[server] / samples)
            )
        changes.sort(key=lambda change: (-distances[change.server], change.server))
        return [change for change in changes[:most] if distances[change.server] > 1e-9]
