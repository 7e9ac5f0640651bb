"""A director as a service: its fronts, its core, its signals."""

from __future__ import annotations

import os
import secrets
import signal
import socket
import sys
import threading
import time
from collections.abc import Callable
from itertools import count

import structlog

from rainpick.decisions.director import Director
from rainpick.director.core import Core
from rainpick.director.listing import read_cache, read_list
from rainpick.director.status import handler
from rainpick.http1.server import Server
from rainpick.mqtt.session import PacketReader
from rainpick.net.streams import Listener, Stream
from rainpick.otlp.receiver import receiver
from rainpick.sasp.session import DirectorEnd
from rainpick.settings import Settings, SettingsError

STACK = 256 * 1024
SWITCH_S = 0.001  # a drain that comes in while the core works must not wait longer for its reading thread
LOOK_S = 1.0  # how often the list file is looked at
log = structlog.get_logger()


class Daemon:
    """One director. ``start`` opens its fronts; ``sasp``, ``otlp`` and ``status`` say where they listen."""

    def __init__(self, settings: Settings, module: Callable[[], Director] = Director):
        self.settings = settings
        seed = settings.director.seed or secrets.randbits(63)
        threading.stack_size(STACK)
        sys.setswitchinterval(SWITCH_S)
        self.core = Core(settings, seed, module)
        self.ended, self.seen = threading.Event(), None
        self.core.on_failure = self.ended.set

    def start(self) -> None:
        """``OSError`` if a front can't listen, ``SettingsError`` if the list file can't be used."""
        settings, core = self.settings, self.core
        self.read_list_file(first=True)
        if settings.director.list_cache:
            kept = read_cache(settings.director.list_cache, settings, core.clock(), time.time_ns() // 1000)
            if kept:
                core.put("remembered", kept)
        self.status_front = Server("status", settings.listen.status, handler(core), connections_most=64)
        otlp = settings.otlp
        self.otlp_front = Server(
            "otlp",
            settings.listen.otlp,
            receiver(core.report),
            otlp.body_most,
            otlp.connections_most,
            otlp.idle / 1e6,
        )
        numbers = count(1)

        def opener(end: Callable[[], DirectorEnd | PacketReader]) -> Callable[[socket.socket, str], None]:
            def opened(sock: socket.socket, peer: str) -> None:
                core.put(
                    "opened",
                    Stream(
                        next(numbers),
                        sock,
                        peer,
                        end(),
                        lambda stream, found: core.put("came", stream, found),
                    ),
                )

            return opened

        backlog = min(4096, settings.sasp.streams_most)
        self.sasp_front = Listener(
            settings.listen.sasp, backlog, opener(lambda: DirectorEnd(settings.sasp.frame_most))
        )
        self.mqtt_front = self.mqtt = None
        if settings.listen.mqtt is not None:
            self.mqtt_front = Listener(
                settings.listen.mqtt, backlog, opener(lambda: PacketReader(settings.mqtt.packet_most))
            )
            self.mqtt = self.mqtt_front.address
        self.sasp, self.otlp = self.sasp_front.address, self.otlp_front.address
        self.status = self.status_front.address
        core.thread.start()
        self.sasp_front.thread.start()
        places = {"sasp": self.sasp, "otlp": self.otlp, "status": self.status}
        if self.mqtt_front is not None:
            self.mqtt_front.thread.start()
            places["mqtt"] = self.mqtt
        log.info("listening", **{front: f"{host}:{port}" for front, (host, port) in places.items()})

    def read_list_file(self, first: bool = False) -> None:
        """A bad file is refused whole: what was read before stays. At the start it ends the start."""
        path = self.settings.fleet.list_file
        if path is None:
            return
        try:
            self.seen = os.stat(path).st_mtime_ns if os.path.exists(path) else None
            self.core.put("filed", read_list(path, self.settings, self.core.clock()))
        except SettingsError as flaw:
            if first:
                raise
            log.error("list file refused", why=str(flaw).splitlines())

    def run(self) -> int:
        """Serve until a signal or a failure; the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self.ended.set())
        signal.signal(signal.SIGINT, lambda *_: self.ended.set())
        again = threading.Event()
        signal.signal(signal.SIGHUP, lambda *_: again.set())
        while not self.ended.wait(LOOK_S if not again.is_set() else 0):
            path = self.settings.fleet.list_file
            changed = path and os.path.exists(path) and os.stat(path).st_mtime_ns != self.seen
            if again.is_set() or changed:
                again.clear()
                self.read_list_file()
        self.stop()
        return 1 if self.core.failure else 0

    def stop(self) -> None:
        """Close every front and end the core; what proxies hold stays with them."""
        self.sasp_front.close()
        if self.mqtt_front is not None:
            self.mqtt_front.close()
        self.otlp_front.close()
        self.status_front.close()
        if self.core.thread.is_alive():
            self.core.put("stop")
            self.core.thread.join(5)
        log.info("stopped")
