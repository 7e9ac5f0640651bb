"""What a stream of orders did, in users' terms. Free of I/O.

A view follows one side of a comparison: it keeps what proxies were sent and counts from that alone, so the
recorded orders and the replayed ones are judged in the same way. It decides nothing.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from typing import Any

from rainpick import model
from rainpick.record.limits import Limits

HEAD_LINES = 1  # of a message: its nonce


class ServerView:
    """The endpoint list's entry of a server, and what proxies were sent for it."""

    __slots__ = ("ended_us", "entry", "weights", "withdrawn")

    def __init__(self) -> None:
        self.entry: model.Endpoint | None = None
        self.weights: dict[int, float] = {}  # by table
        self.withdrawn = False
        self.ended_us: int | None = None  # since when the list says that it is draining or gone

    def is_open(self) -> bool:
        """Whether any table still sends it calls."""
        return not self.withdrawn and any(self.weights.values())


class ProxyView:
    """What a proxy was sent."""

    __slots__ = ("sent_us", "table", "unacknowledged")

    def __init__(self) -> None:
        self.table: int | None = None  # to which it is bound
        self.unacknowledged: deque[tuple[int, int]] = deque()  # nonce and lines of each message
        self.sent_us: deque[int] = deque()  # when it was sent messages lately


class FleetView:
    """Follows events and orders. ``settings``: the decisions' settings, for the limits of the rules.

    Containers that are iterated keep the order of insertion, or hold numbers alone: results must not depend
    on a hash seed.
    """

    def __init__(self, settings: dict[str, Any]):
        self.limits = Limits(settings)
        self.head_lines = settings.get("proxies.head", 0) + HEAD_LINES
        self.full_rate = 1.0 if settings.get("proxies.admit") == "ratio" else 1e6
        self.servers: dict[Any, ServerView] = {}
        self.proxies: dict[int, ProxyView] = {}
        self.unbound: set[int] = set()  # proxies
        self.warming: dict[Any, None] = {}  # servers that started lately, in the order of the list
        self.bound: dict[int, set[int]] = {}  # proxies by table
        self.admission_rates: dict[tuple[int, int], float] = {}  # by table and routes
        self.counts: Counter[str] = Counter()
        self.throttled, self.throttled_us = False, 0
        self.waiting = 0  # lines of unacknowledged messages
        self.last_us: int | None = None  # of the last step
        self.changed_tables: set[int] = set()  # whose weights or proxies changed since ``shares``
        self.table_shares: dict[int, dict[Any, float]] = {}

    # Events

    def apply_events(self, now: int, events: list[Any]) -> None:
        """Follow the events of a step."""
        if self.last_us is not None and self.throttled:
            self.throttled_us += now - self.last_us
        self.last_us = now
        for event in events:
            kind = type(event)
            if kind is model.EndpointUpdate:
                self.update_endpoints(now, event)
            elif kind is model.ProxyJoined:
                self.remove_proxy(event.proxy)
                self.proxies[event.proxy] = ProxyView()
                self.unbound.add(event.proxy)
            elif kind is model.ProxyLeft:
                self.remove_proxy(event.proxy)
            elif kind is model.Acknowledged:
                self.acknowledge(event)

    def update_endpoints(self, now: int, event: model.EndpointUpdate) -> None:
        """Follow the endpoint list; a server that a whole list lacks is gone."""
        if event.kind == model.UpdateKind.FAILED:
            return
        for entry in event.endpoints:
            server = self.servers.setdefault(entry.address, ServerView())
            server.entry = entry
            if entry.started_us and now - entry.started_us < self.limits.warm_us:
                self.warming[entry.address] = None
            self.set_ended(server, entry.state != model.EndpointState.READY, now)
        if event.kind != model.UpdateKind.DELTA:
            present = {entry.address for entry in event.endpoints}
            for address, server in self.servers.items():
                if address not in present:
                    self.set_ended(server, True, now)

    def set_ended(self, server: ServerView, ended: bool, now: int) -> None:
        """Note since when a server is draining or gone."""
        if not ended:
            server.ended_us = None
        elif server.ended_us is None:
            server.ended_us = now
            self.counts["drains or losses listed"] += server.is_open()

    def remove_proxy(self, number: int) -> None:
        """A proxy has left, or joins anew; it need not be known."""
        proxy = self.proxies.pop(number, None)
        self.unbound.discard(number)
        if proxy is not None:
            self.waiting -= sum(lines for _, lines in proxy.unacknowledged)
            if proxy.table is not None:
                self.bound[proxy.table].discard(number)
                self.changed_tables.add(proxy.table)

    def acknowledge(self, event: model.Acknowledged) -> None:
        """A proxy has read a message, and with it all that were sent before."""
        if event.proxy not in self.proxies:
            return
        unacknowledged = self.proxies[event.proxy].unacknowledged
        while any(nonce == event.nonce for nonce, _ in unacknowledged):
            self.waiting -= unacknowledged.popleft()[1]

    # Orders

    def apply_orders(self, now: int, orders: list[Any]) -> None:
        """Follow the orders of a step."""
        lines: Counter[int] = Counter()  # that the step writes, by proxy
        nonce = None
        unbound = tuple(self.unbound)  # as they were when the step began
        for order in orders:
            kind = type(order)
            if kind is model.SetWeight:
                self.set_weight(now, order)
                lines.update(self.bound.get(order.table, ()))
            elif kind is model.SetWithdrawn:
                self.set_withdrawn(now, order)
                lines.update(self.receivers(order.server, unbound))
            elif kind is model.BindProxy and order.proxy in self.proxies:
                self.bind(order)
                lines[order.proxy] += 1 + self.size(order.table)
            elif kind is model.SetAdmission:
                self.set_admission(order)
                lines.update(self.bound.get(order.table, ()))
            elif kind is model.RequestAcknowledgement:
                nonce = order.nonce
        if nonce is not None:
            self.send(now, nonce, lines)
        self.check_warming(now)

    def set_weight(self, now: int, order: model.SetWeight) -> None:
        """Set a server's weight in a table, or remove it from there."""
        server = self.servers.setdefault(order.server, ServerView())
        before = server.weights.get(order.table, 0.0)
        if order.weight:
            server.weights[order.table] = order.weight
        else:
            server.weights.pop(order.table, None)
            if server.ended_us is not None and not server.withdrawn and not server.weights:
                self.end_calls(now, order.server, server.ended_us)
        if not before:
            count = "lines laid"
        elif order.weight > before:
            count = "weights raised"
        else:
            count = "weights lowered"
        removes_ended = server.ended_us is not None and not order.weight
        self.counts[count] += order.weight != before and not removes_ended
        self.changed_tables.add(order.table)

    def end_calls(self, now: int, address: Any, ended_us: int) -> None:
        """Proxies were sent the last that keeps calls from a server that is draining or gone."""
        self.counts["drains and losses told"] += 1
        self.limits.note_drain(now, address, ended_us)

    def set_withdrawn(self, now: int, order: model.SetWithdrawn) -> None:
        """Withdraw or readmit a server; what is withdrawn without being ended is ejected."""
        server = self.servers.setdefault(order.server, ServerView())
        if order.withdrawn and not server.withdrawn:
            if server.ended_us is not None:
                self.end_calls(now, order.server, server.ended_us)
            else:
                self.counts["ejections"] += 1
        elif not order.withdrawn and server.withdrawn:
            self.counts["returns"] += 1
        server.withdrawn = order.withdrawn
        self.changed_tables.update(server.weights)

    def receivers(self, address: Any, unbound: tuple[int, ...]) -> Iterable[int]:
        """The proxies that are sent a line for a server's withdrawal, as often as they are sent one."""
        for table in self.servers[address].weights:
            yield from self.bound.get(table, ())
        yield from (number for number in unbound if number in self.proxies)

    def bind(self, order: model.BindProxy) -> None:
        """Bind a proxy to a table."""
        self.counts["binds"] += 1
        self.proxies[order.proxy].table = order.table
        self.unbound.discard(order.proxy)
        self.bound.setdefault(order.table, set()).add(order.proxy)
        self.changed_tables.add(order.table)

    def size(self, table: int) -> int:
        """How many servers a table has."""
        return sum(table in server.weights for server in self.servers.values())

    def set_admission(self, order: model.SetAdmission) -> None:
        """Set the admission rate of some routes in a table."""
        key = order.table, order.routes
        before = self.admission_rates.get(key, self.full_rate)
        self.counts["throttled further"] += order.rate < before
        self.counts["throttled less"] += order.rate > before
        self.admission_rates[key] = order.rate
        self.throttled = any(rate < self.full_rate for rate in self.admission_rates.values())

    def send(self, now: int, nonce: int, lines: Counter[int]) -> None:
        """Send each proxy its lines of a step as one message."""
        for number, own_lines in lines.items():
            proxy = self.proxies[number]
            size = own_lines + self.head_lines
            proxy.unacknowledged.append((nonce, size))
            self.waiting += size
            self.counts["messages"] += 1
            self.counts["lines"] += size
            self.limits.note_message(now, number, proxy.sent_us)
        self.limits.note_queue(now, self.waiting)

    def check_warming(self, now: int) -> None:
        """Note the largest weight that proxies were sent for each server in slow start."""
        for address in tuple(self.warming):
            server = self.servers[address]
            entry = server.entry
            if entry is None:
                continue
            age_us = now - entry.started_us
            if age_us >= self.limits.warm_us:
                del self.warming[address]
            elif age_us >= 0 and server.weights and not server.withdrawn:
                self.limits.note_warming(now, entry, max(server.weights.values()))

    # Shares of the calls

    def shares_in(self, table: int) -> dict[Any, float]:
        """The share of each server in the calls of a table's proxies, by the weights that they hold."""
        weights = {
            address: server.weights[table]
            for address, server in self.servers.items()
            if table in server.weights and not server.withdrawn
        }
        total = sum(weights.values()) or 1.0
        return {address: weight / total for address, weight in weights.items()}

    def shares(self) -> dict[Any, float]:
        """The share of each server in the bound proxies' calls, if each proxy makes as many; the sum is 1."""
        for table in self.changed_tables:
            self.table_shares[table] = self.shares_in(table)
        self.changed_tables.clear()
        shares: dict[Any, float] = {}
        proxy_count = sum(map(len, self.bound.values())) or 1
        for table, proxies in self.bound.items():
            if proxies:
                for address, share in self.table_shares.get(table, {}).items():
                    shares[address] = shares.get(address, 0.0) + share * len(proxies) / proxy_count
        return shares
