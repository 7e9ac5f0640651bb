"""Determines when a withdrawn server has no more writes, so that another server may own its key ranges.

A proxy stops when it has applied the withdrawal. A proxy that the withdrawal does not reach stops when its
lease has ended: after its stream has broken, it sends writes for the length of a lease, and none thereafter
until it has read the store. The writes that were sent before end within the longest duration of a write.
"""

from __future__ import annotations

from typing import NamedTuple

from rainpick.decisions.fleet import Fleet
from rainpick.model import ProxyJoined

STORE_READ_US = 1_000_000  # a proxy that joins has read the tables from the store after this time
UNKNOWN_PROXY = -1  # stands for the expected proxies that have not joined this director yet


class Unconfirmed(NamedTuple):
    """A proxy that has not acknowledged a withdrawal."""

    nonce: int | None  # of the newest message with the withdrawal; None if none was sent to it
    stops_us: float  # time from which it sends no writes to the server, acknowledged or not


class ProxyLeases:
    """The proxies that a withdrawal cannot reach, and when each has stopped sending writes."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.ends_us: dict[int, int] = {}  # end of the lease of each proxy that has left
        self.empty_until_us: dict[int, int] = {}  # when each proxy that has just started has read the store

    def joined(self, event: ProxyJoined) -> None:
        """Forget the lease of a proxy that is joined again, and can be reached."""
        now = self.fleet.clock.now
        self.ends_us.pop(event.proxy, None)
        self.empty_until_us = {
            proxy: until_us for proxy, until_us in self.empty_until_us.items() if until_us > now
        }
        if event.newly_started:
            self.empty_until_us[event.proxy] = now + STORE_READ_US

    def left(self, proxy: int) -> None:
        """Start the lease of a proxy whose stream has broken; forget the leases that have ended."""
        now, lease_us = self.fleet.clock.now, self.fleet.settings.lease_us
        self.ends_us = {number: end_us for number, end_us in self.ends_us.items() if end_us > now}
        self.ends_us[proxy] = now + lease_us

    def unreachable(self, assigned_us: int) -> dict[int, int]:
        """Return when each proxy that is not joined stops writing to a key range assigned at a time.

        Expected proxies that have not joined since may hold a lease of an earlier director.
        """
        now, settings = self.fleet.clock.now, self.fleet.settings
        ends_us = {number: end_us for number, end_us in self.ends_us.items() if end_us > now}
        unknown_end_us = assigned_us + settings.lease_us
        if len(self.fleet.proxies) + len(ends_us) < settings.expected_proxies and unknown_end_us > now:
            ends_us[UNKNOWN_PROXY] = unknown_end_us
        return ends_us

    def reachable_us(self, proxy: int) -> int:
        """Return the time from which a withdrawal is sent to a joined proxy.

        It is sent to proxies that hold a table with the server. One that has just started holds none until it
        has read the store; one that has rejoined holds what it had.
        """
        return self.empty_until_us.get(proxy, 0)


class WriteFence:
    """The proxies that may still send writes to one withdrawn server."""

    def __init__(self, fleet: Fleet, leases: ProxyLeases, assigned_us: int):
        """Begin with a withdrawal that has reached no proxy.

        ``assigned_us``: when the newest key range of the server was assigned to this director.
        """
        self.fleet = fleet
        self.leases = leases
        self.written_us = fleet.clock.now  # when the withdrawal was first written
        self.stopped_us: float = fleet.clock.now  # latest time at which a proxy was known to have stopped
        self.unconfirmed = {
            proxy: Unconfirmed(None, ends_us) for proxy, ends_us in leases.unreachable(assigned_us).items()
        } | {proxy: Unconfirmed(None, float("inf")) for proxy in fleet.proxies}

    def unsent(self) -> list[int]:
        """Return the joined proxies that a withdrawal reaches now and to which none was sent."""
        now = self.fleet.clock.now
        return [
            proxy
            for proxy, state in self.unconfirmed.items()
            if state.nonce is None and proxy in self.fleet.proxies and self.leases.reachable_us(proxy) <= now
        ]

    def sent(self, proxies: list[int], nonce: int, stops_us: float) -> None:
        """Record that a message with the withdrawal was sent to these proxies."""
        for proxy in proxies:
            self.unconfirmed[proxy] = Unconfirmed(nonce, stops_us)

    def joined(self, proxy: int) -> None:
        """Expect that a proxy that joins still sends writes until a withdrawal reaches it."""
        self.unconfirmed[proxy] = Unconfirmed(None, float("inf"))

    def left(self, proxy: int) -> None:
        """Expect no acknowledgement of a proxy that left, but the end of its lease."""
        if state := self.unconfirmed.get(proxy):
            lease_end_us = self.fleet.clock.now + self.fleet.settings.lease_us
            self.unconfirmed[proxy] = Unconfirmed(None, min(state.stops_us, lease_end_us))

    def acknowledged(self, proxy: int) -> None:
        """Record that a proxy has stopped if its newest message with the withdrawal is acknowledged."""
        state = self.unconfirmed.get(proxy)
        if state is None or state.nonce is None:
            return
        if all(message.nonce != state.nonce for message in self.fleet.proxies[proxy].unacknowledged):
            del self.unconfirmed[proxy]
            self.stopped_us = self.fleet.clock.now

    def uncontrolled_us(self) -> float:
        """Return when the last proxy has stopped that no withdrawal can stop yet; 0 if there is none.

        A proxy without a stream may join again just before its lease ends, and is then sent the withdrawal.
        """
        now, transit_us = self.fleet.clock.now, self.fleet.settings.transit_max_us
        return max(
            (
                transit_us
                + (
                    max(self.leases.reachable_us(proxy), now)
                    if proxy in self.fleet.proxies
                    else state.stops_us
                )
                for proxy, state in self.unconfirmed.items()
                if state.nonce is None
            ),
            default=0,
        )

    def next_sending_us(self) -> float:
        """Return when the next proxy can be reached to which no withdrawal was sent; infinite if none."""
        return min(
            (
                self.leases.reachable_us(proxy)
                for proxy, state in self.unconfirmed.items()
                if state.nonce is None and proxy in self.fleet.proxies
            ),
            default=float("inf"),
        )

    def released_us(self) -> float:
        """Return when the last write has ended at the server; infinite while that is not known."""
        stopped_us = max([self.stopped_us, *(state.stops_us for state in self.unconfirmed.values())])
        return stopped_us + self.fleet.settings.write_life_us
