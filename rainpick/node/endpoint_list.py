"""The endpoint list as the director holds it between two answers of discovery. Free of I/O."""

from __future__ import annotations

from collections.abc import Set
from typing import NamedTuple

from rainpick import model
from rainpick.node.clock import Clock
from rainpick.node.endpoint_discovery import DiscoveryAnswer

DEPARTED_LIMIT = 512  # departed endpoints that are remembered, as their last load reports come late


class StartTime(NamedTuple):
    """When an endpoint started, in microseconds; 0 stands for long ago."""

    stamped_us: int  # in Unix time, as discovery gave it
    started_us: int  # on the director's clock


class EndpointList:
    """Applies answers of discovery, so that an unreadable entry affects its own endpoint only.

    An endpoint that has departed stays known for a while, see ``knows``.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or Clock()
        self.entries: dict[model.Address, model.Endpoint] = {}
        self.departed: dict[model.Address, None] = {}  # in the order of departure
        self.start_times: dict[model.Address, StartTime] = {}
        self.version: int | None = None

    def apply(self, answer: DiscoveryAnswer, kind: model.UpdateKind | None = None) -> model.EndpointUpdate:
        """Apply an answer and return the event for it.

        ``kind`` is given for an answer that discovery did not give just now, such as the cached list.
        """
        if kind is None:
            kind = model.UpdateKind.FULL if answer.full else model.UpdateKind.DELTA
        endpoints = tuple(map(self.with_local_start, answer.endpoints))
        if kind != model.UpdateKind.DELTA:
            # An entry that can't be read says nothing of its endpoint: what was known of it stands.
            endpoints += tuple(
                self.entries[address] for address in sorted(answer.unreadable & self.entries.keys())
            )
            self.remove(self.entries.keys() - {endpoint.address for endpoint in endpoints})
        self.remove(
            {endpoint.address for endpoint in endpoints if endpoint.state == model.EndpointState.GONE}
        )
        for endpoint in endpoints:
            if endpoint.state != model.EndpointState.GONE:
                self.entries[endpoint.address] = endpoint
                self.departed.pop(endpoint.address, None)
        self.version = answer.version
        return model.EndpointUpdate(kind, endpoints, answer.version)

    def with_local_start(self, endpoint: model.Endpoint) -> model.Endpoint:
        """The endpoint with its start time on the director's clock.

        A start time that is given again unchanged is not converted again: the wall clock may have been
        stepped meanwhile, which must not change the age of the endpoint.
        """
        start = self.start_times.get(endpoint.address)
        if start is None or start.stamped_us != endpoint.started_us:
            start = StartTime(endpoint.started_us, self.clock.start_time(endpoint.started_us))
            self.start_times[endpoint.address] = start
        return endpoint._replace(started_us=start.started_us)

    def remove(self, addresses: Set[model.Address]) -> None:
        """Move endpoints to the departed ones, of which the oldest are forgotten."""
        for address in sorted(addresses, key=str):
            self.entries.pop(address, None)
            self.departed[address] = None
        while len(self.departed) > DEPARTED_LIMIT:
            oldest = next(iter(self.departed))
            del self.departed[oldest]
            self.start_times.pop(oldest, None)

    def knows(self, address: model.Address) -> bool:
        """Whether the endpoint is listed, or was until recently."""
        return address in self.entries or address in self.departed
