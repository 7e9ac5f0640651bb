"""Collectors that report the load of all servers to a live director."""

import contextlib
import threading

from tests.node.platform_stubs import Peer

REPORT_PERIOD_S = 0.2
ATTEMPTS = 12  # in each report on a server
LATENCY_MS = 40.0


class LoadReporter:
    """A collector of each zone that reports every server; ``failing`` ones fail all attempts."""

    def __init__(self, director, servers):
        self.listen, self.servers, self.failing = director.listen, servers, set()
        self.closed = threading.Event()
        self.thread = threading.Thread(target=self.report)
        self.thread.start()

    def report(self):
        """Report until closed; connect again whenever the director has ended a connection."""
        while not self.closed.is_set():
            with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
                collectors = {zone: self.connect(zone, stack) for zone in "ab"}
                while not self.closed.wait(REPORT_PERIOD_S):
                    for zone, collector in collectors.items():
                        collector.send(*(self.statistics(zone, number) for number in range(self.servers)))
            self.closed.wait(REPORT_PERIOD_S)

    def connect(self, zone, stack):
        collector = stack.enter_context(contextlib.closing(Peer(self.listen)))
        return collector.send({"t": "telemetry", "locality": zone})

    def statistics(self, zone, number):
        failed = number in self.failing
        return {
            "t": "upstream_stats",
            "locality": zone,
            "endpoint": f"s-{number:04x}",
            "total": ATTEMPTS,
            "errors": ATTEMPTS if failed else 0,
            "rtt": 0.0 if failed else LATENCY_MS,
            "interval": REPORT_PERIOD_S * 1e3,
        }

    def close(self):
        self.closed.set()
        self.thread.join()
