"""The endpoint list in files: the operators' list file, and the cache that a director keeps over restarts."""

from __future__ import annotations

import contextlib
import json
import os
import threading
from pathlib import Path
from queue import SimpleQueue
from typing import Any, Literal, NamedTuple, cast

import json5
import structlog
from pydantic import Field

from rainpick import model
from rainpick.director.addresses import Key
from rainpick.director.membership import FileEntry
from rainpick.settings import Settings, SettingsError, load
from rainpick.settings.part import Part
from rainpick.settings.units import Address, Duration

log = structlog.get_logger()
FORMAT = 1  # of the cache
CLOSE_TIMEOUT_S = 2.0


# The list file


class ListedServer(Part):
    """A server of the list file. ``zone`` and ``machine`` are names of the settings."""

    address: Address
    weight: float = Field(1.0, gt=0)
    zone: str | None = None
    machine: str | None = None
    pod: int = Field(0, ge=0, le=65_535)
    state: Literal["ready", "draining"] = "ready"
    age: Duration | None = Field(None, description="since its start; long ago if absent")


class ListFile(Part):
    """The operators' list of servers, a second source beside what registers itself."""

    servers: tuple[ListedServer, ...] = Field(max_length=60_000)


def read_list(path: str, settings: Settings, now: int) -> list[FileEntry]:
    """The whole file or, if anything in it is wrong, ``SettingsError``."""
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
    """``SettingsError`` if the settings know a name not, or allow no such weight."""
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
    """A checked server with indexes in place of names and a start time in place of an age."""
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
    """The list that an earlier incarnation cached; None if there is none that can be used.

    ``now`` and ``wall_us`` are the same moment by the director's clock and by the wall's, in microseconds.
    """
    try:
        if not os.path.exists(path):
            return None
        document = json5.loads(Path(path).read_text())
        if document is None:
            return None
        if document["format"] != FORMAT:
            raise ValueError(f"format {document['format']!r}")
        return [cached_entry(row, settings, wall_us - now) for row in document["servers"]]
    except (OSError, ValueError, KeyError, TypeError) as error:
        log.warning("the cached list is not used", file=path, why=f"{type(error).__name__}: {error}")
        return None


def cached_entry(row: list[Any], settings: Settings, offset_us: int) -> FileEntry:
    """A row of the cache; ``ValueError`` or ``TypeError`` if it makes no sense.

    ``offset_us``: how far the wall clock is ahead of the director's.
    """
    host, port, weight, zone, machine, pod, started, draining = row
    if zone not in settings.zones or machine not in settings.machines:
        raise ValueError(f"zone {zone!r} or machine {machine!r} is not known any more")
    return FileEntry(
        (str(host), int(port)),
        float(weight),
        settings.zones.index(zone),
        settings.machines.index(machine),
        int(pod),
        max(0, started - offset_us) if started else 0,
        bool(draining),
    )


class CachedList(NamedTuple):
    """What is to be written, and the same moment by the director's clock and by the wall's."""

    servers: tuple[model.Endpoint, ...]
    now: int
    wall_us: int


class ListCache:
    """Writes the newest list to a file in a thread of its own, so that the event loop never waits for a disk.

    The file is replaced as a whole: a director that is killed leaves the old or the new list, never a part.
    """

    def __init__(self, path: str, settings: Settings):
        self.path = path
        self.settings = settings
        self.queue: SimpleQueue[CachedList | None] = SimpleQueue()  # None: no more come
        self.thread = threading.Thread(target=self.run, name="list-cache", daemon=True)
        self.thread.start()

    def keep(self, servers: tuple[model.Endpoint, ...], now: int, wall_us: int) -> None:
        """Have a list written, unless a newer one comes before its turn."""
        self.queue.put(CachedList(servers, now, wall_us))

    def run(self) -> None:
        """The thread: write the newest list that waits, until ``close``."""
        while (newest := self.queue.get()) is not None:
            while not self.queue.empty():
                newer = self.queue.get()
                if newer is None:
                    self.write(*newest)
                    return
                newest = newer
            self.write(*newest)

    def write(self, servers: tuple[model.Endpoint, ...], now: int, wall_us: int) -> None:
        """Replace the file; a failure is logged, and the file before stays."""
        rows = [self.row(server, wall_us - now) for server in servers]
        temporary = f"{self.path}.new"
        try:
            with open(temporary, "w") as file:
                json.dump({"format": FORMAT, "servers": rows}, file)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, self.path)
        except OSError as error:
            log.warning("the list could not be cached", file=self.path, why=str(error))
            with contextlib.suppress(OSError):
                os.unlink(temporary)

    def row(self, server: model.Endpoint, offset_us: int) -> list[Any]:
        """A server with names in place of indexes, and its start by the wall clock (0: long ago)."""
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
        """Write what waits, and end the thread."""
        self.queue.put(None)
        self.thread.join(CLOSE_TIMEOUT_S)
