"""Hands the endpoint list on to the decisions, and starts them when there is a list to start with."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import cast

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.director.addresses import Key, format_address
from rainpick.director.context import Context, wall_us
from rainpick.director.engine import Engine
from rainpick.director.listing import ListCache
from rainpick.director.membership import FileEntry, Membership
from rainpick.director.sessions import Sessions
from rainpick.publish.pins import TablePins
from rainpick.record.digest import decisions_digest
from rainpick.record.recorder import Recorder
from rainpick.record.steps import Incarnation

MAX_CHANGES_LOGGED = 20
STATE_NAMES: dict[int, str] = {
    model.EndpointState.GONE: "gone",
    model.EndpointState.READY: "ready",
    model.EndpointState.DRAINING: "draining",
}


class ListFollower:
    """Follows ``Membership``. Owns what starts with the decisions: the engine, the pins, the recorder."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        sessions: Sessions,
        seed: int,
        module: Callable[[], Director],
    ):
        self.context = context
        self.settings = context.settings
        self.membership = membership
        self.sessions = sessions
        self.seed = seed
        self.module = module
        path = self.settings.director.list_cache
        self.cache = ListCache(path, self.settings) if path else None
        self.pins: TablePins | None = None
        self.recorder: Recorder | None = None

    # Lists from files

    def list_file_read(self, entries: list[FileEntry]) -> None:
        """The operators' list file has been read, for the first time or anew."""
        self.membership.apply_list_file(entries)
        self.context.log.info("list file read", servers=len(entries))

    def cached_list_read(self, entries: list[FileEntry]) -> None:
        """An earlier incarnation left a cached list."""
        self.membership.apply_cached_list(entries, self.context.clock())
        self.context.log.info("starting from the cached list", servers=len(entries))

    # The clock

    def due_us(self) -> int | None:
        """When ``advance`` is next wanted, if nothing happens before."""
        start_us = self.membership.start_due_us() if self.context.engine is None else None
        times = [time_us for time_us in (start_us, self.membership.due_us()) if time_us is not None]
        return min(times, default=None)

    def advance(self, now: int) -> None:
        """Remove servers whose grace has passed; start the decisions, or tell them what has changed."""
        for key in self.membership.expire(now):
            self.context.log.info(
                "server gone", server=format_address(key), why="its stream broke, the grace passed"
            )
        if self.context.engine is None:
            start_us = self.membership.start_due_us()
            if start_us is not None and now >= start_us:
                self.start(now)
            return
        update = self.membership.next_update()
        if update is not None:
            for entry in update.endpoints[:MAX_CHANGES_LOGGED]:
                state = STATE_NAMES[entry.state]
                self.context.log.info("list", server=format_address(cast(Key, entry.address)), state=state)
            self.context.engine.update_endpoints(update)
            self.cache_list(now)

    def start(self, now: int) -> None:
        """Start the decisions with the list as it is now; join the proxies that are here already."""
        engine = self.context.engine = Engine(self.settings, self.seed, now, self.module)
        if self.settings.record.folder is not None:
            self.recorder = self.start_recorder(self.settings.record.folder, now)
            engine.stepper.on_step = self.recorder.step
        self.pins = TablePins(self.is_listed, engine.tables.withdrawn.__contains__, self.is_warm)
        engine.tables.overlay = self.pins.overlay
        update = self.membership.initial_update()
        engine.update_endpoints(update)
        self.context.log.info(
            "decisions begin", servers=len(update.endpoints), proxies=len(self.sessions.by_uid)
        )
        self.sessions.join_registered()
        self.cache_list(now)

    def start_recorder(self, folder: str, now: int) -> Recorder:
        """Record what the decisions receive and order, from their first step on."""
        settings = self.settings.record
        incarnation = Incarnation(
            self.settings.director.number,
            self.context.epoch,
            decisions_digest(),
            wall_us(),
            now,
            self.settings.model_dump(mode="json"),
        )
        return Recorder(
            Path(folder),
            incarnation,
            settings.segment_most,
            settings.keep_most,
            settings.keep,
            settings.sync,
        )

    def close(self) -> None:
        """Write what the cache and the recorder still have to write."""
        if self.cache is not None:
            self.cache.close()
        if self.recorder is not None:
            self.recorder.close()

    def cache_list(self, now: int) -> None:
        """Hand the list to the cache, if there is one."""
        if self.cache is not None:
            self.cache.keep(self.membership.published(), now, wall_us())

    # What pins ask

    def is_listed(self, server: Key) -> bool:
        """Whether a server is in the list as the decisions know it."""
        entry = self.context.started_engine.listed.get(server)
        return entry is not None and entry.state != model.EndpointState.GONE

    def is_warm(self, server: Key) -> bool:
        """Whether a listed server has been running for ``rules.warm_after``."""
        started_us = self.context.started_engine.listed[server].started_us
        return not started_us or self.context.clock() - started_us >= self.settings.rules.warm_after
