"""The table of a simulated proxy: its weights, the choice of servers, and idle connections."""

from __future__ import annotations

import random
import threading
from collections import defaultdict
from collections.abc import Collection, Iterable
from typing import Any

from rainpick.http1.client import Client
from rainpick.sasp.messages import SendWeights
from rainpick.simulated_peers.peer_settings import SocketAddress

MAX_IDLE_CONNECTIONS = 8  # idle connections kept open to each server

Entry = list[Any]  # ``HOST:PORT`` of a server, its weight and SASP flags, as in log events


class ProxyTable:
    """Holds the weights that the proxy read last, attempts in flight, and idle connections.

    Methods may be called from any thread. ``lock`` is the proxy's lock, which also guards the counts for the
    load reports; methods acquire it unless they say that the caller holds it.
    """

    def __init__(
        self,
        pick: str,
        default_table: Iterable[SocketAddress],
        generator: random.Random,
        lock: threading.Lock,
    ):
        self.policy, self.random, self.lock = pick, generator, lock
        self.weights: dict[SocketAddress, int] = dict.fromkeys(default_table, 1)
        self.in_flight: dict[SocketAddress, int] = defaultdict(int)
        self.credits: dict[SocketAddress, float] = {}  # state of the smooth weighted round robin
        self.idle: dict[SocketAddress, list[Client]] = defaultdict(list)

    def copy(self) -> dict[SocketAddress, int]:
        """Return a copy of the weights."""
        with self.lock:
            return dict(self.weights)

    def update(self, message: SendWeights) -> list[Entry]:
        """Apply pushed weights, in which weight 0 removes a server; return their entries."""
        entries = [entry for group in message.groups for entry in group.entries]
        with self.lock:
            for entry in entries:
                server = entry.member.key()
                if entry.weight:
                    self.weights[server] = entry.weight
                else:
                    self.weights.pop(server, None)
                    self.close_idle(server)
        return [["%s:%d" % entry.member.key(), entry.weight, entry.flags] for entry in entries]

    def replace(self, weights: dict[SocketAddress, int]) -> list[Entry]:
        """Replace all weights; return the changed entries, with weight 0 for removed servers."""
        with self.lock:
            changed = [
                ["%s:%d" % server, weight, 0]
                for server, weight in weights.items()
                if self.weights.get(server) != weight
            ]
            removed = [server for server in self.weights if server not in weights]
            for server in removed:
                self.close_idle(server)
            self.weights = weights
        return changed + [["%s:%d" % server, 0, 0] for server in removed]

    def close_idle(self, server: SocketAddress) -> None:
        """Close the idle connections to a server that was removed. The caller holds the lock."""
        for client in self.idle.pop(server, ()):
            client.close()

    def pick(self, excluded: Collection[SocketAddress]) -> SocketAddress | None:
        """Pick a server that is not excluded, by policy and weights; None if there is none.

        The policy ``pair`` draws two servers and picks the one with fewer attempts in flight.
        """
        with self.lock:
            weights = {server: weight for server, weight in self.weights.items() if server not in excluded}
            if not weights:
                return None
            if self.policy == "wheel":
                return self.pick_round_robin(weights)
            draws = 2 if self.policy == "pair" else 1
            drawn = self.random.choices(list(weights), list(weights.values()), k=draws)
            return min(drawn, key=lambda server: self.in_flight[server])

    def pick_round_robin(self, weights: dict[SocketAddress, int]) -> SocketAddress:
        """Pick a server by smooth weighted round robin. The caller holds the lock."""
        for server, weight in weights.items():
            self.credits[server] = self.credits.get(server, 0) + weight
        best = max(weights, key=lambda server: self.credits[server])
        self.credits[best] -= sum(weights.values())
        return best

    def acquire(self, server: SocketAddress) -> tuple[Client, list[Client]]:
        """Get a connection for an attempt, and the server's list of idle connections for ``release``."""
        idle = self.idle[server]
        with self.lock:
            self.in_flight[server] += 1
            return (idle.pop() if idle else Client(*server)), idle

    def release(self, server: SocketAddress, client: Client, idle: list[Client]) -> None:
        """End an attempt in flight and keep its connection if it may be reused. The caller holds the lock."""
        self.in_flight[server] -= 1
        if client.connected and len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(client)
