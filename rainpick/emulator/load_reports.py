"""Load reports of the proxies, sent to the director at a limited rate and with a delay."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import TypeAlias

from rainpick.director.addresses import Key
from rainpick.emulator.clock import VirtualClock
from rainpick.emulator.proxy import Observations, Proxy
from rainpick.emulator.shape import Shape
from rainpick.model import RouteLoadReport, ServerLoadReport
from rainpick.settings import Settings

SEND_INTERVAL_US = 100_000
BATCHES_PER_S = 10

LoadReport: TypeAlias = ServerLoadReport | RouteLoadReport


class LoadReporter:
    """Collects the proxies' observations at a fixed interval, and sends a limited number of reports a second.

    Reports that are not yet sent at the next collection stay queued. The queue has room for the reports of
    four intervals. When it is full, the oldest reports are discarded, since a late report has no value for
    the decisions.
    """

    def __init__(
        self,
        clock: VirtualClock,
        settings: Settings,
        shape: Shape,
        proxies: Mapping[int, Proxy],
        receive: Callable[[list[LoadReport]], None],
    ):
        self.clock, self.proxies, self.receive = clock, proxies, receive
        self.delay_us = shape.report_delay_us
        self.interval_us = int(settings.proxies.report_every)
        self.batch_size = max(1, round(settings.proxies.hears_per_s / BATCHES_PER_S))
        zones = max(1, len(settings.zones))
        self.max_queued = 4 * (shape.servers * zones + shape.proxies)
        self.queue: deque[LoadReport] = deque()

    def start(self) -> None:
        """Schedule the first collection and the first batch."""
        self.clock.schedule_after(self.interval_us, self.collect)
        self.clock.schedule_after(SEND_INTERVAL_US, self.send)

    def collect(self) -> None:
        """Queue reports of the observations since the last collection, and schedule the next collection."""
        totals: dict[tuple[Key, int], Observations] = {}  # by server and by zone of the proxies
        for proxy in self.proxies.values():
            for server, observations in proxy.observations.items():
                totals.setdefault((server, proxy.zone), Observations()).add(observations)
            self.queue.append(RouteLoadReport(proxy.number, 0, proxy.attempts, 0, self.interval_us))
            proxy.observations, proxy.attempts = {}, 0
        for (server, zone), total in totals.items():
            self.queue.append(self.server_report(server, zone, total))
        while len(self.queue) > self.max_queued:
            self.queue.popleft()
        self.clock.schedule_after(self.interval_us, self.collect)

    def server_report(self, server: Key, zone: int, total: Observations) -> ServerLoadReport:
        """Return the report on a server from the sum of the observations of a zone's proxies."""
        mean_us = total.latency_us // max(1, total.attempts - total.failures)
        return ServerLoadReport(server, zone, total.attempts, total.failures, mean_us, self.interval_us, ())

    def send(self) -> None:
        """Send the next batch of queued reports, and schedule the batch after it."""
        reports = [self.queue.popleft() for _ in range(min(self.batch_size, len(self.queue)))]
        if reports:
            self.clock.schedule_after(self.delay_us, self.receive, reports)
        self.clock.schedule_after(SEND_INTERVAL_US, self.send)
