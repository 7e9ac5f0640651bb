"""Admission control: under congestion, limits the requests that proxies admit to those that servers answer.

Routes of high priority are admitted first. Without a limit, client retries can sustain congestion after its
cause has ended. The limit starts at the rate of answered attempts, and never falls below a fixed fraction of
this initial limit. It is stored as a ratio to the usual request rate of the joined proxies, because further
proxies may join.
"""

from __future__ import annotations

from collections.abc import Sequence

from rainpick.decisions.capacity import WarmCapacity
from rainpick.decisions.fleet import Fleet
from rainpick.decisions.fleet_load import FleetLoad
from rainpick.decisions.settings import TICK_US
from rainpick.decisions.sliding_window import BUCKETS, RECENT_BUCKETS
from rainpick.model import RetryPolicy

OVERLOAD_LATENCY_RATIO = 0.5  # admission is limited if latency exceeds this fraction of the objective
LIMIT_MIN = 0.6  # minimum of the limit, as a fraction of the initial limit
LIMIT_DECREASE = 0.9  # factor applied to the limit under overload
LIMIT_INCREASE = 1.1  # factor applied to the limit without overload
LIMIT_INCREASE_FAST = LIMIT_INCREASE**3  # factor while latency is at most half of the overload ratio
LIMIT_INCREASE_SLOW = 1.02  # factor at or above the limit of the last overload
# Admission modes of proxies: without admission control, or by a fraction of requests. In any other mode the
# admission rate is a number of requests per second at each proxy.
SILENT, RATIO = "silent", "ratio"
UNLIMITED_RATE = 1e6


def max_min_fair_limit(demands: Sequence[float], limit: float) -> float:
    """Return the maximum to which demands are cut so that they add up to ``limit`` (max-min fairness).

    Smaller demands are met in full. The sum of the demands must exceed ``limit``.

    >>> max_min_fair_limit([1, 2, 9], 7)
    4.0
    """
    for satisfied, demand in enumerate(sorted(demands)):
        if demand * (len(demands) - satisfied) >= limit:
            return limit / (len(demands) - satisfied)
        limit -= demand
    return limit


class AdmissionControl:
    """Computes the admission rate of each route, once a tick.

    ``limit`` is the total rate of admitted requests divided by the usual request rate of the joined proxies;
    None while no requests are limited.
    """

    def __init__(self, fleet: Fleet, load: FleetLoad, capacity: WarmCapacity):
        self.fleet = fleet
        self.load = load
        self.capacity = capacity
        self.rates: dict[int, float] = {}  # target admission rate by route
        self.limit: float | None = None
        self.initial_limit = 0.0
        self.settled_us = 0  # time from which the limit may be lowered again
        # The limit of the last overload, divided by the warm weight of the fleet at that time.
        self.excessive_limit_per_weight = 1.0

    def update(self) -> None:
        """Recompute the admission rates."""
        self.rates = self.admission_rates()

    def admission_rates(self) -> dict[int, float]:
        """Return the target admission rate by route; empty if no rate needs to be published."""
        settings = self.fleet.settings
        routes = range(len(settings.routes))
        if settings.admission == SILENT:
            # Proxies without admission control ignore rates. If they retry by default, a rate is published
            # nevertheless, because the same command disables retries.
            if settings.default_retry_policy == RetryPolicy.NO_RETRY:
                return {}
            return dict.fromkeys(routes, UNLIMITED_RATE)
        reported_rate = self.reported_request_rate()
        if self.limit is None and not (self.is_overloaded() and reported_rate):
            return dict.fromkeys(routes, self.unlimited_rate())
        limit = self.adjusted_limit(reported_rate)
        demands = self.demands()
        usual_rate = sum(proxy.request_rate for proxy in self.fleet.proxies.values()) or 1.0
        rates = self.allocate(limit * usual_rate, demands)
        ended = limit * usual_rate > LIMIT_INCREASE * sum(map(sum, demands.values()))
        self.limit = None if ended else limit
        return rates

    def unlimited_rate(self) -> float:
        """Return the admission rate of a route that is not limited."""
        return 1.0 if self.fleet.settings.admission == RATIO else UNLIMITED_RATE

    def is_overloaded(self) -> bool:
        """Return whether the latency ratio exceeds its limit; failures lower this limit by up to one half."""
        answered = self.load.success_ratio + self.load.typical_success_ratio - 1
        return self.load.latency_ratio > OVERLOAD_LATENCY_RATIO * max(0.5, answered)

    def demands(self) -> dict[int, list[float]]:
        """Return, by route, the rate of requests that reach each proxy, in requests per microsecond."""
        demands: dict[int, list[float]] = {route: [] for route in range(len(self.fleet.settings.routes))}
        for proxy in self.fleet.proxies.values():
            for route, window in proxy.requests.items():
                requests, interval_us = window.sums(self.fleet.clock.bucket)
                demands[route].append(requests / max(1, interval_us))
        return demands

    def reported_request_rate(self) -> float:
        """Return the total usual request rate of the proxies that joined before the window of load reports.

        The initial limit is divided by this rate. If the rate included proxies with few reported attempts so
        far, the limit would be so low that nearly all requests would be rejected.
        """
        clock = self.fleet.clock
        since_us = clock.now - (BUCKETS + RECENT_BUCKETS) * clock.bucket_us
        proxies = self.fleet.proxies.values()
        return sum(proxy.request_rate for proxy in proxies if proxy.joined_us <= since_us)

    def adjusted_limit(self, reported_rate: float) -> float:
        """Return the limit for this tick: initialized, lowered under overload, or raised without overload.

        Under overload, the limit remains unchanged for two ticks after it was initialized or lowered.
        """
        clock = self.fleet.clock
        if self.limit is None:
            attempts, failures = self.load.totals.sums(clock.bucket)[:2]
            self.initial_limit = (attempts - failures) / (BUCKETS * clock.bucket_us) / reported_rate
            self.settled_us = clock.now + 2 * TICK_US
            return self.initial_limit
        if not self.is_overloaded():
            return self.limit * self.increase_factor(self.limit)
        if clock.now < self.settled_us:
            return self.limit
        self.excessive_limit_per_weight = self.limit / max(self.capacity.warm_weight, 1e-9)
        self.settled_us = clock.now + 2 * TICK_US
        return max(LIMIT_MIN * self.initial_limit, LIMIT_DECREASE * self.limit)

    def increase_factor(self, limit: float) -> float:
        """Return the factor by which the limit rises: small at or above the limit of the last overload."""
        if limit >= self.excessive_limit_per_weight * self.capacity.warm_weight:
            return LIMIT_INCREASE_SLOW
        slow = self.load.latency_ratio > OVERLOAD_LATENCY_RATIO / 2
        return LIMIT_INCREASE if slow else LIMIT_INCREASE_FAST

    def allocate(self, capacity: float, demands: dict[int, list[float]]) -> dict[int, float]:
        """Allocate a capacity to the routes, the highest priority first; returns their admission rates.

        The capacity is in requests per microsecond, like the demands.
        """
        routes, ratio = self.fleet.settings.routes, self.fleet.settings.admission == RATIO
        rates = {}
        for route in sorted(demands, key=lambda number: -routes[number].priority_weight):
            demand = sum(demands[route])
            if demand <= capacity:
                rates[route] = self.unlimited_rate()
            elif ratio and demand:
                rates[route] = round(capacity / demand, 2)
            else:
                rate_limit = max_min_fair_limit(demands[route], capacity) * 1e6
                rates[route] = round(rate_limit, 2 if ratio else 1)
            capacity = max(0.0, capacity - demand)
        return rates
