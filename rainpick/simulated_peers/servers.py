"""Simulated servers: HTTP servers with a slow start and injected faults, registered with the directors."""

from __future__ import annotations

import random
import threading
import time

from rainpick.http1.messages import Request, Response
from rainpick.http1.server import Server
from rainpick.sasp.messages import Group
from rainpick.simulated_peers.event_log import EventLog, now_us
from rainpick.simulated_peers.membership import Membership
from rainpick.simulated_peers.peer_settings import PeerSettings, RouteLoad, SocketAddress
from rainpick.simulated_peers.server_capacity import ServerCapacity

MAX_CONNECTIONS = 512
MAX_KNOWN_REQUESTS = 4096  # number of idempotency keys above which a pod removes expired ones
HANG_CHECK_INTERVAL_S = 0.02  # interval at which a hanging request checks whether it may continue
DEREGISTRATION_WAIT_S = 0.05  # time for the last messages to be sent before the streams are closed


class Pod:
    """State that the servers of a pod share: recent idempotency keys, used to drop duplicate requests."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.known_until_us: dict[str, int] = {}  # expiry time by idempotency key

    def is_duplicate(self, request: str, window_us: int) -> bool:
        """Return whether a request was received within the last ``window_us``; if not, store its key."""
        now = now_us()
        with self.lock:
            if len(self.known_until_us) > MAX_KNOWN_REQUESTS:
                known = self.known_until_us.items()
                self.known_until_us = {request: until for request, until in known if until > now}
            if self.known_until_us.get(request, 0) > now:
                return True
            self.known_until_us[request] = now + window_us
            return False


def pod_number(server: int, zones: int) -> int:
    """Return the number of a server's pod; each pod has two consecutive servers of a zone."""
    return server // (zones * 2) * zones + server % zones


class SimulatedServer:
    """One server on loopback; the fleet sets attributes to inject faults."""

    def __init__(self, number: int, settings: PeerSettings, pod: Pod, log: EventLog):
        machine = settings.machines[number % len(settings.machines)]
        zone = settings.zones[number % len(settings.zones)]
        self.number, self.pod, self.log = number, pod, log
        self.pod_number = pod_number(number, len(settings.zones))
        self.routes = {route.name: route for route in settings.routes}
        self.random = random.Random(f"{settings.seed} server {number}")
        self.warm_up_us = settings.slow_start.warm_up_us
        self.capacity = ServerCapacity(machine, settings.slow_start)
        label = f"weight={machine.weight};zone={zone};machine={machine.name};pod={self.pod_number}"
        group = Group(settings.uid, settings.group)
        self.membership = Membership(settings.sasp, group, label, log, self.is_current)
        self.run = 0  # number of starts so far, which identifies the current run
        self.running = threading.Event()
        self.address: SocketAddress = ("127.0.0.1", 0)  # later starts reuse the port of the first
        self.http_server: Server | None = None
        self.slowdown, self.failure_share, self.hung = 1.0, 0.0, False

    @property
    def name(self) -> str:
        """The server's name in logs."""
        return "%s:%d" % self.address

    def is_current(self, run: int) -> bool:
        """Return whether the run with this number still lasts."""
        return self.running.is_set() and self.run == run

    # Requests

    def serve(self, http_request: Request) -> Response:
        """Handle a request. The path is its route; the header ``call`` identifies the request.

        ``ConnectionResetError`` makes the HTTP server close the connection without a response.
        """
        now, request = now_us(), http_request.headers.get("call", "?")
        route = self.routes[http_request.path.strip("/")]
        self.log.write("call", s=self.name, id=request, r=route.name, w=route.work_us)
        while self.hung and self.running.is_set():
            time.sleep(HANG_CHECK_INTERVAL_S)
        if not self.running.is_set():
            raise ConnectionResetError
        if self.capacity.is_overloaded(now, route.work_us):
            self.stop("fell")
            raise ConnectionResetError
        if self.random.random() < self.failure_share:
            return Response(500, b"broken", "text/plain")
        if route.effect == "keyed" and self.pod.is_duplicate(request, route.retry_window_us):
            self.log.write("repeat", s=self.name, id=request)
            return Response(200, b"dropped: it runs already", "text/plain")
        return self.work(route, request, now)

    def work(self, route: RouteLoad, request: str, now: int) -> Response:
        """Process a request in a slot; return status 503 if the queue is full.

        The request takes effect at the end. Half of the mean work is constant, the other half is
        exponentially distributed.
        """
        work_us = self.random.expovariate(1 / route.work_us) / 2 + route.work_us / 2
        duration_us = work_us * self.capacity.slots / self.capacity.rate(now) * self.slowdown
        end_us = self.capacity.reserve(now, duration_us)
        if end_us is None:
            return Response(503, b"full", "text/plain")
        time.sleep(max(0.0, (end_us - now_us()) / 1e6))
        if not self.running.is_set():
            raise ConnectionResetError
        if route.effect != "repeatable":
            self.log.write("effect", s=self.name, id=request, r=route.name)
        return Response(200, b"ok", "text/plain")

    # Lifecycle

    def start(self, cold: bool) -> None:
        """Start a new run of the server. With ``cold`` it begins a slow start, otherwise it is warm."""
        self.run += 1
        started_us = now_us() - (0 if cold else self.warm_up_us)
        self.capacity.reset(started_us)
        self.hung, self.membership.draining = False, False
        self.http_server = Server("server", self.address, self.serve, max_connections=MAX_CONNECTIONS)
        self.address = self.http_server.address
        self.running.set()
        self.log.write(
            "start",
            s=self.name,
            n=self.number,
            born=started_us,
            pod=self.pod_number,
            capacity=self.capacity.warm_rate,
        )
        self.membership.begin(self.run, self.address, started_us)

    def drain(self) -> None:
        """Begin a graceful shutdown: announce the drain to the directors, but still serve requests."""
        self.membership.drain()

    def leave(self) -> None:
        """End a graceful shutdown: deregister and stop."""
        self.membership.deregister()
        time.sleep(DEREGISTRATION_WAIT_S)
        self.stop("left")

    def stop(self, reason: str) -> None:
        """Stop at once, without answering requests in progress. Does nothing if already stopped."""
        if self.running.is_set():
            self.running.clear()
            self.log.write("stop", s=self.name, how=reason)
            if self.http_server is not None:
                self.http_server.close()
            self.membership.end()
