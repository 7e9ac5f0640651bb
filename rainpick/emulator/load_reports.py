"""Load reports: what the proxies observed, sent to the director at its pace and as late as reports are."""

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
SENDS_PER_S = 10

LoadReport: TypeAlias = ServerLoadReport | RouteLoadReport


class LoadReporter:
    """Collects the proxies' observations in rounds, and sends so many reports a second.

    A round that is not through when the next one begins is gone on with, up to a few rounds: a report that is
    too late says nothing any more.
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
        self.batch_size = max(1, round(settings.proxies.hears_per_s / SENDS_PER_S))
        zones = max(1, len(settings.zones))
        self.max_waiting = 4 * (shape.servers * zones + shape.proxies)
        self.waiting: deque[LoadReport] = deque()

    def start(self) -> None:
        """Schedule the first round and the first batch."""
        self.clock.schedule_after(self.interval_us, self.collect)
        self.clock.schedule_after(SEND_INTERVAL_US, self.send)

    def collect(self) -> None:
        """Turn what the proxies observed since the last round into reports."""
        totals: dict[tuple[Key, int], Observations] = {}  # by server and zone of the proxies
        for proxy in self.proxies.values():
            for server, observations in proxy.observations.items():
                totals.setdefault((server, proxy.zone), Observations()).add(observations)
            self.waiting.append(RouteLoadReport(proxy.number, 0, proxy.attempts, 0, self.interval_us))
            proxy.observations, proxy.attempts = {}, 0
        for (server, zone), total in totals.items():
            self.waiting.append(self.server_report(server, zone, total))
        while len(self.waiting) > self.max_waiting:
            self.waiting.popleft()
        self.clock.schedule_after(self.interval_us, self.collect)

    def server_report(self, server: Key, zone: int, total: Observations) -> ServerLoadReport:
        """Make the report on a server by the proxies of a zone."""
        mean_us = total.latency_us // max(1, total.attempts - total.failures)
        return ServerLoadReport(server, zone, total.attempts, total.failures, mean_us, self.interval_us, ())

    def send(self) -> None:
        """Send the next batch."""
        reports = [self.waiting.popleft() for _ in range(min(self.batch_size, len(self.waiting)))]
        if reports:
            self.clock.schedule_after(self.delay_us, self.receive, reports)
        self.clock.schedule_after(SEND_INTERVAL_US, self.send)
