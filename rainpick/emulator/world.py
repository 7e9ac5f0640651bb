"""An emulated fleet around one engine, the same code that the daemon drives.

The engine receives the endpoint list, the joins of proxies and their load reports. Its messages are delivered
to the proxies with a delay. Clients send requests to the proxies, which make attempts at the servers.
"""

from __future__ import annotations

from collections.abc import Callable

from rainpick.decisions.director import Director
from rainpick.director.addresses import Key
from rainpick.director.engine import Engine, OutgoingMessage
from rainpick.emulator.clients import Clients
from rainpick.emulator.clock import TimerId, VirtualClock
from rainpick.emulator.load_reports import LoadReport, LoadReporter
from rainpick.emulator.proxy import Proxy
from rainpick.emulator.random_streams import RandomStream
from rainpick.emulator.server import Server, create_server
from rainpick.emulator.shape import Shape
from rainpick.model import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from rainpick.settings import Settings

__all__ = ["Shape", "World"]

BEGIN_US = 1_000_000  # virtual time at the beginning of a run
SERVER_HOST = "10.0.0.1"
FIRST_PORT = 1024


class World:
    """A run of an emulated fleet.

    ``director_factory`` creates the director of the decision modules. ``begin`` starts the fleet, ``run``
    advances the virtual time.
    """

    def __init__(
        self, settings: Settings, shape: Shape, seed: int, director_factory: Callable[[], Director] = Director
    ):
        self.shape, self.seed, self.clock = shape, seed, VirtualClock(BEGIN_US)
        self.engine = Engine(settings, seed, BEGIN_US, director_factory)
        self.engine_due_us = -1  # time of the scheduled advance; in the past if none is scheduled
        self.engine_timer: TimerId = 0
        self.zone_count = max(1, len(settings.zones))
        self.servers: dict[Key, Server] = {}
        self.endpoints: dict[Key, Endpoint] = {}
        self.list_version = 1
        for number in range(shape.servers):
            self.add_server(number)
        self.proxies: dict[int, Proxy] = {}
        zones = {server: endpoint.zone for server, endpoint in self.endpoints.items()}
        self.clients = Clients(self.clock, settings, shape, seed, self.servers, zones)
        self.reporter = LoadReporter(self.clock, settings, shape, self.proxies, self.receive_reports)

    @property
    def offered(self) -> int:
        """Number of requests that have arrived so far."""
        return self.clients.offered

    def add_server(self, number: int) -> None:
        """Add a ready and warm server and its endpoint."""
        shape, address = self.shape, (SERVER_HOST, FIRST_PORT + number)
        machine_type = number % len(shape.server_types)
        self.servers[address] = create_server(self.clock, address, shape.server_types[machine_type])
        self.endpoints[address] = Endpoint(
            weight=shape.listed_weights[number % len(shape.listed_weights)],
            zone=number % self.zone_count,
            started_us=0,
            machine_type=machine_type,
            pod=number,
            address=address,
            state=EndpointState.READY,
        )

    def begin(self) -> None:
        """Pass the endpoint list to the engine, and start all proxies, their clients and load reports."""
        endpoints = tuple(self.endpoints.values())
        self.engine.update_endpoints(EndpointUpdate(UpdateKind.CACHED, endpoints, self.list_version))
        for number in range(self.shape.proxies):
            self.add_proxy(number)
        self.reporter.start()
        self.advance_engine()

    def run(self, seconds: float) -> None:
        """Advance the virtual time by a number of seconds."""
        self.clock.run(self.clock.now + int(seconds * 1e6))

    def service_ratio(self) -> float:
        """Return the fraction of the completed requests that were answered within the SLO time."""
        return self.clients.service_ratio()

    # The engine

    def advance_engine(self) -> None:
        """Let the engine process events, send the resulting messages, and schedule the next advance."""
        for message in self.engine.advance(self.clock.now):
            self.clock.schedule_after(self.shape.same_zone_delay_us, self.deliver, message)
        due_us = self.engine.due_us()
        if due_us is not None:
            self.schedule_engine(max(due_us, self.clock.now + 1))

    def schedule_engine(self, due_us: int) -> None:
        """Schedule the next advance, unless an advance is already scheduled at or before ``due_us``."""
        now = self.clock.now
        if now < self.engine_due_us <= due_us:
            return
        if self.engine_due_us > now:
            self.clock.cancel(self.engine_timer)
        self.engine_due_us = due_us
        self.engine_timer = self.clock.schedule_at(due_us, self.advance_engine)

    def deliver(self, message: OutgoingMessage) -> None:
        """Deliver a message to its proxy and confirm the delivery to the engine."""
        proxy = self.proxies.get(message.proxy)
        if proxy is not None:
            proxy.update(message.delta.lines)
            self.engine.confirm_delivery(message.proxy, message.number)
            self.advance_engine()

    def receive_reports(self, reports: list[LoadReport]) -> None:
        """Pass load reports to the engine."""
        self.engine.add_load_reports(reports)
        self.advance_engine()

    def add_proxy(self, number: int) -> None:
        """Add a proxy with a default table of some servers, and start the requests to it."""
        shape, addresses = self.shape, sorted(self.servers)
        default_table = [
            addresses[(number * 7 + offset) % len(addresses)] for offset in range(shape.default_servers)
        ]
        random = RandomStream(self.seed, f"proxy {number}")
        proxy = Proxy(number, number % self.zone_count, shape.pick, random, default_table)
        self.proxies[number] = proxy
        self.engine.join(number, True, shape.requests_per_s / shape.proxies, proxy.zone, default_table)
        self.clients.start(proxy)

    # The endpoint list, and the start and stop of servers

    def set_listed_state(self, server: Key, state: EndpointState) -> None:
        """Change a server's state in the endpoint list, which the engine receives after a delay."""
        endpoint = self.endpoints[server] = self.endpoints[server]._replace(state=state)
        self.clock.schedule_after(self.shape.list_delay_us, self.send_endpoint_update, endpoint)

    def send_endpoint_update(self, endpoint: Endpoint) -> None:
        """Pass a changed endpoint to the engine."""
        self.list_version += 1
        self.engine.update_endpoints(EndpointUpdate(UpdateKind.DELTA, (endpoint,), self.list_version))
        self.advance_engine()

    def drain(self, server: Key) -> None:
        """Set a server's listed state to draining; it continues to serve."""
        self.set_listed_state(server, EndpointState.DRAINING)

    def stop(self, server: Key) -> None:
        """Stop a server and list it as gone."""
        self.servers[server].stop()
        self.set_listed_state(server, EndpointState.GONE)

    def start(self, server: Key) -> None:
        """Start a stopped server, which then is in slow start."""
        self.servers[server].start()
        self.endpoints[server] = self.endpoints[server]._replace(started_us=self.clock.now)
        self.set_listed_state(server, EndpointState.READY)
