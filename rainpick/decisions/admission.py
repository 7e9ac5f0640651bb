"""Admission control: under congestion proxies admit only what is answered, routes of high priority first.

It prevents congestion that client retries sustain after its cause has ended. The limit never falls below a
fraction of the requests answered at first. It is relative to the usual request rate of the joined proxies,
since more of them may join.
"""

from __future__ import annotations

from collections.abc import Sequence

from rainpick.decisions.capacity import WarmCapacity
from rainpick.decisions.fleet import Fleet
from rainpick.decisions.fleet_load import FleetLoad
from rainpick.decisions.settings import TICK_US
from rainpick.decisions.sliding_window import BUCKETS, RECENT_BUCKETS
from rainpick.model import RetryPolicy

OVERLOAD_LATENCY_RATIO = 0.5  # requests are limited above this fraction of the latency objective
LIMIT_MIN = 0.6  # of the initial limit
LIMIT_DECREASE = 0.9
LIMIT_INCREASE = 1.1
LIMIT_INCREASE_FAST = LIMIT_INCREASE**3  # while latency is far below the overload ratio
LIMIT_INCREASE_SLOW = 1.02  # above the last excessive limit
SILENT, RATIO = "silent", "ratio"  # admission modes of proxies, beside a rate for each proxy
UNLIMITED_RATE = 1e6


def max_min_fair_limit(demands: Sequence[float], limit: float) -> float:
    """Return the limit at which larger demands are cut so that all demands together use ``limit``.

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

    ``limit`` is the admitted requests per usual request, None while nothing is limited.
    """

    def __init__(self, fleet: Fleet, load: FleetLoad, capacity: WarmCapacity):
        self.fleet = fleet
        self.load = load
        self.capacity = capacity
        self.rates: dict[int, float] = {}  # by route, as they should be published
        self.limit: float | None = None
        self.initial_limit = 0.0
        self.settled_us = 0  # from when on the limit may be lowered again
        self.excessive_limit_per_weight = 1.0  # the last limit that caused overload, per warm weight

    def update(self) -> None:
        """Recompute the admission rates."""
        self.rates = self.admission_rates()

    def admission_rates(self) -> dict[int, float]:
        """Return the admission rate of each route; empty if nothing needs to be published."""
        settings = self.fleet.settings
        routes = range(len(settings.routes))
        if settings.admission == SILENT:
            # Proxies ignore rates; only their retries, if they retry by default, have to be switched off.
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
        """Return whether latency is high relative to the objective; failures lower the threshold."""
        answered = self.load.success_ratio + self.load.typical_success_ratio - 1
        return self.load.latency_ratio > OVERLOAD_LATENCY_RATIO * max(0.5, answered)

    def demands(self) -> dict[int, list[float]]:
        """Return, by route, the requests per microsecond that reach each proxy."""
        demands: dict[int, list[float]] = {route: [] for route in range(len(self.fleet.settings.routes))}
        for proxy in self.fleet.proxies.values():
            for route, window in proxy.requests.items():
                requests, interval_us = window.sums(self.fleet.clock.bucket)
                demands[route].append(requests / max(1, interval_us))
        return demands

    def reported_request_rate(self) -> float:
        """Return the usual request rate of the proxies that joined long enough ago to be in the reports.

        A limit computed from proxies with few reports would reject nearly all requests.
        """
        clock = self.fleet.clock
        since_us = clock.now - (BUCKETS + RECENT_BUCKETS) * clock.bucket_us
        proxies = self.fleet.proxies.values()
        return sum(proxy.request_rate for proxy in proxies if proxy.joined_us <= since_us)

    def adjusted_limit(self, reported_rate: float) -> float:
        """Return the limit of this tick: initialized, lowered under overload, or raised again."""
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
        """Return the factor by which the limit rises: small near the last excessive limit."""
        if limit >= self.excessive_limit_per_weight * self.capacity.warm_weight:
            return LIMIT_INCREASE_SLOW
        slow = self.load.latency_ratio > OVERLOAD_LATENCY_RATIO / 2
        return LIMIT_INCREASE if slow else LIMIT_INCREASE_FAST

    def allocate(self, capacity: float, demands: dict[int, list[float]]) -> dict[int, float]:
        """Allocate a capacity to the routes, the highest priority first; returns their admission rates."""
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
