"""A simulated paced channel: applies a director's commands, and computes when each proxy has applied them.

It follows the operators' page on the wire protocol. A reply of the director is sent as one message to each
proxy that it reaches. A message consists of a head, which takes several lines, and the lines of its commands.
Messages are sent one after another at a fixed number of lines per second.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from rainpick import model

BIND_LINES = 1  # number of lines of a bind, in addition to the lines for the contents of its table


@dataclass
class ProxyTables:
    """The servers that one proxy may use, according to the messages that it has applied."""

    zone: int
    rate: float  # requests per second that the proxy receives
    joined_us: int = 0
    weights: dict[str, float] = field(default_factory=dict)  # by server
    withdrawn: set[str] = field(default_factory=set)

    def can_use(self, server: str) -> bool:
        return server in self.weights and server not in self.withdrawn

    def usable(self) -> set[str]:
        return self.weights.keys() - self.withdrawn


@dataclass
class Message:
    """The message of one reply to one proxy."""

    proxy: int
    cost: int  # number of lines of the message, including its head
    changes: list = field(default_factory=list)  # functions that apply the commands to a ProxyTables
    nonce: int | None = None


class Channel:
    """The tables, the withdrawals and the message queue that the relay keeps for one director."""

    def __init__(self, lines_per_s: float, head_lines: int, delivery_delay_us: int):
        self.lines_per_s, self.head_lines, self.delivery_delay_us = lines_per_s, head_lines, delivery_delay_us
        self.tables: dict[int, dict[str, float]] = defaultdict(dict)
        self.admissions: dict[int, set[int]] = defaultdict(set)  # by table, route bit masks with a rate
        self.proxies: dict[int, set[int]] = defaultdict(set)  # by table, the proxies bound to it
        self.bound: dict[int, int] = {}  # by proxy, its table
        self.withdrawn: set[str] = set()
        self.joined: dict[int, ProxyTables] = {}
        self.idle_us = 0.0  # time at which all written messages will have been sent
        self.peak_waiting = 0.0  # highest number of lines not sent yet, right after a reply was written
        self.lines_sent = 0
        self.messages_sent = 0

    def join(self, proxy: int, proxy_tables: ProxyTables) -> None:
        self.joined[proxy] = proxy_tables

    def leave(self, proxy: int) -> None:
        """Remove a proxy; its messages in the channel are lost."""
        self.joined.pop(proxy, None)
        table = self.bound.pop(proxy, None)
        if table is not None:
            self.proxies[table].discard(proxy)

    def waiting(self, now: float) -> float:
        """Return the number of lines that have not been sent yet."""
        return max(0.0, self.idle_us - now) * self.lines_per_s / 1e6

    def write(self, now: int, commands: list) -> list[tuple[float, Message]]:
        """Apply the commands of a reply; returns its messages, each with the time at which it is applied."""
        messages: dict[int, Message] = {}
        nonce = next(
            (command.nonce for command in commands if type(command) is model.RequestAcknowledgement), None
        )

        def add_lines(proxy: int, lines: int, change) -> None:
            message = messages.get(proxy)
            if message is None:
                message = messages[proxy] = Message(proxy, self.head_lines + (nonce is not None), nonce=nonce)
            message.cost += lines
            if change is not None:
                message.changes.append(change)

        for command in commands:
            self.apply(command, add_lines)
        sent = []
        sent_us = max(self.idle_us, float(now))
        for message in messages.values():
            sent_us += message.cost / self.lines_per_s * 1e6
            self.lines_sent += message.cost
            sent.append((sent_us + self.delivery_delay_us, message))
        self.messages_sent += len(messages)
        self.idle_us = sent_us
        self.peak_waiting = max(self.peak_waiting, self.waiting(now))
        return sent

    def apply(self, command: object, add_lines) -> None:
        match command:
            case model.SetWeight(table, server, weight):
                self.set_weight(table, server, weight, add_lines)
            case model.SetWithdrawn(server, withdrawn):
                self.set_withdrawn(server, withdrawn, add_lines)
            case model.SetAdmission(table, routes, _, _):
                self.admissions[table].add(routes)
                for proxy in self.proxies[table]:
                    add_lines(proxy, 1, None)
            case model.BindProxy(table, _, proxy):
                self.bind(table, proxy, add_lines)

    def set_weight(self, table: int, server: str, weight: float, add_lines) -> None:
        if weight:
            self.tables[table][server] = weight
        else:
            self.tables[table].pop(server, None)

        def change(proxy_tables: ProxyTables) -> None:
            if weight:
                proxy_tables.weights[server] = weight
            else:
                proxy_tables.weights.pop(server, None)

        for proxy in self.proxies[table]:
            add_lines(proxy, 1, change)

    def set_withdrawn(self, server: str, withdrawn: bool, add_lines) -> None:
        (self.withdrawn.add if withdrawn else self.withdrawn.discard)(server)

        def change(proxy_tables: ProxyTables) -> None:
            (proxy_tables.withdrawn.add if withdrawn else proxy_tables.withdrawn.discard)(server)

        for proxy, proxy_tables in self.joined.items():
            table = self.bound.get(proxy)
            uses_server = server in (proxy_tables.weights if table is None else self.tables[table])
            if uses_server:
                add_lines(proxy, 1, change)

    def bind(self, table: int, proxy: int, add_lines) -> None:
        previous = self.bound.get(proxy)
        if previous is not None:
            self.proxies[previous].discard(proxy)
        self.bound[proxy] = table
        self.proxies[table].add(proxy)
        weights = dict(self.tables[table])
        withdrawn = self.withdrawn & weights.keys()

        def change(proxy_tables: ProxyTables) -> None:
            proxy_tables.weights, proxy_tables.withdrawn = dict(weights), set(withdrawn)

        add_lines(proxy, BIND_LINES + len(weights) + len(self.admissions[table]) + len(withdrawn), change)
