"""Admission control: under congestion proxies admit no more than gets answered, important routes first.

It guards against congestion that clients' retries keep up, whatever began it. The limit never falls under a
part of what was answered at first, and is a ratio to the joined proxies' usual requests: more may join.
"""

from __future__ import annotations

from collections.abc import Sequence

from rainpick.decisions.capacity import WarmCapacity
from rainpick.decisions.fleet import Fleet
from rainpick.decisions.fleet_load import FleetLoad
from rainpick.decisions.settings import TICK_US
from rainpick.decisions.sliding_window import BUCKETS, RECENT_BUCKETS
from rainpick.model import RetryPolicy

PRESSED_LATENCY_RATIO = 0.5  # requests are limited from this part of the latency objective on
LIMIT_MIN = 0.6  # of the first limit
LIMIT_FALL = 0.9
LIMIT_RISE = 1.1
LIMIT_RISE_FAST = LIMIT_RISE**3  # while servers are far from slow
LIMIT_RISE_NEAR = 1.02  # past what was too much before
SILENT, RATIO = "silent", "ratio"  # ways in which proxies admit, beside a rate for each of them
UNLIMITED_RATE = 1e6


def fair_level(demands: Sequence[float], limit: float) -> float:
    """The level at which the larger demands are cut so that all together get the limit.

    >>> fair_level([1, 2, 9], 7)
    4.0
    """
    for served, demand in enumerate(sorted(demands)):
        if demand * (len(demands) - served) >= limit:
            return limit / (len(demands) - served)
        limit -= demand
    return limit


class AdmissionControl:
    """Admission rates by route, worked out once a tick.

    ``limit`` is the requests that are admitted for each usual one, None while nothing is limited.
    """

    def __init__(self, fleet: Fleet, load: FleetLoad, capacity: WarmCapacity):
        self.fleet = fleet
        self.load = load
        self.capacity = capacity
        self.rates: dict[int, float] = {}  # by route, as proxies should have them
        self.limit: float | None = None
        self.first_limit = 0.0
        self.settled_us = 0  # when the limit may fall again
        self.excessive_limit_per_weight = 1.0  # a limit that was too much, by warm weight

    def update(self) -> None:
        """Work out the admission rates anew."""
        self.rates = self.admission_rates()

    def admission_rates(self) -> dict[int, float]:
        """By route, what is admitted; empty where nothing need be said."""
        settings = self.fleet.settings
        routes = range(len(settings.routes))
        if settings.admission == SILENT:
            # Rates are not obeyed; where no proxy retries by itself there is nothing to say.
            if settings.default_retry_policy == RetryPolicy.NO_RETRY:
                return {}
            return dict.fromkeys(routes, UNLIMITED_RATE)
        reported_rate = self.reported_request_rate()
        if self.limit is None and not (self.is_pressed() and reported_rate):
            return dict.fromkeys(routes, self.unlimited())
        limit = self.adjusted_limit(reported_rate)
        demands = self.demands()
        usual = sum(proxy.request_rate for proxy in self.fleet.proxies.values()) or 1.0
        rates = self.divide(limit * usual, demands)
        ended = limit * usual > LIMIT_RISE * sum(map(sum, demands.values()))
        self.limit = None if ended else limit
        return rates

    def unlimited(self) -> float:
        """The admission rate of a route that is not limited."""
        return 1.0 if self.fleet.settings.admission == RATIO else UNLIMITED_RATE

    def is_pressed(self) -> bool:
        """Whether servers are slow beside the objective, the more strictly the more attempts fail."""
        answered = self.load.success_ratio + self.load.typical_success_ratio - 1
        return self.load.latency_ratio > PRESSED_LATENCY_RATIO * max(0.5, answered)

    def demands(self) -> dict[int, list[float]]:
        """By route, the requests a microsecond that reach each proxy."""
        demands: dict[int, list[float]] = {route: [] for route in range(len(self.fleet.settings.routes))}
        for proxy in self.fleet.proxies.values():
            for route, window in proxy.requests.items():
                requests, interval_us = window.sums(self.fleet.clock.bucket)
                demands[route].append(requests / max(1, interval_us))
        return demands

    def reported_request_rate(self) -> float:
        """The usual requests of the proxies that joined long enough ago to be in the reports.

        A limit from what is hardly reported on would reject nearly all.
        """
        clock = self.fleet.clock
        since_us = clock.now - (BUCKETS + RECENT_BUCKETS) * clock.bucket_us
        proxies = self.fleet.proxies.values()
        return sum(proxy.request_rate for proxy in proxies if proxy.joined_us <= since_us)

    def adjusted_limit(self, reported_rate: float) -> float:
        """The limit of this tick: begun, lowered while it is pressed, or raised again."""
        clock = self.fleet.clock
        if self.limit is None:
            attempts, failures = self.load.totals.sums(clock.bucket)[:2]
            self.first_limit = (attempts - failures) / (BUCKETS * clock.bucket_us) / reported_rate
            self.settled_us = clock.now + 2 * TICK_US
            return self.first_limit
        if not self.is_pressed():
            return self.limit * self.rise(self.limit)
        if clock.now < self.settled_us:
            return self.limit
        self.excessive_limit_per_weight = self.limit / max(self.capacity.warm_weight, 1e-9)
        self.settled_us = clock.now + 2 * TICK_US
        return max(LIMIT_MIN * self.first_limit, LIMIT_FALL * self.limit)

    def rise(self, limit: float) -> float:
        """What the limit is multiplied by: little near to what was too much before."""
        if limit >= self.excessive_limit_per_weight * self.capacity.warm_weight:
            return LIMIT_RISE_NEAR
        slow = self.load.latency_ratio > PRESSED_LATENCY_RATIO / 2
        return LIMIT_RISE if slow else LIMIT_RISE_FAST

    def divide(self, capacity: float, demands: dict[int, list[float]]) -> dict[int, float]:
        """Admission rates that share a capacity among routes, those of the highest priority first."""
        routes, ratio = self.fleet.settings.routes, self.fleet.settings.admission == RATIO
        rates = {}
        for route in sorted(demands, key=lambda number: -routes[number].priority_weight):
            demand = sum(demands[route])
            if demand <= capacity:
                rates[route] = self.unlimited()
            elif ratio and demand:
                rates[route] = round(capacity / demand, 2)
            else:
                level = fair_level(demands[route], capacity) * 1e6
                rates[route] = round(level, 2 if ratio else 1)
            capacity = max(0.0, capacity - demand)
        return rates
