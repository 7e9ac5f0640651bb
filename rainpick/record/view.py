"""Effect of a stream of commands on proxies, servers and requests. Free of I/O.

A view tracks one side of a comparison. It derives its counts only from what the commands send to proxies, so
that recorded and replayed commands are measured in the same way. It makes no decisions.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from typing import Any

from rainpick import model
from rainpick.record.limits import LimitTracker

NONCE_LINES = 1  # lines that the nonce adds to each message


class ServerView:
    """A server: its entry in the endpoint list, and the state that was sent to proxies."""

    __slots__ = ("ended_us", "entry", "weights", "withdrawn")

    def __init__(self) -> None:
        self.entry: model.Endpoint | None = None
        self.weights: dict[int, float] = {}  # published weight by table
        self.withdrawn = False
        self.ended_us: int | None = None  # when the endpoint list first showed the server as draining or gone

    def receives_requests(self) -> bool:
        """Whether proxies send requests to the server according to any table."""
        return not self.withdrawn and any(self.weights.values())


class ProxyView:
    """A proxy: its table and the messages that were sent to it."""

    __slots__ = ("sent_us", "table", "unacknowledged")

    def __init__(self) -> None:
        self.table: int | None = None  # the table to which it is bound
        self.unacknowledged: deque[tuple[int, int]] = deque()  # (nonce, lines) of each message
        self.sent_us: deque[int] = deque()  # times of recent messages, for the message limit


class FleetView:
    """Tracks the fleet from events and commands. ``settings``: decision settings, which define the limits.

    Results must not depend on the hash seed, so containers that are iterated either keep the insertion order
    or contain only numbers.
    """

    def __init__(self, settings: dict[str, Any]):
        self.limits = LimitTracker(settings)
        # Lines of each message beside its content.
        self.head_lines = settings.get("proxies.head", 0) + NONCE_LINES
        # The admission rate without throttling.
        self.full_rate = 1.0 if settings.get("proxies.admit") == "ratio" else 1e6
        self.servers: dict[Any, ServerView] = {}
        self.proxies: dict[int, ProxyView] = {}
        self.unbound: set[int] = set()  # numbers of the unbound proxies
        self.warming: dict[Any, None] = {}  # servers in slow start, in the order of the endpoint list
        self.bound: dict[int, set[int]] = {}  # numbers of the bound proxies, by table
        self.admission_rates: dict[tuple[int, int], float] = {}  # rates by table and bit mask of routes
        self.counts: Counter[str] = Counter()
        # Whether any admission rate is below the full rate, and for how long this was so in total.
        self.throttled, self.throttled_us = False, 0
        self.unacknowledged_lines = 0  # number of lines in unacknowledged messages
        self.last_us: int | None = None  # time of the last step
        # Tables whose weights or proxies changed since the last call of ``shares``.
        self.changed_tables: set[int] = set()
        self.table_shares: dict[int, dict[Any, float]] = {}  # results of ``shares_in_table``, by table

    # Events

    def apply_events(self, now: int, events: list[Any]) -> None:
        """Update the view from the events of a step."""
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
        """Update the servers from the endpoint list; a server that is missing from a full list is gone."""
        if event.kind == model.UpdateKind.FAILED:
            return
        for entry in event.endpoints:
            server = self.servers.setdefault(entry.address, ServerView())
            server.entry = entry
            if entry.started_us and now - entry.started_us < self.limits.warm_after_us:
                self.warming[entry.address] = None
            self.set_ended(server, entry.state != model.EndpointState.READY, now)
        if event.kind != model.UpdateKind.DELTA:
            present = {entry.address for entry in event.endpoints}
            for address, server in self.servers.items():
                if address not in present:
                    self.set_ended(server, True, now)

    def set_ended(self, server: ServerView, ended: bool, now: int) -> None:
        """Set or clear the time since which a server is draining or gone, and count a new drain or loss."""
        if not ended:
            server.ended_us = None
        elif server.ended_us is None:
            server.ended_us = now
            self.counts["drains or losses listed"] += server.receives_requests()

    def remove_proxy(self, number: int) -> None:
        """Remove a proxy that left or joins again; it may be unknown."""
        proxy = self.proxies.pop(number, None)
        self.unbound.discard(number)
        if proxy is not None:
            self.unacknowledged_lines -= sum(lines for _, lines in proxy.unacknowledged)
            if proxy.table is not None:
                self.bound[proxy.table].discard(number)
                self.changed_tables.add(proxy.table)

    def acknowledge(self, event: model.Acknowledged) -> None:
        """Remove an acknowledged message and all earlier ones to the same proxy, if the nonce is known."""
        if event.proxy not in self.proxies:
            return
        unacknowledged = self.proxies[event.proxy].unacknowledged
        while any(nonce == event.nonce for nonce, _ in unacknowledged):
            self.unacknowledged_lines -= unacknowledged.popleft()[1]

    # Commands

    def apply_commands(self, now: int, commands: list[Any]) -> None:
        """Update the view from the commands of a step."""
        lines: Counter[int] = Counter()  # number of lines of the step, by proxy
        nonce = None
        unbound = tuple(self.unbound)  # the unbound proxies at the start of the step
        for command in commands:
            kind = type(command)
            if kind is model.SetWeight:
                self.set_weight(now, command)
                lines.update(self.bound.get(command.table, ()))
            elif kind is model.SetWithdrawn:
                self.set_withdrawn(now, command)
                lines.update(self.withdrawal_receivers(command.server, unbound))
            elif kind is model.BindProxy and command.proxy in self.proxies:
                self.bind(command)
                lines[command.proxy] += 1 + self.server_count(command.table)
            elif kind is model.SetAdmission:
                self.set_admission(command)
                lines.update(self.bound.get(command.table, ()))
            elif kind is model.RequestAcknowledgement:
                nonce = command.nonce
        if nonce is not None:
            self.send(now, nonce, lines)
        self.check_warming(now)

    def set_weight(self, now: int, command: model.SetWeight) -> None:
        """Set the weight of a server in a table, and count the change; a weight of 0 removes the server."""
        server = self.servers.setdefault(command.server, ServerView())
        before = server.weights.get(command.table, 0.0)
        if command.weight:
            server.weights[command.table] = command.weight
        else:
            server.weights.pop(command.table, None)
            if server.ended_us is not None and not server.withdrawn and not server.weights:
                self.complete_drain(now, command.server, server.ended_us)
        if not before:
            count = "lines laid"
        elif command.weight > before:
            count = "weights raised"
        else:
            count = "weights lowered"
        removes_ended = server.ended_us is not None and not command.weight
        self.counts[count] += command.weight != before and not removes_ended
        self.changed_tables.add(command.table)

    def complete_drain(self, now: int, address: Any, ended_us: int) -> None:
        """Count a draining or gone server that is no longer published; check its drain time."""
        self.counts["drains and losses told"] += 1
        self.limits.observe_drain(now, address, ended_us)

    def set_withdrawn(self, now: int, command: model.SetWithdrawn) -> None:
        """Withdraw or readmit a server; withdrawing a server that is still ready counts as an ejection."""
        server = self.servers.setdefault(command.server, ServerView())
        if command.withdrawn and not server.withdrawn:
            if server.ended_us is not None:
                self.complete_drain(now, command.server, server.ended_us)
            else:
                self.counts["ejections"] += 1
        elif not command.withdrawn and server.withdrawn:
            self.counts["returns"] += 1
        server.withdrawn = command.withdrawn
        self.changed_tables.update(server.weights)

    def withdrawal_receivers(self, address: Any, unbound: tuple[int, ...]) -> Iterable[int]:
        """Yield the proxies to which a withdrawal or readmission of a server is sent, once for each line.

        ``unbound`` has the proxies that were unbound at the start of the step.
        """
        for table in self.servers[address].weights:
            yield from self.bound.get(table, ())
        yield from (number for number in unbound if number in self.proxies)

    def bind(self, command: model.BindProxy) -> None:
        """Bind a proxy to a table, and count the binding."""
        self.counts["binds"] += 1
        self.proxies[command.proxy].table = command.table
        self.unbound.discard(command.proxy)
        self.bound.setdefault(command.table, set()).add(command.proxy)
        self.changed_tables.add(command.table)

    def server_count(self, table: int) -> int:
        """Return the number of servers in a table."""
        return sum(table in server.weights for server in self.servers.values())

    def set_admission(self, command: model.SetAdmission) -> None:
        """Set the admission rate of routes in a table, and count whether it rises or falls."""
        key = command.table, command.routes
        before = self.admission_rates.get(key, self.full_rate)
        self.counts["throttled further"] += command.rate < before
        self.counts["throttled less"] += command.rate > before
        self.admission_rates[key] = command.rate
        self.throttled = any(rate < self.full_rate for rate in self.admission_rates.values())

    def send(self, now: int, nonce: int, lines: Counter[int]) -> None:
        """Count the lines of a step as one message to each proxy."""
        for number, own_lines in lines.items():
            proxy = self.proxies[number]
            size = own_lines + self.head_lines
            proxy.unacknowledged.append((nonce, size))
            self.unacknowledged_lines += size
            self.counts["messages"] += 1
            self.counts["lines"] += size
            self.limits.observe_message(now, number, proxy.sent_us)
        self.limits.observe_queue(now, self.unacknowledged_lines)

    def check_warming(self, now: int) -> None:
        """Pass the largest published weight of each warming server to ``limits``; stop tracking warm ones."""
        for address in tuple(self.warming):
            server = self.servers[address]
            entry = server.entry
            if entry is None:
                continue
            age_us = now - entry.started_us
            if age_us >= self.limits.warm_after_us:
                del self.warming[address]
            elif age_us >= 0 and server.weights and not server.withdrawn:
                self.limits.observe_warming(now, entry, max(server.weights.values()))

    # Shares of the requests

    def shares_in_table(self, table: int) -> dict[Any, float]:
        """Return the share of each server in the requests of a table's proxies, according to the weights."""
        weights = {
            address: server.weights[table]
            for address, server in self.servers.items()
            if table in server.weights and not server.withdrawn
        }
        total = sum(weights.values()) or 1.0
        return {address: weight / total for address, weight in weights.items()}

    def shares(self) -> dict[Any, float]:
        """Return the share of each server in the requests of all bound proxies.

        All proxies are assumed to receive the same number of requests; the shares add up to 1.
        """
        for table in self.changed_tables:
            self.table_shares[table] = self.shares_in_table(table)
        self.changed_tables.clear()
        shares: dict[Any, float] = {}
        proxy_count = sum(map(len, self.bound.values())) or 1
        for table, proxies in self.bound.items():
            if proxies:
                for address, share in self.table_shares.get(table, {}).items():
                    shares[address] = shares.get(address, 0.0) + share * len(proxies) / proxy_count
        return shares
