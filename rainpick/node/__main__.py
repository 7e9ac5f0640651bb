"""A live director on the platform's protocol: ``python -m rainpick.node``, told by ``PROXY_CONFIG``."""

from __future__ import annotations

import os
import signal
import sys
import threading
import traceback
from collections.abc import Callable

from rainpick.node.codec import members
from rainpick.node.configuration import Configuration, ConfigurationError, read
from rainpick.node.core import Core
from rainpick.node.door import Door
from rainpick.node.inbox import Inbox
from rainpick.node.log import log
from rainpick.node.relay import Calls, News
from rainpick.node.watch import Watch

STACK = 256 * 1024
SWITCH_S = 0.001  # a drain that comes in while the core steps must not wait longer for its reading thread
SWEEP_S = 0.2


def loudly(work: Callable[[], None]) -> None:
    """A thread that ended would leave a director that looks alive and decides nothing: all ends with it."""
    try:
        work()
    except BaseException:
        traceback.print_exc()
    os._exit(1)


class Node:
    """One director, its threads and its signals."""

    def __init__(self, told: Configuration):
        self.told, inbox = told, Inbox()
        self.door = Door(told.listen, told.names, told.sockets, inbox)
        self.calls = Calls(told.relay, list(told.names.routes), inbox.put)
        self.news = News(told.relay, told.names, lambda found: inbox.put(*found))
        self.watch = Watch(told.discovery, told.names, inbox.put)
        self.core = Core(told, members(told.known, told.names), inbox, self.calls.put)
        self.core.status = self.figures
        self.again = threading.Event()

    def figures(self) -> dict:
        return {"door": self.door.status(), "calls": self.calls.counts,
                "news_streams": self.news.streams,
                "list_failed": self.watch.failed, "threads": threading.active_count()}

    def run(self) -> None:
        signal.signal(signal.SIGTERM, self.stop)
        signal.signal(signal.SIGINT, self.stop)
        signal.signal(signal.SIGHUP, lambda *_: self.again.set())
        for part in (self.core, self.calls, self.news, self.watch):
            threading.Thread(target=loudly, args=(part.run,), name=type(part).__name__, daemon=True).start()
        self.door.start()
        log.info("serving", name=self.told.name, cores=self.told.cores, address="%s:%d" % self.door.address,
                 cpu_s=round(sum(os.times()[:2]), 2))
        while True:
            if self.again.wait(SWEEP_S):
                self.again.clear()
                self.reload()
            self.door.sweep()

    def reload(self) -> None:
        """Take up new addresses; a file that can't be used leaves all as it is."""
        try:
            told = read(os.environ)
        except ConfigurationError as flaw:
            log.error("configuration refused", why=str(flaw))
            return
        log.info("configuration read again", discovery="%s:%d" % told.discovery, relay="%s:%d" % told.relay)
        self.watch.move(told.discovery)
        self.calls.move(told.relay)
        self.news.move(told.relay)

    def stop(self, *_: object) -> None:
        os.write(2, b"stopped\n")  # the log may be in the middle of a line
        os._exit(0)


def main() -> None:
    threading.stack_size(STACK)
    sys.setswitchinterval(SWITCH_S)
    try:
        node = Node(read(os.environ))
    except (ConfigurationError, OSError, ValueError) as flaw:
        sys.exit(f"rainpick.node: {flaw}")
    node.run()


if __name__ == "__main__":
    main()
