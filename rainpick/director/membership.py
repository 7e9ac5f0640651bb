"""The endpoint list, built from registered members and a list file. Does no I/O.

A server is listed while it is registered or in the list file. It is *draining* if its member is quiesced or
the list file marks it as draining, otherwise *ready*. It is *gone* once it is neither registered nor in
the list file. A registration ends when the server deregisters, or when its stream has ended and the grace
period is over. Several changes of a server between two updates count as one. Times are microseconds of the
director's clock.
"""

from __future__ import annotations

from typing import NamedTuple

from rainpick import model
from rainpick.director.addresses import Key, format_address
from rainpick.director.member_labels import Description, MemberDescriber, RejectedMemberError
from rainpick.sasp.constants import ReturnCode
from rainpick.sasp.messages import Group, Member, MemberState
from rainpick.settings.model import Settings

MAX_SETTLE_TIMES = 10  # ``Director`` starts after this many settle times even if further servers register


class FileEntry(NamedTuple):
    """A server in the list file or in the cached list."""

    key: Key
    weight: float
    zone: int
    machine: int
    pod: int
    started_us: int  # 0: started long ago
    draining: bool


class Server:
    """The state of one server and the sources that list it."""

    __slots__ = ("key", "description", "started_us", "quiesced", "owner", "file_entry", "published", "state")

    def __init__(self, key: Key):
        self.key = key
        self.description: Description | None = None  # attributes from the registration or the cached list
        self.started_us = 0
        self.quiesced = False
        self.owner: int | None = None  # number of the open stream that registered the server
        self.file_entry: FileEntry | None = None
        self.published: model.Endpoint | None = None  # the server's entry as last sent to ``Director``
        self.state = 0  # opaque state that the member has set


class Membership:
    """The servers of a fleet from all sources."""

    def __init__(self, settings: Settings, started_us: int):
        fleet = settings.fleet
        self.settings = settings
        self.group = Group(fleet.uid, fleet.group)
        self.describer = MemberDescriber(settings)
        self.servers: dict[Key, Server] = {}
        self.changed: set[Key] = set()  # servers that changed since the last update
        self.grace_ends_us: dict[Key, int] = {}  # end of the grace period of servers whose stream has ended
        self.version = 0  # version of the last update
        # Members that register without an age before this time count as started long ago. Otherwise all
        # servers would go through slow start again after each restart of a director.
        self.settled_us = started_us + max(fleet.member_grace, settings.director.settle)
        self.started_us = started_us
        self.newest_us = started_us  # when a server was last added
        self.from_cache = False  # whether a cached list was applied

    # Members' requests

    def check_group(self, group: Group) -> None:
        """Raise ``RejectedMemberError`` for any group other than the fleet's."""
        if group.uid != self.group.uid:
            raise RejectedMemberError(
                ReturnCode.UNKNOWN_LB, f"LB UID {group.uid!r}, expected {self.group.uid!r}"
            )
        if group.name != self.group.name:
            raise RejectedMemberError(
                ReturnCode.INVALID_GROUP, f"group {group.name!r}, expected {self.group.name!r}"
            )

    def register(self, stream: int, group: Group, members: tuple[Member, ...], now: int) -> None:
        """Register all members; if one is rejected, none is registered."""
        self.check_group(group)
        described = [(member.key(), self.describer.describe(member)) for member in members]
        new_servers = sum(key not in self.servers for key, _ in described)
        max_members = self.settings.fleet.members_most
        if len(self.servers) + new_servers > max_members:
            raise RejectedMemberError(
                ReturnCode.NOT_ACCEPTED, f"the limit of {max_members} members would be exceeded"
            )
        for key, _ in described:
            if key in self.servers and self.servers[key].owner == stream:
                raise RejectedMemberError(
                    ReturnCode.ALREADY_REGISTERED,
                    f"{format_address(key)} is already registered on this stream",
                )
        for key, description in described:
            self.register_server(stream, key, description, now)

    def register_server(self, stream: int, key: Key, description: Description, now: int) -> None:
        """Register a server that is new, restarted, or registered on an earlier stream.

        The newest stream that registers a server owns it: the previous one may be dead without this being
        detected.
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
        """Return when the process of a registering server started; 0: long ago."""
        if description.age_us is not None:
            return max(0, now - description.age_us)
        if was_registered:
            return now
        if server.file_entry is not None:
            return server.file_entry.started_us
        return 0 if now < self.settled_us else now

    def registered_server(self, stream: int, key: Key) -> Server:
        """Return a server that a stream has registered; ``RejectedMemberError`` for any other server."""
        server = self.servers.get(key)
        if server is None or server.owner != stream:
            raise RejectedMemberError(
                ReturnCode.NOT_REGISTERED, f"{format_address(key)} is not registered on this stream"
            )
        return server

    def deregister(self, stream: int, group: Group, members: tuple[Member, ...]) -> None:
        """Remove registrations without a grace period.

        If ``members`` is empty, the registrations of all servers of the stream are removed.
        """
        self.check_group(group)
        if members:
            leaving = [self.registered_server(stream, member.key()) for member in members]
        else:
            leaving = [server for server in self.servers.values() if server.owner == stream]
        for server in leaving:
            self.remove_registration(server)

    def set_state(self, stream: int, group: Group, states: tuple[MemberState, ...]) -> None:
        """Quiesce or resume servers of a stream; if one is rejected, none is changed."""
        self.check_group(group)
        changes = [(self.registered_server(stream, state.member.key()), state) for state in states]
        for server, state in changes:
            server.quiesced, server.state = state.quiesce, state.state
            self.changed.add(server.key)

    def remove_registration(self, server: Server) -> None:
        """Remove the registration of a server; the list file may still contain the server."""
        server.owner = server.description = None
        server.quiesced = False
        self.grace_ends_us.pop(server.key, None)
        self.changed.add(server.key)

    def stream_ended(self, stream: int, now: int) -> None:
        """Start the grace period of a stream's servers, in which another stream may register them."""
        for server in self.servers.values():
            if server.owner == stream:
                server.owner = None
                self.grace_ends_us[server.key] = now + self.settings.fleet.member_grace

    # The list file and the cached list

    def apply_list_file(self, entries: list[FileEntry]) -> None:
        """Replace the entries of the list file.

        A server that the file no longer contains is removed, unless it is registered.
        """
        by_key = {entry.key: entry for entry in entries}
        for key, server in self.servers.items():
            if server.file_entry is not None and key not in by_key:
                server.file_entry = None
                self.changed.add(key)
        for key, entry in by_key.items():
            self.servers.setdefault(key, Server(key)).file_entry = entry
            self.changed.add(key)

    def apply_cached_list(self, entries: list[FileEntry], now: int) -> None:
        """Add the servers of the cached list.

        ``expire`` removes those that do not register within the member grace plus the settle time.
        """
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
        """Return when to start ``Director``; None while there are no servers.

        ``Director`` derives its tables from the initial list. If it started with an empty list, or with the
        first few servers of a fleet that is still registering, its tables would never be those of the whole
        fleet.
        """
        if not self.servers:
            return None
        if self.from_cache:
            return self.started_us
        settle = self.settings.director.settle
        last = self.started_us + MAX_SETTLE_TIMES * settle
        return max(self.started_us + settle, min(self.newest_us + settle, last))

    def due_us(self) -> int | None:
        """Return when the next grace period ends; None if there is none."""
        return min(self.grace_ends_us.values(), default=None)

    def expire(self, now: int) -> list[Key]:
        """Remove and return the servers whose grace period has ended."""
        expired = [key for key, end_us in self.grace_ends_us.items() if end_us <= now]
        for key in expired:
            self.remove_registration(self.servers[key])
        return expired

    # Updates for ``Director``

    def endpoint(self, server: Server) -> model.Endpoint | None:
        """Return a server's entry in the endpoint list; None if no source lists it.

        Attributes in the list file take precedence over those of the registration.
        """
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
        """Return an update with all changes since the last update; None if there are none.

        Also discards the servers that are no longer listed.
        """
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
        """Return the entries last sent to ``Director``, without the entries of servers that are gone."""
        servers = [server for _, server in sorted(self.servers.items())]
        return tuple([server.published for server in servers if server.published is not None])

    def initial_update(self) -> model.EndpointUpdate:
        """Return the endpoint list that ``Director`` starts with."""
        self.next_update()
        return model.EndpointUpdate(model.UpdateKind.CACHED, self.published(), self.version)
