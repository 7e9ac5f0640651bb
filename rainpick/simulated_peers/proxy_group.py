"""A group of a day's simulated proxies, and the clients that send requests to them."""

from __future__ import annotations

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from rainpick.simulated_peers import actions
from rainpick.simulated_peers.event_log import EventLog, now_us
from rainpick.simulated_peers.peer_settings import ListedServer, PeerSettings, RouteLoad
from rainpick.simulated_peers.proxies import SimulatedProxy

MAX_CONCURRENT_REQUESTS = 64  # limit for all clients of one proxy
RATE_SHAPE = 2.5  # shape of the Pareto distribution of the proxies' request rates


class ProxyGroup:
    """Starts the proxies with the given numbers and their clients, and applies actions to them."""

    def __init__(self, settings: PeerSettings, listed: list[ListedServer], numbers: list[int], log: EventLog):
        self.settings, self.log, self.ended = settings, log, threading.Event()
        # Default tables and request rates are drawn for all proxies of the day, including those of other
        # groups, so that they do not depend on the division into groups.
        generator = random.Random(f"{settings.seed} standing")
        addresses = [server.address for server in listed]
        pods = {server.address: server.pod for server in listed}
        default_size = min(len(addresses), settings.default_servers)
        self.proxies: dict[int, SimulatedProxy] = {}
        for number in range(settings.proxies):
            default_table = generator.sample(addresses, default_size)
            if number in numbers:
                self.proxies[number] = SimulatedProxy(number, settings, default_table, pods, log)
        shares = [generator.paretovariate(RATE_SHAPE) for _ in range(settings.proxies)]
        for number, proxy in self.proxies.items():
            calls_per_s = settings.calls_per_s * shares[number] / sum(shares)
            threading.Thread(target=self.run_clients, args=(proxy, calls_per_s), daemon=True).start()

    def run_clients(self, proxy: SimulatedProxy, calls_per_s: float) -> None:
        """Send requests to a proxy in an open loop: Poisson arrivals that do not depend on responses."""
        settings = self.settings
        generator = random.Random(f"{settings.seed} client {proxy.number}")
        pool = ThreadPoolExecutor(max_workers=MAX_CONCURRENT_REQUESTS)
        shares = [route.share for route in settings.routes]
        due_us, count = now_us(), 0
        while not self.ended.is_set():
            due_us += int(generator.expovariate(calls_per_s) * 1e6)
            if self.ended.wait(max(0.0, (due_us - now_us()) / 1e6)):
                break
            route = generator.choices(settings.routes, shares)[0]
            count += 1
            pool.submit(self.request, proxy, route, f"{proxy.uid}.{count}", due_us)
        # Not in ``close``: it could shut down the pool just before this thread submits a request to the pool.
        pool.shutdown(wait=False, cancel_futures=True)

    def request(self, proxy: SimulatedProxy, route: RouteLoad, request: str, due_us: int) -> None:
        """Send a request until it is answered, or the client's retries or the time limit are used up."""
        deadline_us, outcome = due_us + route.time_limit_us, "dropped"
        for attempt in range(1 + self.settings.client_retries):
            if now_us() >= deadline_us or self.ended.is_set():
                break
            if attempt:
                time.sleep(self.settings.client_retry_delay_s)
            outcome = proxy.forward_request(route, request, deadline_us)
            # A request that may have taken effect is retried only if its route is repeatable.
            if outcome == "answered" or route.effect != "repeatable" and outcome != "throttled":
                break
        self.log_request(proxy, route, request, due_us, outcome)

    def log_request(
        self, proxy: SimulatedProxy, route: RouteLoad, request: str, due_us: int, outcome: str
    ) -> None:
        """Log the outcome of a request, with the time at which the client was due to send it."""
        duration_us = now_us() - due_us
        good = outcome == "answered" and duration_us <= route.slo_us
        self.log.write(
            "asked",
            at=due_us,
            p=proxy.uid,
            id=request,
            r=route.name,
            out=outcome,
            took=duration_us,
            good=good,
        )

    def apply(self, action: actions.ProxyAction) -> None:
        """Apply an action to the proxies of this group that the action names."""
        for number in action.proxies:
            if number in self.proxies:
                self.apply_to(self.proxies[number], action)

    @staticmethod
    def apply_to(proxy: SimulatedProxy, action: actions.ProxyAction) -> None:
        """Apply an action to one proxy."""
        match action:
            case actions.BreakStreams():
                proxy.link.close()
            case actions.PauseReading(enabled=True):
                proxy.link.reading.clear()
            case actions.PauseReading():
                proxy.link.reading.set()
            case actions.SetReportMode():
                proxy.reporter.mode = action.mode

    def close(self) -> None:
        """End the clients and the proxies."""
        self.ended.set()
        for proxy in self.proxies.values():
            proxy.close()
