"""Clients of the proxies: requests with Poisson arrivals, and retries of failed attempts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import TypeAlias

from rainpick.director.addresses import Key
from rainpick.emulator.clock import VirtualClock
from rainpick.emulator.proxy import Proxy
from rainpick.emulator.random_streams import RandomStream
from rainpick.emulator.server import Outcome, Server
from rainpick.emulator.shape import Shape
from rainpick.settings import Settings

AttemptListener: TypeAlias = Callable[[int, Key, int], None]  # arguments: time, server, number of the proxy


class Request:
    """A client's request, which may take several attempts."""

    __slots__ = ("begin_us", "proxy", "retries_left")

    def __init__(self, begin_us: int, proxy: Proxy, retries_left: int):
        self.begin_us, self.proxy, self.retries_left = begin_us, proxy, retries_left


class Attempt:
    """An attempt of a request at a server. A response that arrives after the time limit is ignored."""

    __slots__ = ("begin_us", "clients", "ended", "request", "server", "timeout_timer")

    def __init__(self, clients: Clients, request: Request, server: Key):
        self.clients, self.request, self.server = clients, request, server
        self.begin_us, self.ended = clients.clock.now, False
        self.timeout_timer = clients.clock.schedule_after(clients.time_limit_us, self.time_out)

    def time_out(self) -> None:
        """End the attempt as timed out, unless it has already ended."""
        if not self.ended:
            self.end(Outcome.TIMED_OUT)

    def respond(self, outcome: Outcome) -> None:
        """End the attempt with the outcome at the server, unless it has timed out."""
        if not self.ended:
            self.clients.clock.cancel(self.timeout_timer)
            self.end(outcome)

    def end(self, outcome: Outcome) -> None:
        """Record the attempt at its proxy, then complete or retry the request."""
        self.ended = True
        proxy, latency_us = self.request.proxy, self.clients.clock.now - self.begin_us
        proxy.in_flight[self.server] -= 1
        proxy.record(self.server, outcome != Outcome.ANSWERED, latency_us)
        self.clients.end_attempt(self.request, outcome)


class Clients:
    """All clients of a run, and the outcomes of their requests."""

    def __init__(
        self,
        clock: VirtualClock,
        settings: Settings,
        shape: Shape,
        seed: int,
        servers: Mapping[Key, Server],
        zones: Mapping[Key, int],
    ):
        self.clock, self.shape, self.servers, self.zones = clock, shape, servers, zones
        self.arrival_stream, self.work_stream = RandomStream(seed, "comes"), RandomStream(seed, "works")
        self.jitter_stream = RandomStream(seed, "waits")
        self.slo_us, self.time_limit_us = settings.routes[0].slo_time, settings.routes[0].time_limit
        self.mean_interval_us = 1e6 / (shape.requests_per_s / shape.proxies)  # between requests at one proxy
        self.outcomes: Counter[Outcome] = Counter()
        self.within_slo = self.offered = 0
        self.listeners: list[AttemptListener] = []  # called when an attempt is sent

    def start(self, proxy: Proxy) -> None:
        """Schedule the arrival of the first request at a proxy."""
        interval_us = self.arrival_stream.exponential(self.mean_interval_us)
        self.clock.schedule_after(round(interval_us), self.handle_arrival, proxy)

    def handle_arrival(self, proxy: Proxy) -> None:
        """Handle the arrival of a request at a proxy, and schedule the next arrival."""
        interval_us = self.arrival_stream.exponential(self.mean_interval_us)
        self.clock.schedule_after(max(1, round(interval_us)), self.handle_arrival, proxy)
        self.offered += 1
        self.send_attempt(Request(self.clock.now, proxy, self.shape.client_retries))

    def send_attempt(self, request: Request) -> None:
        """Make an attempt at the server that the proxy picks; without a server the attempt fails at once."""
        proxy = request.proxy
        proxy.attempts += 1
        server = proxy.pick()
        if server is None:
            self.end_attempt(request, Outcome.NO_SERVER)
            return
        for listener in self.listeners:
            listener(self.clock.now, server, proxy.number)
        proxy.in_flight[server] += 1
        shape, schedule_after = self.shape, self.clock.schedule_after
        crosses_zones = self.zones[server] != proxy.zone
        delay_us = shape.cross_zone_delay_us if crosses_zones else shape.same_zone_delay_us
        respond = Attempt(self, request, server).respond
        work = self.work_stream.exponential(shape.mean_work_us)
        schedule_after(
            delay_us,
            self.servers[server].handle,
            work,
            lambda outcome: schedule_after(delay_us, respond, outcome),
        )

    def end_attempt(self, request: Request, outcome: Outcome) -> None:
        """Schedule a retry after a failed attempt, or count the outcome of the request.

        A request is retried while it has retries left and its time limit has not passed.
        """
        elapsed_us = self.clock.now - request.begin_us
        answered = outcome == Outcome.ANSWERED
        if not answered and request.retries_left and elapsed_us < self.time_limit_us:
            retries = self.shape.client_retries - request.retries_left
            backoff_us = self.shape.retry_delay_us * 2**retries * (0.5 + self.jitter_stream.uniform())
            request.retries_left -= 1
            self.clock.schedule_after(round(backoff_us), self.send_attempt, request)
            return
        self.outcomes[outcome] += 1
        self.within_slo += answered and elapsed_us <= self.slo_us

    def service_ratio(self) -> float:
        """Return the fraction of the completed requests that were answered within the SLO time."""
        return self.within_slo / max(1, sum(self.outcomes.values()))
