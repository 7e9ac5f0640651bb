"""The endpoint list in files: the operators' list file, and the cache that a restarted director reads."""

from __future__ import annotations

import contextlib
import json
import os
import sys
import threading
from pathlib import Path
from queue import SimpleQueue
from typing import Any, Literal, NamedTuple, cast

import json5
import structlog
from pydantic import Field

from rainpick import model
from rainpick.director.addresses import Key
from rainpick.director.member_labels import MAX_POD
from rainpick.director.membership import FileEntry
from rainpick.settings import Settings, SettingsError, load
from rainpick.settings.part import Part
from rainpick.settings.units import Address, Duration

log = structlog.get_logger()
CACHE_FORMAT = 1
CLOSE_TIMEOUT_S = 2.0
MAX_PORT = 65_535


# The list file


class ListedServer(Part):
    """A server in the list file. ``zone`` and ``machine`` are names from the settings."""

    address: Address
    weight: float = Field(1.0, gt=0)
    zone: str | None = None
    machine: str | None = None
    pod: int = Field(0, ge=0, le=MAX_POD)
    state: Literal["ready", "draining"] = "ready"
    age: Duration | None = Field(None, description="since its start; long ago if absent")


class ListFile(Part):
    """The operators' list of servers, used in addition to the servers that register themselves."""

    servers: tuple[ListedServer, ...] = Field(max_length=60_000)


def read_list(path: str, settings: Settings, now: int) -> list[FileEntry]:
    """Read a list file; ``SettingsError`` if any part of it is invalid."""
    entries: list[FileEntry] = []
    keys: set[Key] = set()
    for index, server in enumerate(load(path, ListFile).servers):
        check_server(f"{path}: servers.{index}", server, settings)
        entry = file_entry(server, settings, now)
        if entry.key in keys:
            raise SettingsError(f"{path}: servers.{index}.address: {server.address} is named twice")
        keys.add(entry.key)
        entries.append(entry)
    return entries


def check_server(location: str, server: ListedServer, settings: Settings) -> None:
    """Raise ``SettingsError`` if the zone or machine type is unknown or the weight too large."""
    for kind, name, names in (
        ("zone", server.zone, settings.zones),
        ("machine", server.machine, settings.machines),
    ):
        if name is not None and name not in names:
            raise SettingsError(f"{location}.{kind}: {name!r} is not one of {list(names)}")
    max_weight = settings.fleet.weight_most
    if server.weight > max_weight:
        raise SettingsError(f"{location}.weight: {server.weight} is over fleet.weight_most {max_weight}")


def file_entry(server: ListedServer, settings: Settings, now: int) -> FileEntry:
    """Convert a valid server of the list file: indexes replace names, a start time replaces the age."""
    return FileEntry(
        (server.address.host, server.address.port),
        server.weight,
        settings.zone_index(server.zone),
        settings.machines.index(server.machine) if server.machine is not None else 0,
        server.pod,
        max(0, now - server.age) if server.age is not None else 0,
        server.state == "draining",
    )


# The cache


def read_cache(path: str, settings: Settings, now: int, wall_us: int) -> list[FileEntry] | None:
    """Return the list that an earlier incarnation cached; None if there is no usable file.

    ``now`` and ``wall_us`` are the current time by the director's clock and by the wall clock, in
    microseconds.
    """
    try:
        if not os.path.exists(path):
            return None
        document = json5.loads(Path(path).read_text())
        if document is None:
            return None
        if document["format"] != CACHE_FORMAT:
            raise ValueError(f"format {document['format']!r}")
        return [cached_entry(row, settings, wall_us - now) for row in document["servers"]]
    except (OSError, ValueError, KeyError, TypeError, OverflowError, RecursionError) as error:
        log.warning("the cached list is not used", file=path, why=f"{type(error).__name__}: {error}")
        return None


def cached_entry(row: list[Any], settings: Settings, offset_us: int) -> FileEntry:
    """Convert a row of the cache; ``ValueError`` or ``TypeError`` if it is invalid.

    ``offset_us``: how far the wall clock is ahead of the director's clock, in microseconds.
    """
    host, port, weight, zone, machine, pod, started_us, draining = row
    if zone not in settings.zones or machine not in settings.machines:
        raise ValueError(f"zone {zone!r} or machine {machine!r} is not known any more")
    if not 0 < weight <= sys.float_info.max:
        raise ValueError(f"weight {weight!r} is not a finite number above 0")
    if not 0 <= port <= MAX_PORT or not 0 <= pod <= MAX_POD:
        raise ValueError(f"port {port!r} or pod {pod!r} is out of range")
    return FileEntry(
        (str(host), int(port)),
        float(weight),
        settings.zones.index(zone),
        settings.machines.index(machine),
        int(pod),
        max(0, int(started_us) - offset_us) if started_us else 0,
        bool(draining),
    )


class CachedList(NamedTuple):
    """A list to write to the cache file.

    ``now`` and ``wall_us`` are the time at which it was queued, in microseconds, by the director's clock and
    by the wall clock.
    """

    servers: tuple[model.Endpoint, ...]
    now: int
    wall_us: int


class ListCache:
    """Writes the newest list to a file in its own thread, so that the event loop never blocks on a disk.

    The file is replaced atomically: if the director is killed, the file contains the old or the new list,
    never part of a list.
    """

    def __init__(self, path: str, settings: Settings):
        self.path = path
        self.settings = settings
        self.queue: SimpleQueue[CachedList | None] = SimpleQueue()  # None ends the thread
        self.thread = threading.Thread(target=self.run, name="list-cache", daemon=True)
        self.thread.start()

    def enqueue(self, servers: tuple[model.Endpoint, ...], now: int, wall_us: int) -> None:
        """Queue a list to be written; it is skipped if a newer list is queued before it is written."""
        self.queue.put(CachedList(servers, now, wall_us))

    def run(self) -> None:
        """Write the newest queued list whenever one is queued, until ``close``. Runs in ``thread``."""
        while (newest := self.queue.get()) is not None:
            while not self.queue.empty():
                newer = self.queue.get()
                if newer is None:
                    self.write(*newest)
                    return
                newest = newer
            self.write(*newest)

    def write(self, servers: tuple[model.Endpoint, ...], now: int, wall_us: int) -> None:
        """Replace the file; a failure is logged and leaves the previous file in place."""
        rows = [self.row(server, wall_us - now) for server in servers]
        temporary = f"{self.path}.new"
        try:
            with open(temporary, "w") as file:
                json.dump({"format": CACHE_FORMAT, "servers": rows}, file)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, self.path)
        except OSError as error:
            log.warning("the list could not be cached", file=self.path, why=str(error))
            with contextlib.suppress(OSError):
                os.unlink(temporary)

    def row(self, server: model.Endpoint, offset_us: int) -> list[Any]:
        """Convert a server to a row: names replace indexes, the start is by the wall clock (0: long ago)."""
        host, port = cast(Key, server.address)
        return [
            host,
            port,
            server.weight,
            self.settings.zones[server.zone],
            self.settings.machines[server.machine_type],
            server.pod,
            server.started_us + offset_us if server.started_us else 0,
            server.state == model.EndpointState.DRAINING,
        ]

    def close(self) -> None:
        """Write the newest queued list and end the thread; waits for at most ``CLOSE_TIMEOUT_S``."""
        self.queue.put(None)
        self.thread.join(CLOSE_TIMEOUT_S)
