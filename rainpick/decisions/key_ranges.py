"""Assigns key ranges to servers.

The weights of a key range remain unchanged while any of its servers is available. A key range without an
available server is moved to one server, selected by weighted hashing.
"""

from __future__ import annotations

from collections.abc import Callable

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.servers import READY, ServerState
from rainpick.decisions.table_assignment import tie_break
from rainpick.model import Address, KeyRangeAssigned, KeyRangeWeight, SetWeight, SetWithdrawn


class KeyRanges:
    """The key ranges assigned to this director, each with its weights by server.

    A store outside the director keeps the weights; ``KeyRangeWeight`` events report those of a newly assigned
    key range.
    """

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
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

    def publish(self, percentage: Callable[[ServerState], float]) -> list[SetWithdrawn | SetWeight]:
        """Return commands that withdraw or readmit servers, and move key ranges without an available server.

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
        return commands

    def is_unavailable(self, address: Address) -> bool:
        """Return whether a server is withdrawn or unknown."""
        return address not in self.fleet.servers or self.fleet.servers[address].withdrawn

    def move(
        self, number: int, weights: dict[Address, float], usable: list[ServerState]
    ) -> list[SetWithdrawn | SetWeight]:
        """Move a key range to a usable server, selected by weighted hashing.

        The weights of its previous servers are set to 0, unless the settings allow a key range only one
        server, which the new weight replaces.
        """
        new_owner = max(usable, key=lambda server: server.endpoint.weight * tie_break(server, number))
        address = new_owner.endpoint.address
        commands: list[SetWithdrawn | SetWeight] = [SetWeight(number, address, 1.0)]
        if not self.fleet.settings.key_range_single_owner:
            commands += [SetWeight(number, old_owner, 0.0) for old_owner in weights]
        self.weights[number] = {address: 1.0}
        return commands
