"""A director as a service: its frontends, its event loop, its signals."""

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
from rainpick.director.core import Core
from rainpick.director.listing import read_cache, read_list
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
from rainpick.mqtt.session import PacketReader
from rainpick.net.streams import Listener, Stream
from rainpick.otlp.receiver import receiver
from rainpick.sasp.session import DirectorEnd
from rainpick.settings import Settings, SettingsError

Address = tuple[str, int]

THREAD_STACK_BYTES = 256 * 1024  # each stream has a reading thread
SWITCH_INTERVAL_S = 0.001  # a drain that comes in while the core works must not wait longer for its reader
LIST_FILE_POLL_S = 1.0
JOIN_TIMEOUT_S = 5.0
MAX_BACKLOG = 4096  # connections that wait to be accepted
MAX_STATUS_CONNECTIONS = 64
log = structlog.get_logger()


class Daemon:
    """One director. ``start`` opens its frontends.

    ``sasp``, ``otlp``, ``status`` and ``mqtt`` then say where they listen; ``mqtt`` is None without that one.
    """

    sasp: Address
    otlp: Address
    status: Address
    mqtt: Address | None

    def __init__(self, settings: Settings, module: Callable[[], Director] = Director):
        self.settings = settings
        seed = settings.director.seed or secrets.randbits(63)
        threading.stack_size(THREAD_STACK_BYTES)
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self.core = Core(settings, seed, module)
        self.ended = threading.Event()
        self.core.on_failure = self.ended.set
        self.list_file_mtime_ns: int | None = None  # of the list file when it was last read
        self.stream_numbers = count(1)

    # Start

    def start(self) -> None:
        """``OSError`` if a frontend can't listen, ``SettingsError`` if the list file can't be used."""
        self.read_list_file(first=True)
        self.read_cached_list()
        self.status_front = self.listen_status()
        self.otlp_front = self.listen_otlp()
        self.sasp_front = self.listen_sasp()
        self.mqtt_front = self.listen_mqtt()
        self.status, self.otlp = self.status_front.address, self.otlp_front.address
        self.sasp = self.sasp_front.address
        self.mqtt = self.mqtt_front.address if self.mqtt_front is not None else None
        self.core.thread.start()
        self.sasp_front.thread.start()
        if self.mqtt_front is not None:
            self.mqtt_front.thread.start()
        addresses = {"sasp": self.sasp, "otlp": self.otlp, "status": self.status}
        if self.mqtt is not None:
            addresses["mqtt"] = self.mqtt
        log.info("listening", **{name: f"{host}:{port}" for name, (host, port) in addresses.items()})

    def listen_status(self) -> Server:
        """The HTTP frontend of ``/status``."""
        handler = status_handler(self.core.inbox)
        address = self.settings.listen.status
        return Server("status", address, handler, connections_most=MAX_STATUS_CONNECTIONS)

    def listen_otlp(self) -> Server:
        """The HTTP frontend of load reports."""
        otlp = self.settings.otlp
        handler = receiver(self.core.receive_report)
        address = self.settings.listen.otlp
        return Server("otlp", address, handler, otlp.body_most, otlp.connections_most, otlp.idle / 1e6)

    def listen_sasp(self) -> Listener:
        """The frontend of members and proxies over SASP."""
        frame_most = self.settings.sasp.frame_most
        opener = self.stream_opener(lambda: DirectorEnd(frame_most))
        return Listener(self.settings.listen.sasp, self.backlog(), opener)

    def listen_mqtt(self) -> Listener | None:
        """The frontend of proxies and observers over MQTT, if the settings want one."""
        address = self.settings.listen.mqtt
        if address is None:
            return None
        packet_most = self.settings.mqtt.packet_most
        return Listener(address, self.backlog(), self.stream_opener(lambda: PacketReader(packet_most)))

    def backlog(self) -> int:
        """How many connections may wait to be accepted."""
        return min(MAX_BACKLOG, self.settings.sasp.streams_most)

    def stream_opener(
        self, make_end: Callable[[], DirectorEnd | PacketReader]
    ) -> Callable[[socket.socket, str], None]:
        """What a listener does with an accepted socket: hand it to the event loop as a stream."""
        inbox = self.core.inbox

        def deliver(stream: Stream, event: object) -> None:
            inbox.post(StreamReceived(stream, cast(StreamEvent, event)))  # what the ends of both give

        def opened(sock: socket.socket, peer: str) -> None:
            inbox.post(StreamOpened(Stream(next(self.stream_numbers), sock, peer, make_end(), deliver)))

        return opened

    # The endpoint list's files

    def read_cached_list(self) -> None:
        """Hand the event loop the list that an earlier incarnation cached, if there is one."""
        path = self.settings.director.list_cache
        if not path:
            return
        entries = read_cache(path, self.settings, self.core.clock(), wall_us())
        if entries:
            self.core.inbox.post(CachedListRead(entries))

    def read_list_file(self, first: bool = False) -> None:
        """A bad file is rejected as a whole: what was read before stays. At the start it ends the start."""
        path = self.settings.fleet.list_file
        if path is None:
            return
        try:
            self.list_file_mtime_ns = os.stat(path).st_mtime_ns if os.path.exists(path) else None
            entries = read_list(path, self.settings, self.core.clock())
            self.core.inbox.post(ListFileRead(entries))
        except SettingsError as error:
            if first:
                raise
            log.error("list file refused", why=str(error).splitlines())

    def list_file_changed(self) -> bool:
        """Whether the list file is there and not the one that was read last."""
        path = self.settings.fleet.list_file
        if not path or not os.path.exists(path):
            return False
        return os.stat(path).st_mtime_ns != self.list_file_mtime_ns

    # Run and stop

    def run(self) -> int:
        """Serve until a signal or a failure; the exit code."""
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
        return 1 if self.core.failure else 0

    def stop(self) -> None:
        """Close every frontend and end the event loop; what proxies hold stays with them."""
        self.sasp_front.close()
        if self.mqtt_front is not None:
            self.mqtt_front.close()
        self.otlp_front.close()
        self.status_front.close()
        if self.core.thread.is_alive():
            self.core.inbox.post(StopRequested())
            self.core.thread.join(JOIN_TIMEOUT_S)
        log.info("stopped")
