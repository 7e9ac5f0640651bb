"""The load reports of a simulated proxy, sent over OTLP."""

from __future__ import annotations

import threading
import time
from collections import defaultdict
from dataclasses import dataclass
from typing import NamedTuple

from rainpick.http1.client import Client, ClientError
from rainpick.otlp.encoding import RouteOutcome, ServerOutcome, encode_report
from rainpick.simulated_peers.actions import ReportMode
from rainpick.simulated_peers.event_log import EventLog, now_us
from rainpick.simulated_peers.peer_settings import SocketAddress

REQUEST_TIMEOUT_S = 2.0
LATE_REPORT_US = 10_000_000  # time for which a report is withheld in the mode ``late``


@dataclass(slots=True)
class AttemptTotals:
    """Number and total duration of a proxy's attempts at one server that had the same outcome."""

    count: int = 0
    seconds: float = 0.0


class WithheldReport(NamedTuple):
    """An encoded report that is sent late, at ``due_us`` or after."""

    body: bytes
    due_us: int


class LoadReporter:
    """Counts a proxy's attempts and requests, and reports the counts every ``interval_s``.

    ``lock`` is the proxy's lock, which guards the counts.
    """

    def __init__(
        self, proxy: str, collector: SocketAddress, interval_s: float, log: EventLog, lock: threading.Lock
    ):
        self.proxy, self.interval_s, self.log, self.lock = proxy, interval_s, log, lock
        self.client = Client(*collector, timeout_s=REQUEST_TIMEOUT_S)
        # Attempts by server and outcome, and requests by route and outcome, since the last report.
        self.attempts: dict[tuple[SocketAddress, str], AttemptTotals] = defaultdict(AttemptTotals)
        self.requests: dict[tuple[str, str], int] = defaultdict(int)
        self.mode: ReportMode = "usual"
        self.withheld: WithheldReport | None = None
        self.interval_begin_ns = time.time_ns()

    def record_attempt(self, server: SocketAddress, outcome: str, duration_us: int) -> None:
        """Count an attempt. The caller holds the lock."""
        totals = self.attempts[server, outcome]
        totals.count += 1
        totals.seconds += duration_us / 1e6

    def record_request(self, route: str, outcome: str) -> None:
        """Count a request, with its outcome after the proxy's last attempt.

        The caller should hold the lock. ``SimulatedProxy`` does not, so that a count may be lost.
        """
        self.requests[route, outcome] += 1

    def run(self, ended: threading.Event) -> None:
        """Encode a report every ``interval_s`` and send the reports that are due, until the proxy ends."""
        while not ended.wait(self.interval_s):
            for body in self.due_reports(self.next_report()):
                self.send(body)

    def next_report(self) -> bytes:
        """Encode the counts since the last report, and reset them."""
        begin_ns, self.interval_begin_ns = self.interval_begin_ns, time.time_ns()
        with self.lock:
            attempts, self.attempts = self.attempts, defaultdict(AttemptTotals)
            requests, self.requests = self.requests, defaultdict(int)
        return encode_report(
            self.proxy,
            begin_ns,
            self.interval_begin_ns,
            [
                ServerOutcome(*server, outcome, totals.count, totals.seconds)
                for (server, outcome), totals in attempts.items()
            ],
            [RouteOutcome(route, outcome, count) for (route, outcome), count in requests.items()],
        )

    def due_reports(self, body: bytes) -> list[bytes]:
        """Return the encoded reports to send now; ``body`` is the newest one.

        The mode ``double`` sends the newest report twice. The mode ``late`` sends nothing: it withholds one
        report and discards the others. The withheld report is sent once it is due and the mode has ended.
        """
        if self.mode == "late":
            self.withheld = self.withheld or WithheldReport(body, now_us() + LATE_REPORT_US)
            return []
        bodies = [body, body] if self.mode == "double" else [body]
        if self.withheld and now_us() >= self.withheld.due_us:
            bodies.insert(0, self.withheld.body)
            self.withheld = None
        return bodies

    def send(self, body: bytes) -> None:
        """Send a report and log its HTTP status; status 0 means that there was no response."""
        try:
            headers = (("content-type", "application/x-protobuf"),)
            status, _, _ = self.client.request("POST", "/v1/metrics", body, headers)
        except ClientError:
            status = 0
        self.log.write("report", p=self.proxy, status=status)
