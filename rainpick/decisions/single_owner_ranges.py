"""Assigns key ranges that may have one owner only: writes of a range are never with two servers at once.

A range that has lost its owner is handed over in two steps. The owner is withdrawn from all proxies; the new
owner is published when the previous one provably has no more writes, see ``write_fencing``. Until then the
proxies refuse the writes of the range. They must not do so for longer than the settings allow, so the
withdrawal of an owner is deferred, within the drain grace, while some proxies cannot be stopped by it.
"""

from __future__ import annotations

from collections.abc import Callable

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.key_ranges import KeyRanges, hashed_weight
from rainpick.decisions.publisher import Publisher, TableCommand
from rainpick.decisions.servers import READY, ServerState
from rainpick.decisions.settings import UPDATE_INTERVAL_US
from rainpick.decisions.write_fencing import STORE_READ_US, ProxyLeases, WriteFence
from rainpick.model import Address, KeyRangeAssigned, KeyRangeWeight, ProxyJoined, SetWeight, SetWithdrawn

BARE_FRACTION = 0.9  # part of the longest time without a line that a handover may take


class SingleOwnerRanges(KeyRanges):
    """The key ranges assigned to this director, of which each has one owner at most."""

    def __init__(self, fleet: Fleet, publisher: Publisher):
        super().__init__(fleet, publisher)
        self.leases = ProxyLeases(fleet)
        self.assigned_us: dict[int, int] = {}  # when each key range was assigned to this director
        self.former_owners: dict[int, set[Address]] = {}
        self.fences: dict[Address, WriteFence] = {}  # by withdrawn owner
        self.resent: list[WriteFence] = []  # fences whose withdrawal is written in this step
        # Servers that were withdrawn and readmitted. A proxy that missed the readmission still has them as
        # withdrawn: it had no stream, or no table with the server.
        self.readmitted: set[Address] = set()
        self.has_rejoined = False  # whether a proxy has joined that may have missed a readmission
        self.due_us = float("inf")

    # Events

    def assigned(self, event: KeyRangeAssigned) -> None:
        """Add a newly assigned key range, or remove one that is no longer assigned to this director."""
        super().assigned(event)
        self.former_owners.pop(event.key_range, None)
        self.readmitted.intersection_update(self.fleet.servers)
        self.assigned_us[event.key_range] = self.fleet.clock.now

    def stored(self, event: KeyRangeWeight) -> None:
        """Record the stored owner of a newly assigned key range; proxies have read it from the store."""
        if event.key_range in self.weights and event.weight > 0:
            self.weights[event.key_range] = {event.server: event.weight}
            self.fences.pop(event.server, None)

    def proxy_joined(self, event: ProxyJoined) -> None:
        """Send the withdrawals of owners to a proxy that joins; earlier ones have not reached it."""
        self.leases.joined(event)
        self.has_rejoined = self.has_rejoined or not event.newly_started
        for fence in self.fences.values():
            fence.joined(event.proxy)

    def proxy_left(self, proxy: int) -> None:
        """Consider that a proxy that left goes on until its lease ends."""
        self.leases.left(proxy)
        for fence in self.fences.values():
            fence.left(proxy)
            self.due_us = self.fleet.clock.now

    def acknowledged(self, proxy: int) -> None:
        """Consider that a proxy has applied messages."""
        for fence in self.fences.values():
            fence.acknowledged(proxy)

    # Decisions

    def publish(self, percentage: Callable[[ServerState], float]) -> None:
        """Publish withdrawals and readmissions, and the new owners of ranges that are released.

        ``percentage`` returns the current percentage of a server.
        """
        self.publisher.begin()
        self.resent = []
        self.due_us = float("inf")
        owned = self.owned_ranges()
        for address in [address for address in self.fences if address not in owned]:
            del self.fences[address]
        for address, server in self.fleet.servers.items():
            if address not in owned:
                self.publish_unused(address, server)
        for address, ranges in owned.items():
            self.publish_owner(address, ranges)
        if self.has_rejoined:
            self.repeat_readmissions(owned)
        for number, owner in self.owners().items():
            if owner is None or self.is_released(owner):
                self.assign(number, owner, percentage)
        self.finish()

    def finish(self) -> None:
        """Complete the reply, and remember which message has the withdrawals that were written."""
        targets = [(fence, fence.unsent()) for fence in self.resent]
        stops_us = self.fleet.clock.now + self.delivery_max_us()
        self.publisher.finish(all_proxies=True)
        for fence, proxies in targets:
            fence.sent(proxies, self.publisher.nonce, stops_us)
        for fence in self.fences.values():
            self.schedule(fence.next_sending_us())
            self.schedule(fence.released_us())

    def schedule(self, time_us: float) -> None:
        """Publish again at a time, unless it has passed or an earlier time is scheduled."""
        if time_us > self.fleet.clock.now:
            self.due_us = min(self.due_us, time_us)

    def owners(self) -> dict[int, Address | None]:
        """Return the owner of each key range; None if it never had one."""
        return {number: next(iter(weights), None) for number, weights in self.weights.items()}

    def owned_ranges(self) -> dict[Address, list[int]]:
        """Return the key ranges of each owner."""
        owned: dict[Address, list[int]] = {}
        for number, owner in self.owners().items():
            if owner is not None:
                owned.setdefault(owner, []).append(number)
        return owned

    def delivery_max_us(self) -> float:
        """Return the time after which a proxy that acknowledges nothing has stopped.

        The message has reached it, or its stream was broken and its lease has ended.
        """
        settings, backlog = self.fleet.settings, self.publisher.queue.backlog()
        return max(settings.transit_max_us, settings.lease_us) + backlog / settings.channel_lines_per_s * 1e6

    # Withdrawals

    def publish_unused(self, address: Address, server: ServerState) -> None:
        """Withdraw or readmit a server that owns no key range; no proxy has a line to it.

        Proxies that have just joined may have an earlier line until they have read the store, so a server is
        not readmitted before.
        """
        withdrawn = server.status != READY
        if server.withdrawn == withdrawn:
            return
        if not withdrawn and self.stale_until_us() > self.fleet.clock.now:
            self.schedule(self.stale_until_us())
            return
        self.set_withdrawn(address, withdrawn)
        self.publisher.commands.append(SetWithdrawn(address, withdrawn))

    def stale_until_us(self) -> int:
        """Return the time from which all joined proxies have read the store."""
        return max(
            (proxy.joined_us + STORE_READ_US for proxy in self.fleet.proxies.values()),
            default=0,
        )

    def publish_owner(self, address: Address, ranges: list[int]) -> None:
        """Withdraw an owner that is not ready when it is due, and readmit it if the handover is given up."""
        server = self.fleet.servers.get(address)
        fence = self.fences.get(address)
        if server is not None and server.status == READY:
            if server.withdrawn:
                self.readmit(address)
            return
        assigned_us = max(self.assigned_us[number] for number in ranges)
        expected = fence or WriteFence(self.fleet, self.leases, assigned_us)
        due_us = self.withdrawal_due_us(server, expected)
        if fence is None:
            if due_us <= self.fleet.clock.now:
                self.withdraw(address, expected)
            else:
                self.schedule(due_us)
        elif fence.written_us < due_us and server is not None and self.is_before_deadline(server):
            self.readmit(address)
        elif fence.unsent():
            self.withdraw(address, fence)

    def withdrawal_due_us(self, server: ServerState | None, fence: WriteFence) -> float:
        """Return when to withdraw an owner, so that the handover leaves no proxy without a line for too long.

        It is no later than the drain grace allows; 0 if the settings do not limit the time without a line.
        """
        settings = self.fleet.settings
        if not settings.bare_max_us or server is None:
            return 0
        handover_us = fence.uncontrolled_us() + settings.write_life_us + settings.transit_max_us
        return min(handover_us - BARE_FRACTION * settings.bare_max_us, self.deadline_us(server))

    def deadline_us(self, server: ServerState) -> float:
        """Return the latest time at which to write the withdrawal of a draining or gone server."""
        settings = self.fleet.settings
        return (
            server.drain_started_us + settings.drain_grace_us - settings.transit_max_us - UPDATE_INTERVAL_US
        )

    def is_before_deadline(self, server: ServerState) -> bool:
        """Return whether the withdrawal of a server can still be deferred."""
        return self.fleet.clock.now < self.deadline_us(server)

    def withdraw(self, address: Address, fence: WriteFence) -> None:
        """Withdraw an owner from all joined proxies, if the channel has capacity."""
        commands = [SetWithdrawn(address, True)]
        if not self.publisher.write(commands, [self.fleet.unbound], 1, self.publisher.quotas.drain):
            return
        self.fences[address] = fence
        self.resent.append(fence)
        self.set_withdrawn(address, True)

    def set_withdrawn(self, address: Address, withdrawn: bool) -> None:
        """Record whether a server is withdrawn."""
        if server := self.fleet.servers.get(address):
            server.withdrawn = withdrawn
        (self.readmitted.discard if withdrawn else self.readmitted.add)(address)

    def repeat_readmissions(self, owned: dict[Address, list[int]]) -> None:
        """Repeat the readmissions of owners for the proxies that have rejoined."""
        commands = [SetWithdrawn(address, False) for address in owned if address in self.readmitted]
        if not commands or self.publisher.write(
            commands, [self.fleet.unbound], len(commands), self.publisher.quotas.rule
        ):
            self.has_rejoined = False

    def readmit(self, address: Address) -> None:
        """Readmit an owner, which keeps its key ranges."""
        commands = [SetWithdrawn(address, False)]
        if self.publisher.write(commands, [self.fleet.unbound], 1, self.publisher.quotas.drain):
            self.set_withdrawn(address, False)
            self.fences.pop(address, None)

    # Owners

    def is_released(self, owner: Address) -> bool:
        """Return whether a withdrawn owner has no more writes."""
        fence = self.fences.get(owner)
        return fence is not None and fence.released_us() <= self.fleet.clock.now

    def assign(
        self, number: int, previous: Address | None, percentage: Callable[[ServerState], float]
    ) -> None:
        """Publish a new owner of a key range, selected by weighted hashing.

        A former owner is selected only if there is no other server.
        """
        former = self.former_owners.setdefault(number, set())
        former.intersection_update(self.fleet.servers)
        if previous is not None:
            former.add(previous)
        usable = [
            server
            for server in self.fleet.servers.values()
            if server.status == READY and not server.withdrawn and percentage(server) > 0
        ]
        if not usable:
            return
        new_owner = max(
            usable,
            key=lambda server: (server.endpoint.address not in former, hashed_weight(server, number)),
        )
        address = new_owner.endpoint.address
        commands: list[TableCommand] = [SetWeight(number, address, 1.0)]
        if address in self.readmitted:
            commands.append(SetWithdrawn(address, False))
        if self.publisher.write(commands, [self.fleet.unbound], len(commands), self.publisher.quotas.rule):
            self.weights[number] = {address: 1.0}
