"""The tables that the decisions ordered, and what each proxy must be sent so that it holds them. Free of I/O.

A proxy that is bound to a table follows it. An unbound one keeps the servers that it held before it joined;
of those, only withdrawals and re-admissions are sent to it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple, cast

from rainpick import model
from rainpick.director.addresses import Key
from rainpick.director.admission_rates import AdmissionRates, RouteAdmission
from rainpick.director.snapshots import OPEN, WITHDRAWN, Delta, Line, Lines, Scale, Snapshot

HISTORY = 32  # versions of a table that are retained
TableCommand = model.SetWeight | model.SetWithdrawn | model.ClearTable | model.BindProxy | model.SetAdmission


class ProxyCommands(NamedTuple):
    """What a proxy over MQTT is sent beside lines."""

    table: int | None
    admissions: tuple[RouteAdmission, ...] = ()


class ProxyView:
    """What one joined proxy holds, and which table it is to follow."""

    __slots__ = ("number", "table", "snapshot", "initial_servers", "commands")

    def __init__(self, number: int, initial_servers: Iterable[Key], weight: int, takes_commands: bool):
        self.number = number
        self.table: int | None = None  # None: unbound
        # What it was sent last; None for a proxy that takes no commands.
        self.commands = ProxyCommands(None) if takes_commands else None
        # Servers that it held before it joined; it named them, their weights are not known here.
        self.initial_servers = frozenset(initial_servers)
        self.snapshot = Snapshot(dict.fromkeys(self.initial_servers, (weight, 0)), known=False)


class Tables:
    """All tables, withdrawals and bindings as ordered so far."""

    def __init__(self, scale: Scale, listed_weight: Callable[[Key], float]):
        """``listed_weight``: the listed weight of a server, with which unbound proxies re-admit it."""
        self.scale = scale
        self.listed_weight = listed_weight
        self.lines: dict[int, dict[Key, float]] = {}  # by table: the weights that were ordered
        self.withdrawn: set[Key] = set()
        self.proxies: dict[int, ProxyView] = {}
        self.bound: dict[int, set[int]] = {}  # by table
        self.unbound: set[int] = set()
        self.snapshots: dict[int, Snapshot] = {}  # by table, as long as nothing was ordered since
        self.history: dict[int, deque[Snapshot]] = {}
        self.admission = AdmissionRates()
        # Replaces the lines of a table before they are published: pins do.
        self.overlay: Callable[[int, Lines], Lines] = lambda _, lines: lines

    # Proxies

    def join(
        self,
        number: int,
        initial_servers: Iterable[Key],
        takes_commands: bool = False,
        resumed: Snapshot | None = None,
    ) -> None:
        """A proxy joins, unbound. ``resumed``: the version of a table that it has proved to hold."""
        self.leave(number)
        servers = resumed.lines if resumed is not None else initial_servers
        proxy = self.proxies[number] = ProxyView(number, servers, self.scale(1.0), takes_commands)
        proxy.snapshot = resumed or proxy.snapshot
        self.unbound.add(number)

    def leave(self, number: int) -> None:
        """Forget a proxy."""
        proxy = self.proxies.pop(number, None)
        if proxy is not None:
            self.unbound.discard(number)
            self.unbind(proxy)

    def unbind(self, proxy: ProxyView) -> None:
        """Remove a proxy from the table that it is bound to, if any."""
        if proxy.table is not None and proxy.table in self.bound:
            self.bound[proxy.table].discard(proxy.number)

    def commands_for(self, proxy: ProxyView) -> ProxyCommands:
        """What a proxy that takes commands must have been sent."""
        return ProxyCommands(proxy.table, self.admission.of_table(proxy.table))

    def distrust(self, number: int) -> int:
        """A proxy does not hold what it was sent: the whole table must follow. How many lines that is."""
        proxy = self.proxies[number]
        proxy.snapshot = Snapshot(proxy.snapshot.lines, known=False)
        return 1 + len(self.target(proxy).lines)

    def extend(self, number: int, servers: Iterable[Key]) -> int:
        """A proxy holds further servers from before; how many lines it will be sent because of them."""
        proxy = self.proxies[number]
        held = proxy.snapshot.lines
        more: Lines = {server: (self.scale(1.0), 0) for server in servers if server not in held}
        proxy.initial_servers = proxy.initial_servers.union(more)
        proxy.snapshot = Snapshot(held | more, proxy.snapshot.known)
        return len(more)

    # What the decisions order. Each gives, by proxy concerned, how many lines it costs there.

    def carry_out(self, order: TableCommand | object) -> dict[int, int]:
        """Carry out an order about tables, servers or bindings; other orders concern nobody."""
        if isinstance(order, model.SetWeight):
            return self.set_weight(order)
        if isinstance(order, model.SetWithdrawn):
            return self.set_withdrawn(order)
        if isinstance(order, model.ClearTable):
            self.lines.pop(order.table, None)
            self.snapshots.pop(order.table, None)
            return dict.fromkeys(self.bound.get(order.table, ()), 1)
        if isinstance(order, model.BindProxy) and order.proxy in self.proxies:
            return self.bind(order)
        return {}

    def set_weight(self, order: model.SetWeight) -> dict[int, int]:
        """Set the weight of a server in a table, or remove it from there with a weight of 0."""
        server = cast(Key, order.server)
        table = self.lines.setdefault(order.table, {})
        if order.weight > 0:
            table[server] = order.weight
        else:
            table.pop(server, None)
        self.snapshots.pop(order.table, None)
        return dict.fromkeys(self.bound.get(order.table, ()), 1)

    def set_withdrawn(self, order: model.SetWithdrawn) -> dict[int, int]:
        """Withdraw a server from all tables and unbound proxies, or re-admit it."""
        server = cast(Key, order.server)
        if order.withdrawn:
            self.withdrawn.add(server)
        else:
            self.withdrawn.discard(server)
        concerned: dict[int, int] = {}
        for number, table in self.lines.items():
            if server in table:
                self.snapshots.pop(number, None)
                concerned |= dict.fromkeys(self.bound.get(number, ()), 1)
        holders = (number for number in self.unbound if server in self.proxies[number].initial_servers)
        return concerned | dict.fromkeys(holders, 1)

    def bind(self, order: model.BindProxy) -> dict[int, int]:
        """Have a joined proxy follow a table."""
        proxy = self.proxies[order.proxy]
        self.unbound.discard(order.proxy)
        self.unbind(proxy)
        self.bound.setdefault(order.table, set()).add(order.proxy)
        proxy.table = order.table
        return {order.proxy: 1 + len(self.lines.get(order.table, ()))}

    def set_admission(self, order: model.SetAdmission, route_count: int) -> dict[int, int]:
        """Set the admission rate of routes in a table, or in all."""
        routes = self.admission.set(order, route_count)
        everywhere = order.table == model.ALL_TABLES
        proxies = self.proxies if everywhere else self.bound.get(order.table, ())
        return dict.fromkeys(proxies, max(1, routes))

    # Versions

    def current(self, table: int) -> Snapshot:
        """The newest version of a table; a version differs from the previous one in its lines."""
        snapshot = self.snapshots.get(table)
        if snapshot is not None:
            return snapshot
        lines: Lines = {
            server: (0, WITHDRAWN) if server in self.withdrawn else (self.scale(weight), OPEN)
            for server, weight in self.lines.get(table, {}).items()
        }
        lines = self.overlay(table, lines)
        history = self.history.setdefault(table, deque(maxlen=HISTORY))
        if not history or history[-1].lines != lines:
            version = history[-1].version + 1 if history else 1
            history.append(Snapshot(lines, True, table, version))
        self.snapshots[table] = history[-1]
        return history[-1]

    def version(self, table: int, number: int) -> Snapshot | None:
        """An earlier version, if it is still retained."""
        history = self.history.get(table, ())
        return next((snapshot for snapshot in history if snapshot.version == number), None)

    # What proxies must hold

    def target(self, proxy: ProxyView) -> Snapshot:
        """What a proxy must hold now."""
        return self.unbound_target(proxy) if proxy.table is None else self.current(proxy.table)

    def unbound_target(self, proxy: ProxyView) -> Snapshot:
        """An unbound proxy keeps what it has, less what is withdrawn."""
        held = proxy.snapshot.lines
        lines = dict(held)
        for server, (weight, _) in held.items():
            if server in self.withdrawn and weight:
                lines[server] = 0, WITHDRAWN
            elif server not in self.withdrawn and not weight:
                lines[server] = self.scale(self.listed_weight(server)), OPEN
        return proxy.snapshot if lines == held else Snapshot(lines, known=False)

    def advance(self, number: int) -> Delta:
        """The lines that bring a proxy up to date; it counts as holding them from here on."""
        proxy = self.proxies[number]
        target = self.target(proxy)
        if proxy.table is None:
            delta = self.unbound_delta(proxy.snapshot.lines, target.lines)
        else:
            delta = proxy.snapshot.to(target)
        proxy.snapshot = target
        return delta

    @staticmethod
    def unbound_delta(held: Mapping[Key, tuple[int, int]], target: Lines) -> Delta:
        """Only what is withdrawn or re-admitted: an unbound proxy knows the other weights, we do not."""
        changed = [
            Line(server, *weight_and_flags)
            for server, weight_and_flags in sorted(target.items())
            if weight_and_flags != held[server]
        ]
        withdrawn = tuple([line for line in changed if not line.weight])
        return Delta(withdrawn, tuple([line for line in changed if line.weight]))

    def all_lines(self, number: int) -> tuple[Line, ...]:
        """Everything that a proxy holds, for one that wants all lines each time."""
        return self.proxies[number].snapshot.whole()
