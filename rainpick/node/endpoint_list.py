"""The director's copy of the endpoint list, updated from discovery's responses. Free of I/O."""

from __future__ import annotations

from collections.abc import Set
from typing import NamedTuple

from rainpick import model
from rainpick.node.clock import Clock
from rainpick.node.endpoint_discovery import DiscoveryResponse

DEPARTED_LIMIT = 512  # number of remembered departed endpoints, whose last load reports may arrive later


class StartTime(NamedTuple):
    """The start time of an endpoint in microseconds; 0 means long ago."""

    stamped_us: int  # start time as Unix time, as received from discovery
    started_us: int  # start time on the director's clock


class EndpointList:
    """Applies responses of discovery. An invalid entry affects only its own endpoint.

    The last ``DEPARTED_LIMIT`` departed endpoints are still known, see ``is_known``.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or Clock()
        self.entries: dict[model.Address, model.Endpoint] = {}
        self.departed: dict[model.Address, None] = {}  # departed endpoints, oldest departure first
        self.start_times: dict[model.Address, StartTime] = {}
        self.version: int | None = None

    def apply(
        self, response: DiscoveryResponse, kind: model.UpdateKind | None = None
    ) -> model.EndpointUpdate:
        """Apply a response and return the event for the decisions.

        ``kind`` overrides the kind of the event, for a response from another source such as the cached list.
        """
        if kind is None:
            kind = model.UpdateKind.FULL if response.full else model.UpdateKind.DELTA
        endpoints = tuple(map(self.with_local_start, response.endpoints))
        if kind != model.UpdateKind.DELTA:
            # An invalid entry does not mean that the endpoint has departed: keep its last valid entry.
            endpoints += tuple(
                self.entries[address] for address in sorted(response.unreadable & self.entries.keys())
            )
            self.remove(self.entries.keys() - {endpoint.address for endpoint in endpoints})
        self.remove(
            {endpoint.address for endpoint in endpoints if endpoint.state == model.EndpointState.GONE}
        )
        for endpoint in endpoints:
            if endpoint.state != model.EndpointState.GONE:
                self.entries[endpoint.address] = endpoint
                self.departed.pop(endpoint.address, None)
        self.version = response.version
        return model.EndpointUpdate(kind, endpoints, response.version)

    def with_local_start(self, endpoint: model.Endpoint) -> model.Endpoint:
        """Return the endpoint with its start time converted to the director's clock.

        An unchanged start time is not converted again: the wall clock may have been stepped meanwhile, which
        must not change the age of the endpoint.
        """
        start = self.start_times.get(endpoint.address)
        if start is None or start.stamped_us != endpoint.started_us:
            start = StartTime(endpoint.started_us, self.clock.start_time(endpoint.started_us))
            self.start_times[endpoint.address] = start
        return endpoint._replace(started_us=start.started_us)

    def remove(self, addresses: Set[model.Address]) -> None:
        """Move endpoints to ``departed``, and drop its oldest entries beyond ``DEPARTED_LIMIT``."""
        for address in sorted(addresses, key=str):
            self.entries.pop(address, None)
            self.departed[address] = None
        while len(self.departed) > DEPARTED_LIMIT:
            oldest = next(iter(self.departed))
            del self.departed[oldest]
            self.start_times.pop(oldest, None)

    def is_known(self, address: model.Address) -> bool:
        """Return whether the endpoint is listed or among the last departed ones."""
        return address in self.entries or address in self.departed
