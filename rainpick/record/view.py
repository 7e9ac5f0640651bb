"""What a stream of orders did, in users' terms, and how near the rules' limits it came. Free of I/O.

A view follows one side of a comparison: it keeps what proxies were told and counts from that alone, so the
recorded orders and the replayed ones are judged by the same eyes. It decides nothing.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import Any, NamedTuple

from rainpick import model

HEAD_LINES = 1  # of a message, its mark


class Nearest(NamedTuple):
    """The nearest approach to a limit: part of it (1.0 is at the limit), when, and who."""

    part: float
    at_us: int
    who: str


class Server:
    """What is known of a server, and what proxies were told of it."""

    __slots__ = ("drained_us", "entry", "lines", "shut")

    def __init__(self) -> None:
        self.entry: model.Endpoint | None = None
        self.lines: dict[int, float] = {}
        self.shut = False
        self.drained_us: int | None = None  # since when the list says that it drains or is gone

    def open(self) -> bool:
        return not self.shut and any(self.lines.values())


class Proxy:
    __slots__ = ("sent", "table", "unread")

    def __init__(self) -> None:
        self.table: int | None = None
        self.unread: deque[tuple[int, int]] = deque()
        self.sent: deque[int] = deque()  # when messages were written to it


def named(server: Any) -> str:
    return f"{server[0]}:{server[1]}" if isinstance(server, tuple) and len(server) == 2 else str(server)


class View:
    """Follows events and orders. ``words``: the module's settings, for the limits of the rules."""

    def __init__(self, words: dict[str, Any]):
        self.pending = words.get("proxies.pending_max") or 0
        self.cap = words.get("proxies.pushes_allowed") or 0
        self.over_us = words.get("proxies.counted_over_us") or 1
        self.head = words.get("proxies.head", 0) + HEAD_LINES
        self.grace_us = words.get("rules.drain_grace_us") or 0
        self.warm_us = words.get("rules.warm_after_us") or 0
        self.least = words.get("rules.start_capacity", 1.0)
        self.full = 1.0 if words.get("proxies.admit") == "ratio" else 1e6
        self.servers: dict[Any, Server] = {}
        self.proxies: dict[int, Proxy] = {}
        self.loose: set[int] = set()  # proxies that are on no table
        self.cold: dict[Any, None] = {}  # servers that started lately, in an order that no hash seed changes
        self.bound: dict[int, set[int]] = {}  # proxies by table
        self.levels: dict[tuple[int, int], float] = {}
        self.counts: Counter[str] = Counter()
        self.nearest: dict[str, Nearest] = {}
        self.throttled, self.throttled_us = False, 0
        self.waiting = 0
        self.last_us: int | None = None
        self.changed: set[int] = set()  # tables whose lines or proxies are other since it was asked last
        self.mixes: dict[int, dict[Any, float]] = {}

    def near(self, limit: str, part: float, now: int, who: str) -> None:
        if limit not in self.nearest or part > self.nearest[limit].part:
            self.nearest[limit] = Nearest(part, now, who)

    # Events

    def hear(self, now: int, events: list) -> None:
        if self.last_us is not None:
            passed = now - self.last_us
            self.throttled_us += passed if self.throttled else 0
        self.last_us = now
        for event in events:
            kind = type(event)
            if kind is model.EndpointUpdate:
                self.listed(now, event)
            elif kind is model.ProxyJoined:
                self.leave(event.proxy)
                self.proxies[event.proxy] = Proxy()
                self.loose.add(event.proxy)
            elif kind is model.ProxyLeft:
                self.leave(event.proxy)
            elif kind is model.Acknowledged and event.proxy in self.proxies:
                unread = self.proxies[event.proxy].unread
                while any(mark == event.nonce for mark, _ in unread):
                    self.waiting -= unread.popleft()[1]

    def listed(self, now: int, event: model.EndpointUpdate) -> None:
        if event.kind == model.UpdateKind.FAILED:
            return
        for entry in event.endpoints:
            held = self.servers.setdefault(entry.address, Server())
            held.entry = entry
            if entry.started_us and now - entry.started_us < self.warm_us:
                self.cold[entry.address] = None
            self.settle(held, entry.state != model.EndpointState.READY, now)
        if event.kind != model.UpdateKind.DELTA:
            present = {entry.address for entry in event.endpoints}
            for address, held in self.servers.items():
                if address not in present:
                    self.settle(held, True, now)

    def settle(self, held: Server, ended: bool, now: int) -> None:
        if not ended:
            held.drained_us = None
        elif held.drained_us is None:
            held.drained_us = now
            self.counts["drains or losses listed"] += held.open()

    def leave(self, number: int) -> None:
        proxy = self.proxies.pop(number, None)
        self.loose.discard(number)
        if proxy is not None:
            self.waiting -= sum(lines for _, lines in proxy.unread)
            if proxy.table is not None:
                self.bound[proxy.table].discard(number)
                self.changed.add(proxy.table)

    # Orders

    def take(self, now: int, orders: list) -> None:
        lines: Counter[int] = Counter()  # by proxy
        mark = None
        loose = tuple(self.loose)  # as they were when the step began
        for order in orders:
            kind = type(order)
            if kind is model.SetWeight:
                self.set_line(now, order)
                lines.update(self.bound.get(order.table, ()))
            elif kind is model.SetWithdrawn:
                self.withdraw(now, order)
                for table in self.servers[order.server].lines:
                    lines.update(self.bound.get(table, ()))
                lines.update(number for number in loose if number in self.proxies)
            elif kind is model.BindProxy and order.proxy in self.proxies:
                self.counts["binds"] += 1
                self.proxies[order.proxy].table = order.table
                self.loose.discard(order.proxy)
                self.bound.setdefault(order.table, set()).add(order.proxy)
                self.changed.add(order.table)
                lines[order.proxy] += 1 + sum(order.table in held.lines for held in self.servers.values())
            elif kind is model.SetAdmission:
                self.admit(order)
                lines.update(self.bound.get(order.table, ()))
            elif kind is model.RequestAcknowledgement:
                mark = order.nonce
        if mark is not None:
            self.sent(now, mark, lines)
        self.watch(now)

    def set_line(self, now: int, order: model.SetWeight) -> None:
        held = self.servers.setdefault(order.server, Server())
        before = held.lines.get(order.table, 0.0)
        if order.weight:
            held.lines[order.table] = order.weight
        else:
            held.lines.pop(order.table, None)
            if held.drained_us is not None and not held.shut and not held.lines:
                self.let_go(now, order.server, held)
        ended = held.drained_us is not None
        rise = "weights raised" if order.weight > before else "weights lowered"
        word = rise if before else "lines laid"
        self.counts[word] += order.weight != before and not (ended and not order.weight)
        self.changed.add(order.table)

    def let_go(self, now: int, server: Any, held: Server) -> None:
        self.counts["drains and losses told"] += 1
        if self.grace_us:
            self.near("drain", (now - held.drained_us) / self.grace_us, now, named(server))

    def withdraw(self, now: int, order: model.SetWithdrawn) -> None:
        held = self.servers.setdefault(order.server, Server())
        if order.withdrawn and not held.shut:
            if held.drained_us is not None:
                self.let_go(now, order.server, held)
            else:
                self.counts["ejections"] += 1
        elif not order.withdrawn and held.shut:
            self.counts["returns"] += 1
        held.shut = order.withdrawn
        self.changed.update(held.lines)

    def admit(self, order: model.SetAdmission) -> None:
        lower = order.rate < self.levels.get((order.table, order.routes), self.full)
        self.counts["throttled further"] += lower
        self.counts["throttled less"] += order.rate > self.levels.get((order.table, order.routes), self.full)
        self.levels[order.table, order.routes] = order.rate
        self.throttled = any(level < self.full for level in self.levels.values())

    def sent(self, now: int, mark: int, lines: Counter) -> None:
        for number, many in lines.items():
            proxy = self.proxies[number]
            many += self.head
            proxy.unread.append((mark, many))
            self.waiting += many
            self.counts["messages"] += 1
            self.counts["lines"] += many
            while proxy.sent and proxy.sent[0] <= now - self.over_us:
                proxy.sent.popleft()
            proxy.sent.append(now)
            if self.cap:
                self.near("messages", len(proxy.sent) / self.cap, now, f"proxy {number}")
        if self.pending:
            self.near("queue", self.waiting / self.pending, now, f"{self.waiting} lines")

    def watch(self, now: int) -> None:
        """Cold servers: the weight that proxies were told, over what the server surely can do."""
        for server in tuple(self.cold):
            held = self.servers[server]
            age_us = now - held.entry.started_us
            if age_us >= self.warm_us:
                del self.cold[server]
            elif age_us >= 0 and held.lines and not held.shut:
                sure = self.least + (1 - self.least) * age_us / self.warm_us
                part = max(held.lines.values()) / max(held.entry.weight * sure, 1e-9)
                self.near("cold", part, now, named(server))

    # What calls go where

    def mix(self, table: int) -> dict[Any, float]:
        """By server its share of the calls of a table's proxies, by the weights that they hold."""
        found = {
            server: held.lines[table]
            for server, held in self.servers.items()
            if table in held.lines and not held.shut
        }
        total = sum(found.values()) or 1.0
        return {server: weight / total for server, weight in found.items()}

    def shares(self) -> dict[Any, float]:
        """By server the share of the bound proxies' calls that their weights give it; they sum up to 1."""
        for table in self.changed:
            self.mixes[table] = self.mix(table)
        self.changed.clear()
        found: dict[Any, float] = {}
        many = sum(map(len, self.bound.values())) or 1
        for table, proxies in self.bound.items():
            if proxies:
                for server, share in self.mixes.get(table, {}).items():
                    found[server] = found.get(server, 0.0) + share * len(proxies) / many
        return found
