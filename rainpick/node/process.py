"""The process of a live director: its threads, its signals, and its configuration read again."""

from __future__ import annotations

import os
import signal
import sys
import threading
import traceback
from collections.abc import Callable
from queue import Empty, SimpleQueue
from typing import Any, NoReturn

from rainpick.node.collector_listener import CollectorListener
from rainpick.node.commit_client import CommitClient
from rainpick.node.configuration import Configuration, ConfigurationError, read_configuration
from rainpick.node.discovery_watch import DiscoveryWatch
from rainpick.node.endpoint_discovery import DiscoveryAnswer, parse_discovery_answer
from rainpick.node.event_loop import EventLoop
from rainpick.node.log import log
from rainpick.node.mailbox import Mailbox
from rainpick.node.relay_subscription import RelaySubscription

THREAD_STACK = 256 * 1024  # bytes
# A drain that comes in while the event loop steps must not wait longer for its reading thread.
SWITCH_INTERVAL_S = 0.001
SWEEP_PERIOD_S = 0.2  # of overdue peers and of further readings of the configuration
RELOAD_ATTEMPTS = 25  # a period apart, if the file can't be used: it may be half written
FLUSH_TIMEOUT_S = 0.3  # for calls under way when the process is to stop; the platform kills after 0.7 s


def run_or_exit(work: Callable[[], None]) -> NoReturn:
    """Run a thread's work, which never ends by itself, and exit with status 1 if it fails.

    Without that thread the director would look alive and decide nothing.
    """
    try:
        work()
    except BaseException:  # noqa: BLE001 - whatever ends a thread ends the process
        traceback.print_exc()
    os._exit(1)


class DirectorProcess:
    """One director with its threads and signals."""

    def __init__(self, configuration: Configuration, signals: SimpleQueue[int]):
        self.configuration = configuration
        self.signals = signals
        vocabulary = configuration.vocabulary
        mailbox = Mailbox()
        self.listener = CollectorListener(configuration.listen, vocabulary, configuration.sockets, mailbox)
        self.commits = CommitClient(configuration.relay, list(vocabulary.routes), mailbox.post)
        self.subscription = RelaySubscription(
            configuration.relay, vocabulary, lambda notifications: mailbox.post(*notifications)
        )
        self.watch = DiscoveryWatch(configuration.discovery, vocabulary, mailbox.post)
        self.event_loop = EventLoop(
            configuration,
            read_cached_list(configuration),
            mailbox,
            self.commits.send,
            process_status=self.status,
        )
        self.reload_attempts = 0  # that are left

    def status(self) -> dict[str, Any]:
        """What the log's status lines have of the process."""
        return {
            "listener": self.listener.status(),
            "calls": self.commits.counts,
            "subscriptions": self.subscription.streams,
            "list_failed": self.watch.failures,
            "threads": threading.active_count(),
        }

    def run(self) -> None:
        """Start all threads and handle signals, until one of these ends the process."""
        # Handlers only queue: whatever lock they took could be held by the very thread that they interrupt.
        for handled in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(handled, lambda number, _: self.signals.put(number))
        for component in (self.event_loop, self.commits, self.subscription, self.watch):
            threading.Thread(
                target=run_or_exit, args=(component.run,), name=type(component).__name__, daemon=True
            ).start()
        self.listener.start()
        log.info(
            "serving",
            name=self.configuration.name,
            cores=self.configuration.cores,
            address="%s:%d" % self.listener.address,
            cpu_s=round(sum(os.times()[:2]), 2),
        )
        while True:
            try:
                number = self.signals.get(timeout=SWEEP_PERIOD_S)
            except Empty:
                pass
            else:
                self.handle_signal(number)
            if self.reload_attempts:
                self.reload()
            self.listener.close_overdue()

    def handle_signal(self, number: int) -> None:
        """SIGTERM and SIGINT end the process, SIGHUP reads the configuration again."""
        if number in (signal.SIGTERM, signal.SIGINT):
            self.stop()
        if number == signal.SIGHUP:
            self.reload_attempts = RELOAD_ATTEMPTS

    def reload(self) -> None:
        """Take up new addresses; a file that can't be used leaves all as it is, and is soon read again."""
        first_attempt = self.reload_attempts == RELOAD_ATTEMPTS
        self.reload_attempts -= 1
        try:
            new = read_configuration(os.environ)
            if new.name != self.configuration.name:
                raise ConfigurationError(
                    f"name: {new.name!r} is not {self.configuration.name!r}: another director's"
                )
        except ConfigurationError as error:
            if first_attempt or not self.reload_attempts:
                log.error("configuration rejected", reason=str(error), attempts_left=self.reload_attempts)
            return
        self.reload_attempts = 0
        log.info("configuration reloaded", discovery="%s:%d" % new.discovery, relay="%s:%d" % new.relay)
        self.apply(new)

    def apply(self, new: Configuration) -> None:
        """Move to a configuration's addresses, and log what needs a restart."""
        if differing := settings_needing_restart(self.configuration, new):
            log.warning("settings need a restart", differing=differing)
        if new.discovery != self.configuration.discovery:
            self.watch.set_address(new.discovery)
        if new.relay != self.configuration.relay:
            self.commits.set_address(new.relay)
            self.subscription.set_address(new.relay)
        self.configuration = self.configuration._replace(discovery=new.discovery, relay=new.relay)

    def stop(self) -> NoReturn:
        """Send the relay what is ordered already, if that is soon done: no other director will."""
        self.commits.flush(FLUSH_TIMEOUT_S)
        os.write(2, b"stopped\n")  # the log may be in the middle of a line
        os._exit(0)


def read_cached_list(configuration: Configuration) -> DiscoveryAnswer:
    """The endpoint list from before the start; an empty one if it is unusable, so as to start anyway."""
    try:
        cached = parse_discovery_answer(configuration.cached_list, configuration.vocabulary)
    except ValueError as error:
        log.error("cached endpoint list unusable", reason=str(error))
        return DiscoveryAnswer(0, True, (), (), frozenset())
    for entry_error in cached.errors:
        log.error("cached endpoint list entry skipped", reason=entry_error)
    return cached


def settings_needing_restart(old: Configuration, new: Configuration) -> list[str]:
    """The names of what differs and is not taken up by a running director."""
    fields = [name for name in ("listen", "cores", "sockets") if getattr(old, name) != getattr(new, name)]
    names = sorted(old.settings.keys() | new.settings.keys())
    return fields + [name for name in names if old.settings.get(name) != new.settings.get(name)]


def start(signals: SimpleQueue[int]) -> None:
    """Run a director; exits with a line if it can't start. ``signals`` may have some already."""
    threading.stack_size(THREAD_STACK)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        director = DirectorProcess(read_configuration(os.environ), signals)
    except (ConfigurationError, OSError, ValueError) as error:
        sys.exit(f"rainpick.node: {error}")
    director.run()
