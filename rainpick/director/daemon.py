"""A director as a service: its frontends, its event loop and its signals."""

from __future__ import annotations

import os
import secrets
import signal
import socket
import sys
import threading
from collections.abc import Callable
from itertools import count
from typing import cast

import structlog

from rainpick.decisions.director import Director
from rainpick.director.context import wall_us
from rainpick.director.event_loop import EventLoop
from rainpick.director.list_files import read_cache, read_list
from rainpick.director.messages import (
    CachedListRead,
    ListFileRead,
    StopRequested,
    StreamEvent,
    StreamOpened,
    StreamReceived,
)
from rainpick.director.status_frontend import status_handler
from rainpick.http1.server import Server
from rainpick.mqtt.server import PacketReader
from rainpick.net.streams import INCOMPLETE_BYTES_MAX, Listener, Stream, StreamLimits
from rainpick.otlp.receiver import metrics_handler
from rainpick.sasp.session import DirectorSession
from rainpick.settings import Settings, SettingsError

Address = tuple[str, int]

THREAD_STACK_BYTES = 256 * 1024  # small, since each stream has a reading thread
SWITCH_INTERVAL_S = 0.001  # a longer one would delay the reading of a drain request while the loop is busy
LIST_FILE_POLL_S = 1.0
JOIN_TIMEOUT_S = 5.0
MAX_BACKLOG = 4096  # largest number of connections waiting to be accepted
MAX_STATUS_CONNECTIONS = 1_024
log = structlog.get_logger()


def modification_time_ns(path: str) -> int | None:
    """Return when a file was last modified; None if it cannot be read, such as while it is replaced."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return None


class Daemon:
    """One director; ``start`` opens its frontends.

    After that, ``sasp``, ``otlp``, ``status`` and ``mqtt`` are the addresses on which the frontends listen.
    ``mqtt`` is None if the settings have no MQTT frontend. ``director_factory`` creates the ``Director``;
    tests replace it.
    """

    sasp: Address
    otlp: Address
    status: Address
    mqtt: Address | None

    def __init__(self, settings: Settings, director_factory: Callable[[], Director] = Director):
        self.settings = settings
        seed = settings.director.seed or secrets.randbits(63)
        threading.stack_size(THREAD_STACK_BYTES)
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self.event_loop = EventLoop(settings, seed, director_factory)
        self.ended = threading.Event()
        self.event_loop.on_failure = self.ended.set
        self.list_file_mtime_ns: int | None = None  # modification time of the list file when last read
        self.stream_numbers = count(1)

    # Start

    def start(self) -> None:
        """Open the frontends and start the event loop.

        ``OSError`` if a frontend can't listen, ``SettingsError`` if the list file is invalid.
        """
        self.read_list_file(at_start=True)
        self.read_cached_list()
        self.status_front = self.listen_status()
        self.otlp_front = self.listen_otlp()
        self.sasp_front = self.listen_sasp()
        self.mqtt_front = self.listen_mqtt()
        self.status, self.otlp = self.status_front.address, self.otlp_front.address
        self.sasp = self.sasp_front.address
        self.mqtt = self.mqtt_front.address if self.mqtt_front is not None else None
        self.event_loop.thread.start()
        self.sasp_front.thread.start()
        if self.mqtt_front is not None:
            self.mqtt_front.thread.start()
        addresses = {"sasp": self.sasp, "otlp": self.otlp, "status": self.status}
        if self.mqtt is not None:
            addresses["mqtt"] = self.mqtt
        log.info("listening", **{name: f"{host}:{port}" for name, (host, port) in addresses.items()})

    def listen_status(self) -> Server:
        """Open the HTTP frontend for ``/status`` and the table actions."""
        handler = status_handler(self.event_loop.inbox)
        address = self.settings.listen.status
        return Server("status", address, handler, max_connections=MAX_STATUS_CONNECTIONS)

    def listen_otlp(self) -> Server:
        """Open the HTTP frontend for load reports."""
        otlp = self.settings.otlp
        handler = metrics_handler(self.event_loop.receive_report)
        address = self.settings.listen.otlp
        return Server("otlp", address, handler, otlp.body_most, otlp.connections_most, otlp.idle / 1e6)

    def listen_sasp(self) -> Listener:
        """Open the frontend for members and proxies over SASP."""
        frame_most = self.settings.sasp.frame_most
        accept_callback = self.make_accept_callback(lambda: DirectorSession(frame_most), frame_most)
        return Listener(self.settings.listen.sasp, self.backlog(), accept_callback)

    def listen_mqtt(self) -> Listener | None:
        """Open the frontend for proxies and observers over MQTT, if the settings enable it."""
        address = self.settings.listen.mqtt
        if address is None:
            return None
        packet_most = self.settings.mqtt.packet_most
        accept_callback = self.make_accept_callback(lambda: PacketReader(packet_most), packet_most)
        return Listener(address, self.backlog(), accept_callback)

    def backlog(self) -> int:
        """Return the number of connections that may wait to be accepted."""
        return min(MAX_BACKLOG, self.settings.sasp.streams_most)

    def make_accept_callback(
        self, make_parser: Callable[[], DirectorSession | PacketReader], max_message_bytes: int
    ) -> Callable[[socket.socket, str], None]:
        """Return a callback that passes an accepted socket to the event loop as a stream."""
        inbox = self.event_loop.inbox
        limits = StreamLimits(max(INCOMPLETE_BYTES_MAX, 2 * max_message_bytes))

        def on_event(stream: Stream, event: object) -> None:
            stream.flow.acquire()
            # The two parsers return no other events than ``StreamEvent``.
            inbox.post(StreamReceived(stream, cast(StreamEvent, event)))

        def on_accept(sock: socket.socket, peer: str) -> None:
            number = next(self.stream_numbers)
            inbox.post(StreamOpened(Stream(number, sock, peer, make_parser(), on_event, limits)))

        return on_accept

    # The endpoint list's files

    def read_cached_list(self) -> None:
        """Pass the list that an earlier incarnation cached to the event loop, if there is one."""
        path = self.settings.director.list_cache
        if not path:
            return
        entries = read_cache(path, self.settings, self.event_loop.clock(), wall_us())
        if entries:
            self.event_loop.inbox.post(CachedListRead(entries))

    def read_list_file(self, at_start: bool = False) -> None:
        """Read the list file and pass its entries to the event loop.

        At the start, an invalid file raises ``SettingsError``. Later, an invalid file is logged and rejected
        as a whole, and the entries read before stay in use.
        """
        path = self.settings.fleet.list_file
        if path is None:
            return
        try:
            self.list_file_mtime_ns = modification_time_ns(path)
            entries = read_list(path, self.settings, self.event_loop.clock())
            self.event_loop.inbox.post(ListFileRead(entries))
        except SettingsError as error:
            if at_start:
                raise
            log.error("list file refused", why=str(error).splitlines())

    def list_file_changed(self) -> bool:
        """Return whether the list file exists and was modified since it was last read."""
        path = self.settings.fleet.list_file
        modified_ns = modification_time_ns(path) if path else None
        return modified_ns is not None and modified_ns != self.list_file_mtime_ns

    # Run and stop

    def run(self) -> int:
        """Serve until SIGTERM, SIGINT or a failure of the event loop; return the exit code.

        The list file is read again on SIGHUP and when it was modified.
        """
        signal.signal(signal.SIGTERM, lambda *_: self.ended.set())
        signal.signal(signal.SIGINT, lambda *_: self.ended.set())
        reload = threading.Event()
        signal.signal(signal.SIGHUP, lambda *_: reload.set())
        while not self.ended.wait(LIST_FILE_POLL_S if not reload.is_set() else 0):
            changed = self.list_file_changed()
            if reload.is_set() or changed:
                reload.clear()
                self.read_list_file()
        self.stop()
        return 1 if self.event_loop.failure else 0

    def stop(self) -> None:
        """Close all frontends and end the event loop; proxies keep their tables."""
        self.sasp_front.close()
        if self.mqtt_front is not None:
            self.mqtt_front.close()
        self.otlp_front.close()
        self.status_front.close()
        if self.event_loop.thread.is_alive():
            self.event_loop.inbox.post(StopRequested())
            self.event_loop.thread.join(JOIN_TIMEOUT_S)
        log.info("stopped")
