"""Simulated servers: they serve requests over HTTP, warm up, show faults, and are members of directors."""

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
MAX_KNOWN_REQUESTS = 4096  # in a pod, before outdated ones are forgotten
HUNG_CHECK_S = 0.02
DEREGISTRATION_S = 0.05  # for the last messages to leave before the streams are closed


class Pod:
    """What the servers of a pod share: recent idempotency keys, so that duplicates are dropped."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.known_until_us: dict[str, int] = {}

    def is_duplicate(self, request: str, window_us: int) -> bool:
        """Say whether a request came within the window before; if not, remember it."""
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
    """Give a server's pod: two servers of a zone that are next to each other."""
    return server // (zones * 2) * zones + server % zones


class SimulatedServer:
    """One server on loopback; its faults are attributes that the fleet sets."""

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
        self.run = 0  # counts its starts
        self.running = threading.Event()
        self.address: SocketAddress = ("127.0.0.1", 0)  # the port is kept from the first start on
        self.front: Server | None = None
        self.slowdown, self.failure_share, self.hung = 1.0, 0.0, False

    @property
    def name(self) -> str:
        """The server as logs name it."""
        return "%s:%d" % self.address

    def is_current(self, run: int) -> bool:
        """Say whether the run of a number still lasts."""
        return self.running.is_set() and self.run == run

    # Requests

    def serve(self, asked: Request) -> Response:
        """Handle a request: the route is its path, its identity the header ``call``.

        ``ConnectionResetError`` ends the connection without an answer.
        """
        now, request = now_us(), asked.headers.get("call", "?")
        route = self.routes[asked.path.strip("/")]
        self.log.write("call", s=self.name, id=request, r=route.name, w=route.work_us)
        while self.hung and self.running.is_set():
            time.sleep(HUNG_CHECK_S)
        if not self.running.is_set():
            raise ConnectionResetError
        if self.capacity.is_overwhelmed(now, route.work_us):
            self.stop("fell")
            raise ConnectionResetError
        if self.random.random() < self.failure_share:
            return Response(500, b"broken", "text/plain")
        if route.effect == "keyed" and self.pod.is_duplicate(request, route.retry_window_us):
            self.log.write("repeat", s=self.name, id=request)
            return Response(200, b"dropped: it runs already", "text/plain")
        return self.work(route, request, now)

    def work(self, route: RouteLoad, request: str, now: int) -> Response:
        """Do the work of a request; it takes effect at the end."""
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

    # Life

    def start(self, cold: bool) -> None:
        """Start a run of the server, which warms up if it is cold."""
        self.run += 1
        started_us = now_us() - (0 if cold else self.warm_up_us)
        self.capacity.reset(started_us)
        self.hung, self.membership.draining = False, False
        self.front = Server("server", self.address, self.serve, max_connections=MAX_CONNECTIONS)
        self.address = self.front.address
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
        """Begin a graceful shutdown: the directors are told, and requests are still served."""
        self.membership.drain()

    def leave(self) -> None:
        """End a graceful shutdown: deregister and stop."""
        self.membership.deregister()
        time.sleep(DEREGISTRATION_S)
        self.stop("left")

    def stop(self, reason: str) -> None:
        """Stop at once: requests in progress get no answer. Does nothing if it has stopped."""
        if self.running.is_set():
            self.running.clear()
            self.log.write("stop", s=self.name, how=reason)
            if self.front is not None:
                self.front.close()
            self.membership.end()
