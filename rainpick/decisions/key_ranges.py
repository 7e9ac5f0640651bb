"""Key ranges stay where they are; one that has lost its servers goes to another, by weight and a hash."""

from __future__ import annotations

from collections.abc import Callable

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.servers import READY, ServerState
from rainpick.decisions.table_assignment import tie_break
from rainpick.model import Address, KeyRangeAssigned, KeyRangeWeight, SetWeight, SetWithdrawn


class KeyRanges:
    """The key ranges in this director's charge, each with the weights that the store holds for it."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.weights: dict[int, dict[Address, float]] = {}

    def assigned(self, event: KeyRangeAssigned) -> None:
        """A key range came into the director's charge, or left it."""
        self.weights.pop(event.key_range, None)
        if event.assigned:
            self.weights[event.key_range] = {}

    def stored(self, event: KeyRangeWeight) -> None:
        """The store holds a weight for a key range."""
        if event.key_range in self.weights:
            self.weights[event.key_range][event.server] = event.weight

    def publish(self, percentage: Callable[[ServerState], float]) -> list[SetWithdrawn | SetWeight]:
        """Commands that withdraw what is not ready, and move key ranges that have lost all their servers."""
        servers = self.fleet.servers
        usable = [server for server in servers.values() if percentage(server) > 0]
        commands: list[SetWithdrawn | SetWeight] = []
        for address, server in servers.items():
            if server.withdrawn != (server.status != READY):
                server.withdrawn = not server.withdrawn
                commands.append(SetWithdrawn(address, server.withdrawn))
        for number, weights in self.weights.items():
            if usable and all(self.is_lost(address) for address in weights):
                commands += self.move(number, weights, usable)
        return commands

    def is_lost(self, address: Address) -> bool:
        """Whether a server is withdrawn or not known any more."""
        return address not in self.fleet.servers or self.fleet.servers[address].withdrawn

    def move(
        self, number: int, weights: dict[Address, float], usable: list[ServerState]
    ) -> list[SetWithdrawn | SetWeight]:
        """Give a key range to a usable server, drawn by weight."""
        heir = max(usable, key=lambda server: server.endpoint.weight * tie_break(server, number))
        address = heir.endpoint.address
        commands: list[SetWithdrawn | SetWeight] = [SetWeight(number, address, 1.0)]
        if not self.fleet.settings.key_range_single_owner:
            commands += [SetWeight(number, lost, 0.0) for lost in weights]
        self.weights[number] = {address: 1.0}
        return commands
