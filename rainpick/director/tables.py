"""The tables set by ``Director``, and the lines to send to each proxy to bring it up to date. No I/O.

A bound proxy is sent the changes of its table. An unbound proxy keeps the servers that it held before it
joined, and is sent only withdrawals and readmissions of these servers.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple, cast

from rainpick import model
from rainpick.director.addresses import Key
from rainpick.director.admission_rates import AdmissionRates, RouteAdmission
from rainpick.director.snapshots import OPEN, WITHDRAWN, Delta, Line, Lines, Scale, Snapshot

MAX_VERSIONS = 32  # retained versions of each table
TableCommand = model.SetWeight | model.SetWithdrawn | model.ClearTable | model.BindProxy | model.SetAdmission


class ProxyCommands(NamedTuple):
    """The binding and the admissions that a proxy over MQTT is sent in addition to lines."""

    table: int | None
    admissions: tuple[RouteAdmission, ...] = ()


class ProxyView:
    """The state of one joined proxy: the lines that it holds, and the table that it is bound to."""

    __slots__ = ("number", "table", "snapshot", "initial_servers", "commands")

    def __init__(self, number: int, initial_servers: Iterable[Key], weight: int, takes_commands: bool):
        self.number = number
        self.table: int | None = None  # None: unbound
        # The commands last sent to the proxy; None if it takes no commands (SASP).
        self.commands = ProxyCommands(None) if takes_commands else None
        # The servers that the proxy reports to have held before it joined; their weights are unknown.
        self.initial_servers = frozenset(initial_servers)
        self.snapshot = Snapshot(dict.fromkeys(self.initial_servers, (weight, 0)), known=False)


class Tables:
    """The tables, withdrawals and bindings that result from the commands so far."""

    def __init__(self, scale: Scale, listed_weight: Callable[[Key], float]):
        """Create an empty state.

        ``listed_weight`` returns the weight of a server in the endpoint list. Unbound proxies are sent this
        weight when the server is readmitted.
        """
        self.scale = scale
        self.listed_weight = listed_weight
        self.lines: dict[int, dict[Key, float]] = {}  # weights set by ``Director``, by table
        self.withdrawn: set[Key] = set()
        self.proxies: dict[int, ProxyView] = {}
        self.bound: dict[int, set[int]] = {}  # numbers of the bound proxies, by table
        self.unbound: set[int] = set()  # numbers of the unbound proxies
        self.snapshots: dict[int, Snapshot] = {}  # newest version by table; removed when the table changes
        self.history: dict[int, deque[Snapshot]] = {}  # retained versions by table, oldest first
        self.admission = AdmissionRates()
        # Maps a table's number and lines to the lines to publish; replaced by ``TablePins.lines_to_publish``.
        self.lines_to_publish: Callable[[int, Lines], Lines] = lambda _, lines: lines

    # Proxies

    def join(
        self,
        number: int,
        initial_servers: Iterable[Key],
        takes_commands: bool = False,
        resumed: Snapshot | None = None,
    ) -> None:
        """Add an unbound proxy. ``resumed``: the version of a table that the proxy has proved to hold."""
        self.leave(number)
        servers = resumed.lines if resumed is not None else initial_servers
        proxy = self.proxies[number] = ProxyView(number, servers, self.scale(1.0), takes_commands)
        proxy.snapshot = resumed or proxy.snapshot
        self.unbound.add(number)

    def leave(self, number: int) -> None:
        """Remove a proxy; does nothing for an unknown one."""
        proxy = self.proxies.pop(number, None)
        if proxy is not None:
            self.unbound.discard(number)
            self.unbind(proxy)

    def unbind(self, proxy: ProxyView) -> None:
        """Remove a proxy from the table that it is bound to, if any."""
        if proxy.table is not None and proxy.table in self.bound:
            self.bound[proxy.table].discard(proxy.number)

    def commands_for(self, proxy: ProxyView) -> ProxyCommands:
        """Return the current commands for a proxy."""
        return ProxyCommands(proxy.table, self.admission.of_table(proxy.table))

    def invalidate_snapshot(self, number: int) -> int:
        """Mark the weights that a proxy holds as unknown, so that its whole table is sent.

        Returns the number of lines that the proxy is sent for this.
        """
        proxy = self.proxies[number]
        proxy.snapshot = Snapshot(proxy.snapshot.lines, known=False)
        return 1 + len(self.target(proxy).lines)

    def extend(self, number: int, servers: Iterable[Key]) -> int:
        """Add lines for servers that a proxy held before it joined; return the number of lines added."""
        proxy = self.proxies[number]
        held = proxy.snapshot.lines
        more: Lines = {server: (self.scale(1.0), 0) for server in servers if server not in held}
        proxy.initial_servers = proxy.initial_servers.union(more)
        proxy.snapshot = Snapshot(held | more, proxy.snapshot.known)
        return len(more)

    # Commands of ``Director``. Each method returns the number of changed lines by affected proxy.

    def apply(self, command: TableCommand | object) -> dict[int, int]:
        """Apply a command about tables, servers or bindings; any other command has no effect here."""
        if isinstance(command, model.SetWeight):
            return self.set_weight(command)
        if isinstance(command, model.SetWithdrawn):
            return self.set_withdrawn(command)
        if isinstance(command, model.ClearTable):
            self.lines.pop(command.table, None)
            self.snapshots.pop(command.table, None)
            return dict.fromkeys(self.bound.get(command.table, ()), 1)
        if isinstance(command, model.BindProxy) and command.proxy in self.proxies:
            return self.bind(command)
        return {}

    def set_weight(self, command: model.SetWeight) -> dict[int, int]:
        """Set the weight of a server in a table; a weight of 0 removes it from the table."""
        server = cast(Key, command.server)
        table = self.lines.setdefault(command.table, {})
        if command.weight > 0:
            table[server] = command.weight
        else:
            table.pop(server, None)
        self.snapshots.pop(command.table, None)
        return dict.fromkeys(self.bound.get(command.table, ()), 1)

    def set_withdrawn(self, command: model.SetWithdrawn) -> dict[int, int]:
        """Withdraw a server from all tables and unbound proxies, or readmit it."""
        server = cast(Key, command.server)
        if command.withdrawn:
            self.withdrawn.add(server)
        else:
            self.withdrawn.discard(server)
        affected: dict[int, int] = {}
        for number, table in self.lines.items():
            if server in table:
                self.snapshots.pop(number, None)
                affected |= dict.fromkeys(self.bound.get(number, ()), 1)
        holders = (number for number in self.unbound if server in self.proxies[number].initial_servers)
        return affected | dict.fromkeys(holders, 1)

    def bind(self, command: model.BindProxy) -> dict[int, int]:
        """Bind a joined proxy to a table."""
        proxy = self.proxies[command.proxy]
        self.unbound.discard(command.proxy)
        self.unbind(proxy)
        self.bound.setdefault(command.table, set()).add(command.proxy)
        proxy.table = command.table
        return {command.proxy: 1 + len(self.lines.get(command.table, ()))}

    def set_admission(self, command: model.SetAdmission, route_count: int) -> dict[int, int]:
        """Set the admission rate and retry policy of routes in one table or in all tables."""
        routes = self.admission.set(command, route_count)
        everywhere = command.table == model.ALL_TABLES
        proxies = self.proxies if everywhere else self.bound.get(command.table, ())
        return dict.fromkeys(proxies, max(1, routes))

    # Versions

    def current(self, table: int) -> Snapshot:
        """Return the newest version of a table; create a new version if the lines to publish have changed."""
        snapshot = self.snapshots.get(table)
        if snapshot is not None:
            return snapshot
        lines: Lines = {
            server: (0, WITHDRAWN) if server in self.withdrawn else (self.scale(weight), OPEN)
            for server, weight in self.lines.get(table, {}).items()
        }
        lines = self.lines_to_publish(table, lines)
        history = self.history.setdefault(table, deque(maxlen=MAX_VERSIONS))
        if not history or history[-1].lines != lines:
            version = history[-1].version + 1 if history else 1
            history.append(Snapshot(lines, True, table, version))
        self.snapshots[table] = history[-1]
        return history[-1]

    def version(self, table: int, number: int) -> Snapshot | None:
        """Return a version of a table; None if it is not retained."""
        history = self.history.get(table, ())
        return next((snapshot for snapshot in history if snapshot.version == number), None)

    # Lines that proxies must hold

    def target(self, proxy: ProxyView) -> Snapshot:
        """Return the lines that a proxy must hold now."""
        return self.unbound_target(proxy) if proxy.table is None else self.current(proxy.table)

    def unbound_target(self, proxy: ProxyView) -> Snapshot:
        """Return the lines that an unbound proxy holds, with withdrawals and readmissions applied."""
        held = proxy.snapshot.lines
        lines = dict(held)
        for server, (weight, _) in held.items():
            if server in self.withdrawn and weight:
                lines[server] = 0, WITHDRAWN
            elif server not in self.withdrawn and not weight:
                lines[server] = self.scale(self.listed_weight(server)), OPEN
        return proxy.snapshot if lines == held else Snapshot(lines, known=False)

    def advance(self, number: int) -> Delta:
        """Return the lines that bring a proxy up to date, and record that the proxy holds them."""
        proxy = self.proxies[number]
        target = self.target(proxy)
        if proxy.table is None:
            delta = self.unbound_delta(proxy.snapshot.lines, target.lines)
        else:
            delta = proxy.snapshot.delta_to(target)
        proxy.snapshot = target
        return delta

    @staticmethod
    def unbound_delta(held: Mapping[Key, tuple[int, int]], target: Lines) -> Delta:
        """Return only the lines of withdrawn and readmitted servers.

        The other weights of an unbound proxy are unknown.
        """
        changed = [
            Line(server, *weight_and_flags)
            for server, weight_and_flags in sorted(target.items())
            if weight_and_flags != held[server]
        ]
        withdrawn = tuple([line for line in changed if not line.weight])
        return Delta(withdrawn, tuple([line for line in changed if line.weight]))

    def all_lines(self, number: int) -> tuple[Line, ...]:
        """Return all lines that a proxy holds, to be sent to a proxy that does not accept deltas."""
        return self.proxies[number].snapshot.sorted_entries()
