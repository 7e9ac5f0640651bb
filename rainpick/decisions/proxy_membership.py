"""Tracks which proxies are joined, and which of them are not bound to a table."""

from __future__ import annotations

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.proxies import ProxyState
from rainpick.decisions.send_queue import SendQueue
from rainpick.decisions.sliding_window import SlidingWindow
from rainpick.decisions.table_assignment import TableAssignment
from rainpick.model import ProxyJoined, ProxyLeft, RouteLoadReport


class ProxyMembership:
    """Applies events about proxies to the fleet and to the send queue."""

    def __init__(self, fleet: Fleet, assignment: TableAssignment, queue: SendQueue):
        self.fleet = fleet
        self.assignment = assignment
        self.queue = queue

    def joined(self, event: ProxyJoined) -> None:
        """Add a proxy as unbound.

        If it is already joined, it has rejoined without a notice that it had left; its unacknowledged lines
        continue to be counted.
        """
        previous = self.fleet.proxies.get(event.proxy)
        proxy = ProxyState(event, self.fleet.clock.now, self.fleet.unbound)
        self.remove(event.proxy)
        if previous:
            proxy.inherit(previous)
            self.queue.restore(proxy.unacknowledged_lines())
        if not event.newly_started and self.fleet.tables:
            proxy.group = self.assignment.home_table(proxy).unbound
        self.fleet.proxies[event.proxy] = proxy
        proxy.group.proxies[event.proxy] = proxy

    def left(self, event: ProxyLeft) -> None:
        """Remove a proxy that left."""
        if proxy := self.fleet.proxies.get(event.proxy):
            for message in proxy.uncertain:
                self.queue.uncertain.release(message.nonce, message.lines)
        self.remove(event.proxy)

    def remove(self, number: int) -> None:
        """Remove a proxy if it is joined, and stop counting its unacknowledged lines."""
        proxy = self.fleet.proxies.pop(number, None)
        if proxy:
            self.queue.forget(proxy.unacknowledged_lines())
            proxy.group.proxies.pop(number)

    def reported(self, report: RouteLoadReport) -> None:
        """Record a load report on the requests of a route that reached a proxy."""
        proxy = self.fleet.proxies.get(report.proxy)
        if proxy:
            window = proxy.requests.setdefault(report.route, SlidingWindow(2))
            window.add(self.fleet.clock.bucket, report.requests, report.interval_us)
