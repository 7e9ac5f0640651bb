"""A paced channel: what a director orders, and when each proxy has applied it.

It follows the operators' page on the wire: one reply is one message for each proxy concerned, a message costs
a head and a line for each of its orders, and messages leave one after another at a fixed pace.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from rainpick import model

BIND_LINES = 1  # of a bind, beside the lines of its table


@dataclass
class Held:
    """What one proxy may pick from, as it has applied it."""

    zone: int
    rate: float
    joined_us: int = 0
    lines: dict[str, float] = field(default_factory=dict)
    withdrawn: set[str] = field(default_factory=set)

    def picks(self, server: str) -> bool:
        return server in self.lines and server not in self.withdrawn

    def usable(self) -> set[str]:
        return self.lines.keys() - self.withdrawn


@dataclass
class Message:
    """The orders of one reply for one proxy."""

    proxy: int
    cost: int
    changes: list = field(default_factory=list)  # callables that take the proxy's Held
    mark: int | None = None


class Channel:
    """One director's tables, withdrawals and queue, as the relay keeps them."""

    def __init__(self, pace: float, head: int, late_us: int):
        self.pace, self.head, self.late_us = pace, head, late_us
        self.tables: dict[int, dict[str, float]] = defaultdict(dict)
        self.levels: dict[int, set[int]] = defaultdict(set)
        self.users: dict[int, set[int]] = defaultdict(set)
        self.bound: dict[int, int] = {}
        self.withdrawn: set[str] = set()
        self.joined: dict[int, Held] = {}
        self.free_us = 0.0  # when all that was written will have left
        self.waiting_most = 0.0
        self.lines_sent = 0
        self.messages_sent = 0

    def join(self, proxy: int, held: Held) -> None:
        self.joined[proxy] = held

    def waiting(self, now: float) -> float:
        """Lines that have not left yet."""
        return max(0.0, self.free_us - now) * self.pace / 1e6

    def write(self, now: int, orders: list) -> list[tuple[float, Message]]:
        """Carry out a reply; the messages that it makes, each with the time at which it is applied."""
        messages: dict[int, Message] = {}
        mark = next((order.nonce for order in orders if type(order) is model.RequestAcknowledgement), None)

        def reach(proxy: int, lines: int, change) -> None:
            message = messages.get(proxy)
            if message is None:
                message = messages[proxy] = Message(proxy, self.head + (mark is not None), mark=mark)
            message.cost += lines
            if change is not None:
                message.changes.append(change)

        for order in orders:
            self.take(order, reach)
        sent = []
        at = max(self.free_us, float(now))
        for message in messages.values():
            at += message.cost / self.pace * 1e6
            self.lines_sent += message.cost
            sent.append((at + self.late_us, message))
        self.messages_sent += len(messages)
        self.free_us = at
        self.waiting_most = max(self.waiting_most, self.waiting(now))
        return sent

    def take(self, order: object, reach) -> None:
        match order:
            case model.SetWeight(table, server, weight):
                self.set_line(table, server, weight, reach)
            case model.SetWithdrawn(server, on):
                self.withdraw(server, on, reach)
            case model.SetAdmission(table, routes, _, _):
                self.levels[table].add(routes)
                for proxy in self.users[table]:
                    reach(proxy, 1, None)
            case model.BindProxy(table, _, proxy):
                self.bind(table, proxy, reach)

    def set_line(self, table: int, server: str, weight: float, reach) -> None:
        if weight:
            self.tables[table][server] = weight
        else:
            self.tables[table].pop(server, None)

        def change(held: Held) -> None:
            if weight:
                held.lines[server] = weight
            else:
                held.lines.pop(server, None)

        for proxy in self.users[table]:
            reach(proxy, 1, change)

    def withdraw(self, server: str, on: bool, reach) -> None:
        (self.withdrawn.add if on else self.withdrawn.discard)(server)

        def change(held: Held) -> None:
            (held.withdrawn.add if on else held.withdrawn.discard)(server)

        for proxy, held in self.joined.items():
            table = self.bound.get(proxy)
            holds = server in (held.lines if table is None else self.tables[table])
            if holds:
                reach(proxy, 1, change)

    def bind(self, table: int, proxy: int, reach) -> None:
        before = self.bound.get(proxy)
        if before is not None:
            self.users[before].discard(proxy)
        self.bound[proxy] = table
        self.users[table].add(proxy)
        lines = dict(self.tables[table])
        withdrawn = self.withdrawn & lines.keys()

        def change(held: Held) -> None:
            held.lines, held.withdrawn = dict(lines), set(withdrawn)

        reach(proxy, BIND_LINES + len(lines) + len(self.levels[table]) + len(withdrawn), change)
