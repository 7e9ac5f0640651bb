"""Groups of peers: the fleet of servers, or some proxies with their clients."""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path
from typing import Protocol, cast

from rainpick.simulated_peers.actions import Action, ProxyAction, ServerAction
from rainpick.simulated_peers.event_log import EventLog
from rainpick.simulated_peers.fleet import Fleet
from rainpick.simulated_peers.peer_settings import ListedServer, PeerStart
from rainpick.simulated_peers.proxy_group import ProxyGroup


class PeerRole(StrEnum):
    """The kind of the peers in a group."""

    FLEET = "fleet"
    PROXIES = "edge"


class PeerGroup(Protocol):
    """A running group of peers, in this process or in a process of its own."""

    servers: list[ListedServer]  # empty for proxies

    def apply(self, action: Action) -> None:
        """Apply an action: a ``ServerAction`` to the fleet, a ``ProxyAction`` to a group of proxies."""

    def close(self) -> None:
        """End all peers of the group."""


class PeerGroupStarter(Protocol):
    """Starts a group of peers, which logs its events to a file."""

    def __call__(self, role: PeerRole, start: PeerStart, log_path: Path, /) -> PeerGroup:
        """Start the group and return it."""


class LocalPeers:
    """A group of peers within this process."""

    def __init__(self, role: PeerRole, start: PeerStart, log_path: Path):
        self.log = EventLog(log_path)
        self.servers: list[ListedServer] = []
        self.group: Fleet | ProxyGroup
        if role == PeerRole.FLEET:
            self.group = Fleet(start.settings, self.log)
            self.servers = self.group.listed()
        else:
            self.group = ProxyGroup(start.settings, start.listed, start.proxies, self.log)

    def apply(self, action: Action) -> None:
        """Apply an action; see ``PeerGroup.apply``."""
        if isinstance(self.group, Fleet):
            self.group.apply(cast(ServerAction, action))
        else:
            self.group.apply(cast(ProxyAction, action))

    def close(self) -> None:
        """End all peers of the group and close its log."""
        self.group.close()
        self.log.close()
