"""The process of a live director: its threads, its signals, its configuration read again."""

from __future__ import annotations

import os
import signal
import sys
import threading
import traceback
from collections.abc import Callable
from queue import Empty, SimpleQueue

from rainpick.node.configuration import Configuration, ConfigurationError, read_configuration
from rainpick.node.core import Core
from rainpick.node.endpoint_discovery import DiscoveryAnswer, parse_discovery_answer
from rainpick.node.listener import CollectorListener
from rainpick.node.log import log
from rainpick.node.mailbox import Mailbox
from rainpick.node.relay import Calls, Subscription
from rainpick.node.watch import Watch

STACK = 256 * 1024
SWITCH_S = 0.001  # a drain that comes in while the core steps must not wait longer for its reading thread
SWEEP_S = 0.2
READ_AGAIN = 25  # times that a configuration is read, a sweep apart, if it can't be used: half of it, perhaps
FINISH_S = 0.3  # for orders that are on their way when it is told to stop; the platform kills after 0.7 s


def loudly(work: Callable[[], None]) -> None:
    """A thread that ended would leave a director that looks alive and decides nothing: all ends with it."""
    try:
        work()
    except BaseException:
        traceback.print_exc()
    os._exit(1)


class Node:
    """One director, its threads and its signals."""

    def __init__(self, told: Configuration, signals: SimpleQueue):
        self.told, self.signals, mailbox = told, signals, Mailbox()
        self.listener = CollectorListener(told.listen, told.vocabulary, told.sockets, mailbox)
        self.calls = Calls(told.relay, list(told.vocabulary.routes), mailbox.put)
        self.subscription = Subscription(told.relay, told.vocabulary, lambda found: mailbox.put(*found))
        self.watch = Watch(told.discovery, told.vocabulary, mailbox.put)
        self.core = Core(told, known(told), mailbox, self.calls.put)
        self.core.status = self.figures
        self.readings = 0  # of the configuration that are still to be tried

    def figures(self) -> dict:
        return {
            "listener": self.listener.status(),
            "calls": self.calls.counts,
            "subscriptions": self.subscription.streams,
            "list_failed": self.watch.failed,
            "threads": threading.active_count(),
        }

    def run(self) -> None:
        # Handlers only queue: whatever lock they took could be held by the very thread that they interrupt.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda number, _: self.signals.put(number))
        for part in (self.core, self.calls, self.subscription, self.watch):
            threading.Thread(target=loudly, args=(part.run,), name=type(part).__name__, daemon=True).start()
        self.listener.start()
        log.info(
            "serving",
            name=self.told.name,
            cores=self.told.cores,
            address="%s:%d" % self.listener.address,
            cpu_s=round(sum(os.times()[:2]), 2),
        )
        while True:
            try:
                number = self.signals.get(timeout=SWEEP_S)
            except Empty:
                number = None
            if number in (signal.SIGTERM, signal.SIGINT):
                self.stop()
            if number == signal.SIGHUP:
                self.readings = READ_AGAIN
            if self.readings:
                self.reload()
            self.listener.sweep()

    def reload(self) -> None:
        """Take up new addresses; a file that can't be used leaves all as it is, and is soon read again."""
        first, self.readings = self.readings == READ_AGAIN, self.readings - 1
        try:
            told = read_configuration(os.environ)
            if told.name != self.told.name:
                raise ConfigurationError(f"name: {told.name!r} is not {self.told.name!r}: another director's")
        except ConfigurationError as error:
            if first or not self.readings:
                log.error("configuration refused", why=str(error), readings_left=self.readings)
            return
        self.readings = 0
        log.info("configuration read again", discovery="%s:%d" % told.discovery, relay="%s:%d" % told.relay)
        if differing := differences(self.told, told):
            log.warning("settings wait for a restart", differing=differing)
        if told.discovery != self.told.discovery:
            self.watch.move(told.discovery)
        if told.relay != self.told.relay:
            self.calls.move(told.relay)
            self.subscription.move(told.relay)
        self.told = self.told._replace(discovery=told.discovery, relay=told.relay)

    def stop(self) -> None:
        """What was ordered already is said to the relay, if that is soon done: nobody else will say it."""
        self.calls.finish(FINISH_S)
        os.write(2, b"stopped\n")  # the log may be in the middle of a line
        os._exit(0)


def known(told: Configuration) -> DiscoveryAnswer:
    """The list as it was last known; one that can't be read costs a start from nothing, not the start."""
    try:
        found = parse_discovery_answer(told.cached_list, told.vocabulary)
    except ValueError as error:
        log.error("known list left out", why=str(error))
        return DiscoveryAnswer(0, True, (), (), frozenset())
    for error in found.errors:
        log.error("entry of the known list left out", why=error)
    return found


def differences(old: Configuration, new: Configuration) -> list[str]:
    """What only a restart takes up, by name."""
    fields = [name for name in ("listen", "cores", "sockets") if getattr(old, name) != getattr(new, name)]
    names = sorted(old.settings.keys() | new.settings.keys())
    return fields + [name for name in names if old.settings.get(name) != new.settings.get(name)]


def start(signals: SimpleQueue) -> None:
    threading.stack_size(STACK)
    sys.setswitchinterval(SWITCH_S)
    try:
        node = Node(read_configuration(os.environ), signals)
    except (ConfigurationError, OSError, ValueError) as error:
        sys.exit(f"rainpick.node: {error}")
    node.run()
