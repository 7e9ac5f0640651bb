"""The process of a live director: threads, signal handling and reloading of the configuration."""

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
from rainpick.node.endpoint_discovery import DiscoveryResponse, parse_discovery_response
from rainpick.node.event_loop import EventLoop
from rainpick.node.log import log
from rainpick.node.mailbox import Mailbox
from rainpick.node.relay_subscription import RelaySubscription

THREAD_STACK = 256 * 1024  # bytes
# Longest wait of a reading thread for the interpreter lock while the event loop runs the decisions. The wait
# delays drains that are received during a step.
SWITCH_INTERVAL_S = 0.001
SWEEP_PERIOD_S = 0.2  # between checks for overdue peers and between attempts to reload the configuration
RELOAD_ATTEMPTS = 25  # one per sweep period while the file is unusable; it may be only partly written
FLUSH_TIMEOUT_S = 0.3  # limit for sending queued calls on SIGTERM; the platform kills the process after 0.7 s


def run_or_exit(work: Callable[[], None]) -> NoReturn:
    """Run a thread's ``work``, which never returns normally, and exit the process with status 1 when it ends.

    Without one of its threads the director would still answer heartbeats, but would make no decisions.
    """
    try:
        work()
    except BaseException:  # noqa: BLE001 - any exception in a thread ends the process
        traceback.print_exc()
    os._exit(1)


class DirectorProcess:
    """A director with its threads and signal handlers."""

    def __init__(self, configuration: Configuration, signals: SimpleQueue[int]):
        self.configuration = configuration
        self.signals = signals
        vocabulary = configuration.vocabulary
        mailbox = Mailbox()
        self.listener = CollectorListener(configuration.listen, vocabulary, configuration.sockets, mailbox)
        self.commit_client = CommitClient(configuration.relay, list(vocabulary.routes), mailbox.post)
        self.subscription = RelaySubscription(
            configuration.relay, vocabulary, lambda notifications: mailbox.post(*notifications)
        )
        self.discovery_watch = DiscoveryWatch(configuration.discovery, vocabulary, mailbox.post)
        self.event_loop = EventLoop(
            configuration,
            read_cached_list(configuration),
            mailbox,
            self.commit_client.send,
            process_status=self.status,
        )
        self.reload_attempts = 0  # remaining attempts to reload the configuration

    def status(self) -> dict[str, Any]:
        """Return the fields of the log's status lines that describe the process."""
        return {
            "listener": self.listener.status(),
            "calls": self.commit_client.counts,
            "subscriptions": self.subscription.streams,
            "list_failed": self.discovery_watch.failures,
            "threads": threading.active_count(),
        }

    def run(self) -> None:
        """Start all threads, then handle signals until SIGTERM or SIGINT ends the process."""
        # The handlers only queue the signal: any lock that they acquired might be held by the thread that
        # they interrupt, which would be a deadlock.
        for handled in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(handled, lambda signal_number, _: self.signals.put(signal_number))
        for component in (self.event_loop, self.commit_client, self.subscription, self.discovery_watch):
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
                signal_number = self.signals.get(timeout=SWEEP_PERIOD_S)
            except Empty:
                pass
            else:
                self.handle_signal(signal_number)
            if self.reload_attempts:
                self.reload()
            self.listener.close_overdue()

    def handle_signal(self, signal_number: int) -> None:
        """Stop on SIGTERM and SIGINT; reload the configuration on SIGHUP."""
        if signal_number in (signal.SIGTERM, signal.SIGINT):
            self.stop()
        if signal_number == signal.SIGHUP:
            self.reload_attempts = RELOAD_ATTEMPTS

    def reload(self) -> None:
        """Read the configuration and apply its addresses; if it is unusable, keep the old one and retry."""
        first_attempt = self.reload_attempts == RELOAD_ATTEMPTS
        self.reload_attempts -= 1
        try:
            new = read_configuration(os.environ)
            if new.name != self.configuration.name:
                raise ConfigurationError(
                    f"name: {new.name!r} is not {self.configuration.name!r}: the file of another director"
                )
        except ConfigurationError as error:
            if first_attempt or not self.reload_attempts:
                log.error("configuration rejected", reason=str(error), attempts_left=self.reload_attempts)
            return
        self.reload_attempts = 0
        log.info("configuration reloaded", discovery="%s:%d" % new.discovery, relay="%s:%d" % new.relay)
        self.apply(new)

    def apply(self, new: Configuration) -> None:
        """Use the addresses of a new configuration, and log its other changes, which need a restart."""
        if differing := settings_needing_restart(self.configuration, new):
            log.warning("settings need a restart", differing=differing)
        if new.discovery != self.configuration.discovery:
            self.discovery_watch.set_address(new.discovery)
        if new.relay != self.configuration.relay:
            self.commit_client.set_address(new.relay)
            self.subscription.set_address(new.relay)
        self.configuration = self.configuration._replace(discovery=new.discovery, relay=new.relay)

    def stop(self) -> NoReturn:
        """Send the queued calls to the relay, then exit. No other director would send their commands."""
        self.commit_client.flush(FLUSH_TIMEOUT_S)
        os.write(2, b"stopped\n")  # bypasses the log, which another thread may be writing to
        os._exit(0)


def read_cached_list(configuration: Configuration) -> DiscoveryResponse:
    """Return the cached endpoint list; an empty one if it is unusable, so that the director still starts."""
    try:
        cached = parse_discovery_response(configuration.cached_list, configuration.vocabulary)
    except ValueError as error:
        log.error("cached endpoint list unusable", reason=str(error))
        return DiscoveryResponse(0, True, (), (), frozenset())
    for entry_error in cached.errors:
        log.error("cached endpoint list entry skipped", reason=entry_error)
    return cached


def settings_needing_restart(old: Configuration, new: Configuration) -> list[str]:
    """Return the names of changed fields and settings that take effect only after a restart."""
    fields = [name for name in ("listen", "cores", "sockets") if getattr(old, name) != getattr(new, name)]
    names = sorted(old.settings.keys() | new.settings.keys())
    return fields + [name for name in names if old.settings.get(name) != new.settings.get(name)]


def start(signals: SimpleQueue[int]) -> None:
    """Run a director; exit with a one-line message if it cannot start.

    ``signals`` may already contain signals that arrived during the imports.
    """
    threading.stack_size(THREAD_STACK)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        director = DirectorProcess(read_configuration(os.environ), signals)
    except (ConfigurationError, OSError, ValueError) as error:
        sys.exit(f"rainpick.node: {error}")
    director.run()
