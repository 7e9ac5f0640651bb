"""The endpoint list as members and a list file give it. Free of I/O; times are microseconds of one clock.

A server is *ready* while it is registered, *draining* once it is quiesced, *gone* when it has deregistered or
its stream broke and the grace has passed. What one batch of events did to a server is one change.
"""

from __future__ import annotations

from typing import NamedTuple

from rainpick import model
from rainpick.director.addresses import Key, format_address
from rainpick.director.member_labels import Description, MemberDescriber, RejectedMemberError
from rainpick.sasp import codec
from rainpick.sasp.codec import Group, Member
from rainpick.settings.model import Settings

MAX_SETTLES = 10  # settle times after which a fleet that keeps growing is not waited for any longer


class FileEntry(NamedTuple):
    """A server of the list file, or of the cached list."""

    key: Key
    weight: float
    zone: int
    machine: int
    pod: int
    started_us: int  # 0: long ago
    draining: bool


class Server:
    """One server, and which sources name it."""

    __slots__ = ("key", "description", "started_us", "quiesced", "owner", "file_entry", "published", "state")

    def __init__(self, key: Key):
        self.key = key
        self.description: Description | None = None  # of its registration
        self.started_us = 0
        self.quiesced = False
        self.owner: int | None = None  # number of the stream that registered it
        self.file_entry: FileEntry | None = None
        self.published: model.Endpoint | None = None  # as the decisions know it
        self.state = 0  # the opaque state that the member set


class Membership:
    """The servers of a fleet, from all sources."""

    def __init__(self, settings: Settings, started_us: int):
        fleet = settings.fleet
        self.settings = settings
        self.group = Group(fleet.uid, fleet.group)
        self.describer = MemberDescriber(settings)
        self.servers: dict[Key, Server] = {}
        self.changed: set[Key] = set()  # since the last update
        self.grace_ends_us: dict[Key, int] = {}  # of servers whose stream broke: when they are gone
        self.version = 0
        # Members that register without an age while a director starts are taken for long running: otherwise
        # all ready servers would warm up after each restart of a director.
        self.settled_us = started_us + max(fleet.member_grace, settings.director.settle)
        self.started_us = started_us
        self.newest_us = started_us  # when a server last appeared
        self.from_cache = False

    # Members' requests

    def check_group(self, group: Group) -> None:
        """``RejectedMemberError`` for any group but the fleet's."""
        if group.uid != self.group.uid:
            raise RejectedMemberError(codec.UNKNOWN_LB, f"members register under {self.group.uid!r}")
        if group.name != self.group.name:
            raise RejectedMemberError(codec.INVALID_GROUP, f"the group is {self.group.name!r}")

    def register(self, stream: int, group: Group, members: tuple[Member, ...], now: int) -> None:
        """Register all of the members or, when one is rejected, none."""
        self.check_group(group)
        described = [(member.key(), self.describer.describe(member)) for member in members]
        new_servers = sum(key not in self.servers for key, _ in described)
        max_members = self.settings.fleet.members_most
        if len(self.servers) + new_servers > max_members:
            raise RejectedMemberError(codec.NOT_ACCEPTED, f"{max_members} members are the most")
        for key, _ in described:
            if key in self.servers and self.servers[key].owner == stream:
                raise RejectedMemberError(
                    codec.ALREADY_REGISTERED, f"{format_address(key)} is registered on this stream"
                )
        for key, description in described:
            self.register_server(stream, key, description, now)

    def register_server(self, stream: int, key: Key, description: Description, now: int) -> None:
        """A server registers: it may be new, back from a broken stream, or started anew.

        The newest stream to register it owns it: the previous one may be dead without having been noticed.
        """
        if key not in self.servers:
            self.servers[key], self.newest_us = Server(key), now
        server = self.servers[key]
        was_registered = server.owner is not None or key in self.grace_ends_us
        known_boot = server.description.boot if server.description is not None else None
        same_start = was_registered and server.description is not None and known_boot == description.boot
        if not same_start:
            server.quiesced, server.state = False, 0
            server.started_us = self.start_time_us(server, was_registered, description, now)
        server.description, server.owner = description, stream
        self.grace_ends_us.pop(key, None)
        self.changed.add(key)

    def start_time_us(self, server: Server, was_registered: bool, description: Description, now: int) -> int:
        """When a newly registered process started; 0: long ago."""
        if description.age_us is not None:
            return max(0, now - description.age_us)
        if was_registered:
            return now
        if server.file_entry is not None:
            return server.file_entry.started_us
        return 0 if now < self.settled_us else now

    def owned(self, stream: int, key: Key) -> Server:
        """The server that a stream registered; ``RejectedMemberError`` if it did not."""
        server = self.servers.get(key)
        if server is None or server.owner != stream:
            raise RejectedMemberError(codec.NOT_REGISTERED, f"{format_address(key)} is not of this stream")
        return server

    def deregister(self, stream: int, group: Group, members: tuple[Member, ...]) -> None:
        """Gone at once; a group without members means all that this stream registered."""
        self.check_group(group)
        if members:
            leaving = [self.owned(stream, member.key()) for member in members]
        else:
            leaving = [server for server in self.servers.values() if server.owner == stream]
        for server in leaving:
            self.remove_registration(server)

    def set_state(self, stream: int, group: Group, states: tuple[codec.MemberState, ...]) -> None:
        """Quiesce or resume servers of a stream: all of them or, when one is rejected, none."""
        self.check_group(group)
        changes = [(self.owned(stream, state.member.key()), state) for state in states]
        for server, state in changes:
            server.quiesced, server.state = state.quiesce, state.state
            self.changed.add(server.key)

    def remove_registration(self, server: Server) -> None:
        """A server is not registered any more; the list file may still name it."""
        server.owner = server.description = None
        server.quiesced = False
        self.grace_ends_us.pop(server.key, None)
        self.changed.add(server.key)

    def stream_broke(self, stream: int, now: int) -> None:
        """Its servers are gone after the grace, if no other stream has registered them by then."""
        for server in self.servers.values():
            if server.owner == stream:
                server.owner = None
                self.grace_ends_us[server.key] = now + self.settings.fleet.member_grace

    # The list file and the cached list

    def apply_list_file(self, entries: list[FileEntry]) -> None:
        """The whole file as it is now; what it no longer names goes unless it is registered."""
        by_key = {entry.key: entry for entry in entries}
        for key, server in self.servers.items():
            if server.file_entry is not None and key not in by_key:
                server.file_entry = None
                self.changed.add(key)
        for key, entry in by_key.items():
            self.servers.setdefault(key, Server(key)).file_entry = entry
            self.changed.add(key)

    def apply_cached_list(self, entries: list[FileEntry], now: int) -> None:
        """The cached list of an earlier incarnation: each server has the grace to register again."""
        self.from_cache = bool(entries)
        grace_us = self.settings.fleet.member_grace + self.settings.director.settle
        for entry in entries:
            server = self.servers.setdefault(entry.key, Server(entry.key))
            server.description = Description(entry.weight, entry.zone, entry.machine, entry.pod, None, None)
            server.started_us, server.quiesced = entry.started_us, entry.draining
            self.grace_ends_us[entry.key] = now + grace_us
            self.changed.add(entry.key)

    # The clock

    def start_due_us(self) -> int | None:
        """When there is a list to start the decisions with; None while there is none.

        The tables that the decisions build follow from the list they start with: started with nothing, or
        with the first few of a fleet that is just registering, they would never be those of the whole fleet.
        """
        if not self.servers:
            return None
        if self.from_cache:
            return self.started_us
        settle = self.settings.director.settle
        last = self.started_us + MAX_SETTLES * settle
        return max(self.started_us + settle, min(self.newest_us + settle, last))

    def due_us(self) -> int | None:
        """When the next grace passes."""
        return min(self.grace_ends_us.values(), default=None)

    def expire(self, now: int) -> list[Key]:
        """Remove and return the servers whose grace has passed."""
        expired = [key for key, end_us in self.grace_ends_us.items() if end_us <= now]
        for key in expired:
            self.remove_registration(self.servers[key])
        return expired

    # What the decisions are sent

    def endpoint(self, server: Server) -> model.Endpoint | None:
        """A server as the endpoint list has it; None if no source names it. The file comes first."""
        registered = server.owner is not None or server.key in self.grace_ends_us
        entry = server.file_entry
        attributes: FileEntry | Description | None = entry if entry is not None else server.description
        if attributes is None or not registered and entry is None:
            return None
        draining = registered and server.quiesced or entry is not None and entry.draining
        started_us = server.started_us if registered or entry is None else entry.started_us
        return model.Endpoint(
            attributes.weight,
            attributes.zone,
            started_us,
            attributes.machine,
            attributes.pod,
            server.key,
            model.EndpointState.DRAINING if draining else model.EndpointState.READY,
        )

    def next_update(self) -> model.EndpointUpdate | None:
        """One update with all that has changed since the last one; None if nothing has."""
        endpoints = []
        for key in sorted(self.changed):
            server = self.servers[key]
            endpoint = self.endpoint(server)
            if endpoint is None:
                if server.published is not None:
                    endpoints.append(server.published._replace(state=model.EndpointState.GONE))
                del self.servers[key]
            elif endpoint != server.published:
                server.published = endpoint
                endpoints.append(endpoint)
        self.changed.clear()
        if not endpoints:
            return None
        self.version += 1
        return model.EndpointUpdate(model.UpdateKind.DELTA, tuple(endpoints), self.version)

    def published(self) -> tuple[model.Endpoint, ...]:
        """Every server that the decisions know and that is not gone."""
        servers = [server for _, server in sorted(self.servers.items())]
        return tuple([server.published for server in servers if server.published is not None])

    def initial_update(self) -> model.EndpointUpdate:
        """The list that the decisions of a starting director begin with."""
        self.next_update()
        return model.EndpointUpdate(model.UpdateKind.CACHED, self.published(), self.version)
