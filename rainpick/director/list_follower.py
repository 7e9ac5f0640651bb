"""Starts ``Director`` once there is an endpoint list, and passes the changes of the list to it."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import cast

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.director.addresses import Key, format_address
from rainpick.director.context import Context, wall_us
from rainpick.director.engine import Engine
from rainpick.director.list_files import ListCache
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
    """Creates the engine with the list from ``Membership``, and passes later changes of the list to it.

    Together with the engine it creates the pins, and the recorder if the settings name a record folder.
    ``director_factory`` creates the ``Director``.
    """

    def __init__(
        self,
        context: Context,
        membership: Membership,
        sessions: Sessions,
        seed: int,
        director_factory: Callable[[], Director],
    ):
        self.context = context
        self.settings = context.settings
        self.membership = membership
        self.sessions = sessions
        self.seed = seed
        self.director_factory = director_factory
        path = self.settings.director.list_cache
        self.cache = ListCache(path, self.settings) if path else None
        self.pins: TablePins | None = None
        self.recorder: Recorder | None = None

    # Lists from files

    def list_file_read(self, entries: list[FileEntry]) -> None:
        """Apply the servers of the operators' list file, which was read for the first time or again."""
        self.membership.apply_list_file(entries)
        self.context.log.info("list file read", servers=len(entries))

    def cached_list_read(self, entries: list[FileEntry]) -> None:
        """Apply the list that an earlier incarnation of this director cached."""
        self.membership.apply_cached_list(entries, self.context.clock())
        self.context.log.info("starting from the cached list", servers=len(entries))

    # The clock

    def due_us(self) -> int | None:
        """Return when ``advance`` must be called next if no further event arrives; None if never."""
        start_us = self.membership.start_due_us() if self.context.engine is None else None
        times = [time_us for time_us in (start_us, self.membership.due_us()) if time_us is not None]
        return min(times, default=None)

    def advance(self, now: int) -> None:
        """Remove servers whose grace period has ended.

        Then start ``Director`` if it has not started and is due, or pass the changes of the list to it.
        """
        for key in self.membership.expire(now):
            self.context.log.info(
                "server gone",
                server=format_address(key),
                why="its stream has ended and the grace period is over",
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
            self.update_pinned_tables(update)
            self.cache_list(now)

    def update_pinned_tables(self, update: model.EndpointUpdate) -> None:
        """Publish the pinned tables again that have servers of an update of the list.

        ``Director`` gives no command about a pinned table if its own version of the table lacks the server.
        """
        if self.pins is None:
            return
        for table in self.pins.tables_with({cast(Key, entry.address) for entry in update.endpoints}):
            self.context.started_engine.table_changed(table)

    def start(self, now: int) -> None:
        """Start ``Director`` with the current list, and join the registered proxies."""
        engine = self.context.engine = Engine(self.settings, self.seed, now, self.director_factory)
        if self.settings.record.folder is not None:
            self.recorder = self.start_recorder(self.settings.record.folder, now)
            engine.stepper.on_step = self.recorder.step
        self.pins = TablePins(self.is_listed, self.is_closed, self.is_warm)
        engine.tables.lines_to_publish = self.pins.lines_to_publish
        update = self.membership.initial_update()
        engine.update_endpoints(update)
        self.context.log.info(
            "decisions begin", servers=len(update.endpoints), proxies=len(self.sessions.by_uid)
        )
        self.sessions.join_registered()
        self.cache_list(now)

    def start_recorder(self, folder: str, now: int) -> Recorder:
        """Create the recorder of all events and commands of ``Director``, from its first step on."""
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
        """Write the pending data of the cache and of the recorder."""
        if self.cache is not None:
            self.cache.close()
        if self.recorder is not None:
            self.recorder.close()

    def cache_list(self, now: int) -> None:
        """Queue the list to be written to the cache file, if the settings name one."""
        if self.cache is not None:
            self.cache.enqueue(self.membership.published(), now, wall_us())

    # Callbacks of the pins

    def is_listed(self, server: Key) -> bool:
        """Return whether a server is in the endpoint list that ``Director`` has received."""
        entry = self.context.started_engine.listed.get(server)
        return entry is not None and entry.state != model.EndpointState.GONE

    def is_closed(self, server: Key) -> bool:
        """Return whether a listed server is closed to new requests: it drains or is withdrawn.

        A server that drains need not be withdrawn: it may have been removed from its tables instead.
        """
        engine = self.context.started_engine
        is_draining = engine.listed[server].state == model.EndpointState.DRAINING
        return is_draining or server in engine.tables.withdrawn

    def is_warm(self, server: Key) -> bool:
        """Return whether a listed server has been running for at least ``rules.warm_after``."""
        started_us = self.context.started_engine.listed[server].started_us
        return not started_us or self.context.clock() - started_us >= self.settings.rules.warm_after
