"""Decides when a call that got no valid response is sent again.

The call may have been executed: its lines may already be in the paced channel, and its messages may already
count against the message limit of each proxy. Its retransmission costs as many again, so it is subject to the
same limits as its first transmission. An unconfirmed call that was repeated at once, without regard to these
limits, has filled the channel many times over.

Each transmission has a nonce of its own. An acknowledgement therefore shows which of them was executed, and
the lines of the others are counted no longer than they can be in the channel.

The events and the command of this module are not in ``rainpick.model``, whose types are all declared in
records. Only the live director uses them, and it keeps no record.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.publisher import Publisher

DRAIN_DELIVERY_DELAYS = 2  # delivery delays that a message and its acknowledgement take


class RetransmissionRequested(NamedTuple):
    """Event: a call got no valid response, may have been executed, and waits for ``Retransmit``.

    ``nonce`` is the nonce of the call, ``replies`` are the nonces of all replies with commands in the call.
    """

    nonce: int
    replies: tuple[int, ...]


class Retransmit(NamedTuple):
    """Command: send the call with ``previous_nonce`` again, as requested, and with ``nonce`` instead.

    An acknowledgement of ``nonce`` shows that the retransmission was executed.
    """

    previous_nonce: int
    nonce: int


class Transmission(NamedTuple):
    """A retransmission whose lines are counted until ``expires_us`` at the latest."""

    nonce: int
    proxies: tuple[int, ...]
    expires_us: float


class Retransmissions:
    """Holds the call that waits to be sent again; there is one at most, since calls are sent in order."""

    def __init__(self, fleet: Fleet, publisher: Publisher):
        self.fleet = fleet
        self.publisher = publisher
        self.request: RetransmissionRequested | None = None
        self.requested_us = 0
        self.transmissions: deque[Transmission] = deque()  # oldest first
        settings = fleet.settings
        # The time within which any message leaves even a full channel and is acknowledged.
        self.channel_drain_us = (
            settings.channel_lines_max / settings.channel_lines_per_s * 1e6
            + DRAIN_DELIVERY_DELAYS * settings.delivery_delay_us
        )

    def requested(self, event: RetransmissionRequested) -> None:
        """Remember the call that waits to be sent again."""
        self.request, self.requested_us = event, self.fleet.clock.now

    def publish(self) -> None:
        """Order the retransmission of the waiting call if the limits allow it."""
        self.expire()
        if self.request is None:
            return
        costs = self.publisher.retransmission_costs(self.request.replies)
        for number, lines in self.publisher.repeated_retransmission_costs(self.request.replies).items():
            costs[number] = costs.get(number, 0) + lines
        uncertain_costs = self.publisher.uncertain_retransmission_costs(self.request.replies)
        if not self.is_allowed(costs, uncertain_costs):
            return
        nonce = self.publisher.retransmit(self.request.nonce, costs, uncertain_costs)
        self.publisher.commands.append(Retransmit(self.request.nonce, nonce))
        expires_us = self.fleet.clock.now + self.channel_drain_us
        self.transmissions.append(Transmission(nonce, tuple(costs), expires_us))
        self.request = None

    def is_allowed(self, costs: dict[int, int], uncertain_costs: dict[int, int]) -> bool:
        """Return whether a call that costs these lines, by proxy, may be sent again now.

        A limit is ignored once any earlier transmission of the call has left the scope of that limit. Without
        this, a call whose transmissions were all lost would be held back forever.
        """
        proxies = self.fleet.proxies
        waited_us = self.fleet.clock.now - self.requested_us
        lines = sum(costs.values()) + sum(uncertain_costs.values())
        fits = lines <= self.publisher.queue.available_lines()
        # A retransmission may use the message that the message limit keeps in reserve.
        needed = 1 - self.publisher.message_limit.reserve
        within_limit = all(
            self.publisher.available_messages(proxies[number]) >= needed
            for number in costs.keys() | uncertain_costs.keys()
        )
        return (fits or waited_us >= self.channel_drain_us) and (
            within_limit or waited_us >= self.fleet.settings.messages_window_us
        )

    def expire(self) -> None:
        """Stop counting the lines of retransmissions that can no longer be in the channel.

        A retransmission remains unacknowledged at a proxy that it did not reach, for example because the
        relay rejected a command.
        """
        while self.transmissions and self.transmissions[0].expires_us <= self.fleet.clock.now:
            expired = self.transmissions.popleft()
            for number in expired.proxies:
                self.publisher.discard_message(number, expired.nonce)
