"""The list file of the operators and the list that a director keeps over its restarts."""

from __future__ import annotations

import contextlib
import json
import os
import threading
from pathlib import Path
from queue import SimpleQueue
from typing import Literal

import json5
import structlog
from pydantic import Field

from rainpick import model
from rainpick.director.membership import Filed
from rainpick.settings import Settings, SettingsError, load
from rainpick.settings.model import Part
from rainpick.settings.units import Address, Duration

log = structlog.get_logger()
FORMAT = 1


class ListedServer(Part):
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


def read_list(path: str, settings: Settings, now: int) -> list[Filed]:
    """The whole file or, if anything in it is wrong, ``SettingsError``."""
    found, seen = [], set()
    for at, server in enumerate(load(path, ListFile).servers):
        for what, name, names in (
            ("zone", server.zone, settings.zones),
            ("machine", server.machine, settings.machines),
        ):
            if name is not None and name not in names:
                raise SettingsError(f"{path}: servers.{at}.{what}: {name!r} is not one of {list(names)}")
        if server.weight > settings.fleet.weight_most:
            raise SettingsError(
                f"{path}: servers.{at}.weight: {server.weight} is over fleet.weight_most "
                f"{settings.fleet.weight_most}"
            )
        key = (server.address.host, server.address.port)
        if key in seen:
            raise SettingsError(f"{path}: servers.{at}.address: {server.address} is named twice")
        seen.add(key)
        machine = settings.machines.index(server.machine) if server.machine is not None else 0
        started_us = max(0, now - server.age) if server.age is not None else 0
        found.append(
            Filed(
                key,
                server.weight,
                settings.zone_of(server.zone),
                machine,
                server.pod,
                started_us,
                server.state == "draining",
            )
        )
    return found


def read_cache(path: str, settings: Settings, now: int, wall_us: int) -> list[Filed] | None:
    """The list of an earlier life; None if there is none that can be used."""
    try:
        raw = json5.loads(Path(path).read_text()) if os.path.exists(path) else None
        if raw is None:
            return None
        if raw["format"] != FORMAT:
            raise ValueError(f"format {raw['format']!r}")
        found = []
        for host, port, weight, zone, machine, pod, started, draining in raw["servers"]:
            if zone not in settings.zones or machine not in settings.machines:
                raise ValueError(f"zone {zone!r} or machine {machine!r} is not known any more")
            started_us = max(0, now - (wall_us - started)) if started else 0
            found.append(
                Filed(
                    (str(host), int(port)),
                    float(weight),
                    settings.zones.index(zone),
                    settings.machines.index(machine),
                    int(pod),
                    started_us,
                    bool(draining),
                )
            )
        return found
    except (OSError, ValueError, KeyError, TypeError) as flaw:
        log.warning("the cached list is not used", file=path, why=f"{type(flaw).__name__}: {flaw}")
        return None


class ListCache:
    """Writes the list to a file, newest only, without holding up the core. Never half a file."""

    def __init__(self, path: str, settings: Settings):
        self.path, self.settings = path, settings
        self.queue: SimpleQueue[tuple | None] = SimpleQueue()
        self.thread = threading.Thread(target=self.run, name="list-cache", daemon=True)
        self.thread.start()

    def keep(self, servers: tuple[model.Endpoint, ...], now: int, wall_us: int) -> None:
        self.queue.put((servers, now, wall_us))

    def run(self) -> None:
        while (item := self.queue.get()) is not None:
            while not self.queue.empty():
                newer = self.queue.get()
                if newer is None:
                    self.write(*item)
                    return
                item = newer
            self.write(*item)

    def write(self, servers: tuple[model.Endpoint, ...], now: int, wall_us: int) -> None:
        names = self.settings
        rows = [
            [
                *one.address,
                one.weight,
                names.zones[one.zone],
                names.machines[one.machine_type],
                one.pod,
                wall_us - (now - one.started_us) if one.started_us else 0,
                one.state == model.EndpointState.DRAINING,
            ]
            for one in servers
        ]
        fresh = f"{self.path}.new"
        try:
            with open(fresh, "w") as file:
                json.dump({"format": FORMAT, "servers": rows}, file)
                file.flush()
                os.fsync(file.fileno())
            os.replace(fresh, self.path)
        except OSError as flaw:
            log.warning("the list could not be kept", file=self.path, why=str(flaw))
            with contextlib.suppress(OSError):
                os.unlink(fresh)

    def close(self) -> None:
        self.queue.put(None)
        self.thread.join(2)
