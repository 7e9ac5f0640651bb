"""Writes the commands of a step, within the send queue's limit and each proxy's allowance of messages.

One reply of a step is one message to each proxy that it reaches. A message costs its head and the lines of
its commands, and is counted until the proxy has acknowledged it.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.proxies import MessageLimit, ProxyGroup, ProxyState, SentMessage
from rainpick.decisions.send_queue import Claim, Claims, SendQueue
from rainpick.decisions.settings import UPDATE_INTERVAL_US, DecisionSettings
from rainpick.decisions.tables import Table
from rainpick.model import (
    ALL_ROUTES,
    Acknowledged,
    BindProxy,
    RequestAcknowledgement,
    SetAdmission,
    SetWeight,
    SetWithdrawn,
)

NONCES = 65536
AHEAD_INTERVALS = 1.5  # update intervals of the channel's pace that are written ahead: a step may be late
AHEAD_DELAYS = 2  # and so many delivery delays of it: what is on its way or not acknowledged yet
QUEUE_GRACE_FRACTION = 0.5  # binds and weight updates fill a queue that lasts for this part of the grace
UPDATE_QUEUE_FRACTION = 0.5  # of that, and of the span written ahead: what weight updates leave to others
UPDATE_MESSAGES = 3  # that a proxy must have left for a weight update, for an ejection, for an admission rate
EJECTION_MESSAGES = 2
ADMISSION_MESSAGES = 2

TableCommand = SetWeight | SetWithdrawn | SetAdmission


def make_claims(settings: DecisionSettings) -> Claims:
    """What each kind of command may fill of the send queue."""
    limit = settings.channel_lines_max
    capacity = min(limit, QUEUE_GRACE_FRACTION * settings.grace_lines)
    bind = Claim(1, limit - (1 + UPDATE_QUEUE_FRACTION) / 2 * capacity, 1.0)
    return Claims(
        rule=Claim(1, 0, None),
        drain=Claim(1, 0, 1.0),
        bind=bind,
        ejection=bind._replace(messages=EJECTION_MESSAGES),
        admission=Claim(ADMISSION_MESSAGES, 0, None),
        update=Claim(UPDATE_MESSAGES, limit - UPDATE_QUEUE_FRACTION * capacity, UPDATE_QUEUE_FRACTION),
    )


class Publisher:
    """Owns the send queue and the commands of the step under way."""

    def __init__(self, fleet: Fleet):
        settings = fleet.settings
        self.fleet = fleet
        self.claims = make_claims(settings)
        ahead_us = AHEAD_INTERVALS * UPDATE_INTERVAL_US + AHEAD_DELAYS * settings.delivery_delay_us
        self.queue = SendQueue(settings.channel_lines_max, ahead_us * settings.channel_lines_per_s / 1e6)
        self.head_lines = settings.message_head_lines
        self.message_limit = MessageLimit(settings)
        self.nonce = 0
        self.commands: list[object] = []
        self.written: list[tuple[ProxyState, int]] = []  # proxies and the lines of their messages

    # Events

    def acknowledged(self, event: Acknowledged) -> None:
        """A proxy has applied a message, and so all before it."""
        proxy = self.fleet.proxies.get(event.proxy)
        while proxy and any(message.nonce == event.nonce for message in proxy.unacknowledged):
            message = proxy.unacknowledged.popleft()
            self.queue.acknowledge(message.nonce, message.lines)

    def retransmitted(self, nonce: int) -> None:
        """A reply is sent again: its lines may wait twice, and each proxy it reached has a message less."""
        for proxy in self.fleet.proxies.values():
            lines = next((sent.lines for sent in proxy.unacknowledged if sent.nonce == nonce), 0)
            if lines:
                proxy.unacknowledged.appendleft(SentMessage(nonce, lines))
                self.queue.retransmit(lines)
                proxy.message_tokens -= 1

    # The reply under way

    def begin(self) -> None:
        """Begin the messages of a step."""
        self.queue.begin()

    def available_messages(self, proxy: ProxyState) -> float:
        """Messages that may be sent to a proxy now."""
        return self.message_limit.available(proxy, self.fleet.clock.now)

    def cost(self, groups: Iterable[ProxyGroup], lines: int) -> int:
        """Lines of the queue that so many lines for each proxy of some groups take, heads included."""
        return sum(
            len(group.proxies) * (lines + (0 if group.pending_lines else self.head_lines)) for group in groups
        )

    def is_allowed(self, groups: Iterable[ProxyGroup], claim: Claim) -> bool:
        """Whether each proxy of some groups may be sent a message, or has one in this step already."""
        needed = min(claim.messages, self.message_limit.burst)
        return all(
            self.available_messages(proxy) >= needed
            for group in groups
            if not group.pending_lines
            for proxy in group.proxies.values()
        )

    def write(
        self, commands: Iterable[TableCommand], groups: Sequence[ProxyGroup], lines: int, claim: Claim
    ) -> bool:
        """Write commands, so many lines to each proxy of some groups; False if there is no capacity."""
        cost = self.cost(groups, lines)
        if not self.queue.fits(cost, claim) or not self.is_allowed(groups, claim):
            return False
        self.queue.plan(cost)
        self.commands += commands
        for group in groups:
            group.pending_lines += lines if group.proxies else 0
        return True

    def can_bind(self, proxy: ProxyState, lines: int) -> bool:
        """Whether a proxy may be bound with a message of so many lines."""
        return self.queue.fits(lines, self.claims.bind) and self.available_messages(proxy) >= 1

    def bind(self, proxy: ProxyState, table: Table, lines: int) -> None:
        """Bind a proxy to a table; ``lines`` is the size of the message."""
        self.commands.append(BindProxy(table.number, ALL_ROUTES, proxy.number))
        self.written.append((proxy, lines + proxy.group.pending_lines))
        table.proxies[proxy.number] = proxy.group.proxies.pop(proxy.number)
        proxy.group = table
        self.queue.plan(lines)

    def finish(self) -> None:
        """Ask for an acknowledgement of the reply, and count its messages until they are acknowledged."""
        for group in (*self.fleet.tables, *self.fleet.unbound_groups()):
            lines = group.pending_lines
            group.pending_lines = 0
            if lines:
                self.written += [(proxy, lines + self.head_lines) for proxy in group.proxies.values()]
        self.nonce = (self.nonce + 1) % NONCES
        if not self.written:
            return
        self.commands.append(RequestAcknowledgement(self.nonce, False))
        for proxy, lines in self.written:
            proxy.unacknowledged.append(SentMessage(self.nonce, lines))
            proxy.message_tokens -= 1
        self.queue.write(self.nonce, sum(lines for _, lines in self.written))
        self.written = []
