"""Assigns key ranges to servers.

The weights of a key range remain unchanged while any of its servers is available. A key range without an
available server is moved to one server, selected by weighted hashing.
"""

from __future__ import annotations

from collections.abc import Callable

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.publisher import Publisher
from rainpick.decisions.servers import READY, ServerState
from rainpick.decisions.table_assignment import tie_break
from rainpick.model import Address, KeyRangeAssigned, KeyRangeWeight, ProxyJoined, SetWeight, SetWithdrawn


def hashed_weight(server: ServerState, number: int) -> float:
    """Return the value by which servers are compared for a key range: the highest one gets it."""
    return server.endpoint.weight * tie_break(server, number)


class KeyRanges:
    """The key ranges assigned to this director, each with its weights by server.

    A store outside the director keeps the weights; ``KeyRangeWeight`` events report those of a newly assigned
    key range. ``due_us`` is when to publish again if no event arrives before.
    """

    due_us: float = float("inf")

    def __init__(self, fleet: Fleet, publisher: Publisher):
        self.fleet = fleet
        self.publisher = publisher
        self.weights: dict[int, dict[Address, float]] = {}

    def assigned(self, event: KeyRangeAssigned) -> None:
        """Add a newly assigned key range, or remove one that is no longer assigned to this director."""
        self.weights.pop(event.key_range, None)
        if event.assigned:
            self.weights[event.key_range] = {}

    def stored(self, event: KeyRangeWeight) -> None:
        """Record a stored weight of a key range, unless the key range is not assigned to this director."""
        if event.key_range in self.weights:
            self.weights[event.key_range][event.server] = event.weight

    def proxy_joined(self, event: ProxyJoined) -> None:
        """Consider that a proxy has joined; ranges that several servers may own do not depend on it."""

    def proxy_left(self, proxy: int) -> None:
        """Consider that a proxy has left; see ``proxy_joined``."""

    def acknowledged(self, proxy: int) -> None:
        """Consider that a proxy has applied messages; see ``proxy_joined``."""

    def publish(self, percentage: Callable[[ServerState], float]) -> None:
        """Publish withdrawals and readmissions, and move key ranges without an available server.

        ``percentage`` returns the current percentage of a server.
        """
        servers = self.fleet.servers
        usable = [server for server in servers.values() if percentage(server) > 0]
        commands: list[SetWithdrawn | SetWeight] = []
        for address, server in servers.items():
            if server.withdrawn != (server.status != READY):
                server.withdrawn = not server.withdrawn
                commands.append(SetWithdrawn(address, server.withdrawn))
        for number, weights in self.weights.items():
            if usable and all(self.is_unavailable(address) for address in weights):
                commands += self.move(number, weights, usable)
        self.publisher.commands += commands

    def is_unavailable(self, address: Address) -> bool:
        """Return whether a server is withdrawn or unknown."""
        return address not in self.fleet.servers or self.fleet.servers[address].withdrawn

    def move(
        self, number: int, weights: dict[Address, float], usable: list[ServerState]
    ) -> list[SetWithdrawn | SetWeight]:
        """Move a key range to a usable server, selected by weighted hashing.

        The weights of its previous servers are set to 0.
        """
        new_owner = max(usable, key=lambda server: hashed_weight(server, number))
        address = new_owner.endpoint.address
        commands: list[SetWithdrawn | SetWeight] = [SetWeight(number, address, 1.0)]
        commands += [SetWeight(number, old_owner, 0.0) for old_owner in weights]
        self.weights[number] = {address: 1.0}
        return commands
