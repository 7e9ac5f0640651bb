"""Simulated proxies: they pick servers by a director's weights, and retry only if configured to."""

from __future__ import annotations

import random
import threading

from rainpick.http1.client import ClientError
from rainpick.simulated_peers.director_link import DirectorLink
from rainpick.simulated_peers.event_log import EventLog, now_us
from rainpick.simulated_peers.load_reporter import LoadReporter
from rainpick.simulated_peers.peer_settings import PeerSettings, RouteLoad, SocketAddress
from rainpick.simulated_peers.proxy_table import ProxyTable

OUTCOMES = {200: "answered", 503: "throttled"}  # outcome by HTTP status; any other status is ``dropped``
MIN_ATTEMPT_LIMIT_S = 0.01  # shortest time limit of an attempt


class SimulatedProxy:
    """One proxy: its link to a director, its table, its attempts at servers and its load reports."""

    def __init__(
        self,
        number: int,
        settings: PeerSettings,
        default_table: list[SocketAddress],
        pods: dict[SocketAddress, int],
        log: EventLog,
    ):
        self.number, self.uid, self.settings, self.log = number, f"edge-{number}", settings, log
        self.pods, self.lock, self.ended = pods, threading.Lock(), threading.Event()
        generator = random.Random(f"{settings.seed} proxy {number}")
        self.table = ProxyTable(settings.pick, default_table, generator, self.lock)
        self.link = DirectorLink(number, self.uid, settings, self.table, generator, log)
        self.reporter = LoadReporter(self.uid, settings.otlp[0], settings.report_interval_s, log, self.lock)
        log.write("standing", p=self.uid, m=[["%s:%d" % server, 1] for server in default_table])
        for run in (self.link.run, self.reporter.run):
            threading.Thread(target=run, args=(self.ended,), daemon=True).start()

    def forward_request(self, route: RouteLoad, request: str, deadline_us: int) -> str:
        """Forward a request to a server; retry a failure once at another server if the settings allow it.

        Return the outcome of the last attempt: ``answered``, ``dropped`` or ``throttled``. It is also
        ``throttled`` if no attempt is made, because there is no server or the deadline has passed.
        """
        excluded: list[SocketAddress] = []  # server of the first attempt, then others barred for the retry
        outcome, first_us = "throttled", now_us()
        while True:
            server = self.table.pick(excluded)
            if server is None or now_us() >= deadline_us:
                break
            if excluded:
                self.log_retry(route, request, server, excluded[0], first_us)
            outcome = self.attempt(route, request, server, deadline_us)
            is_retry = bool(excluded)
            if outcome == "answered" or self.settings.retry == "never" or is_retry:
                break
            excluded.append(server)
            if self.settings.retry == "same_pod":
                excluded += self.servers_outside_pod(server)
        self.reporter.record_request(route.name, outcome)
        return outcome

    def servers_outside_pod(self, server: SocketAddress) -> list[SocketAddress]:
        """List the servers outside a server's pod."""
        pod = self.pods.get(server)
        return [other for other, other_pod in self.pods.items() if other_pod != pod]

    def log_retry(
        self, route: RouteLoad, request: str, server: SocketAddress, first: SocketAddress, first_us: int
    ) -> None:
        """Log a retry, with server and start time of the first attempt (``first`` and ``first_us``)."""
        self.log.write(
            "again",
            p=self.uid,
            id=request,
            r=route.name,
            s="%s:%d" % server,
            after=["%s:%d" % first],
            first=first_us,
        )

    def attempt(self, route: RouteLoad, request: str, server: SocketAddress, deadline_us: int) -> str:
        """Make an attempt at a server within its time limit; log it, count it and return the outcome."""
        begin, name = now_us(), "%s:%d" % server
        self.log.write("try", at=begin, p=self.uid, id=request, r=route.name, s=name)
        limit_us = min(deadline_us - begin, self.settings.attempt_limit_share * route.time_limit_us)
        limit_s = max(MIN_ATTEMPT_LIMIT_S, limit_us / 1e6)
        client, idle = self.table.acquire(server)
        try:
            headers = ("call", request), ("proxy", self.uid)
            status, _, _ = client.request("POST", f"/{route.name}", b"", headers, limit_s)
            outcome = OUTCOMES.get(status, "dropped")
        except ClientError:
            outcome = "dropped"
        duration_us = now_us() - begin
        with self.lock:
            self.table.release(server, client, idle)
            self.reporter.record_attempt(server, outcome, duration_us)
        self.log.write("end", p=self.uid, id=request, s=name, out=outcome)
        return outcome

    def close(self) -> None:
        """End the proxy's threads and close its stream to the director."""
        self.ended.set()
        self.link.close()
