"""Writes the commands of a step, as far as the send queue and the message limit of each proxy allow.

The reply of a step is one message to each proxy that it reaches. A message consists of the lines of its head
and of its commands. These lines count as waiting until the proxy has acknowledged the message.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from rainpick.decisions.channel_progress import ChannelProgress
from rainpick.decisions.channel_statistics import ChannelStatistics, Limit
from rainpick.decisions.fleet import Fleet
from rainpick.decisions.proxies import MessageLimit, ProxyGroup, ProxyState, SentMessage
from rainpick.decisions.reply_costs import ReplyCosts
from rainpick.decisions.send_queue import Quota, Quotas, SendQueue
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

NONCE_COUNT = 65536
# The send window is the number of lines that the channel sends during WINDOW_UPDATE_INTERVALS update
# intervals, since a step may be late, plus WINDOW_DELIVERY_DELAYS delivery delays, for lines in transit and
# for lines that were delivered but are not acknowledged yet.
WINDOW_UPDATE_INTERVALS = 1.5
WINDOW_DELIVERY_DELAYS = 2
# Time within which the acknowledgement of a line arrives after the line has left the channel: delivery
# delays, as some are far over the mean, and update intervals, since reading may be late on a busy machine.
TIMEOUT_UPDATE_INTERVALS = 2
TIMEOUT_DELIVERY_DELAYS = 4
# Part of the queue limit that is assumed to leave the channel at the first pace without acknowledgements.
SILENT_QUEUE_FRACTION = 0.25
# The queue capacity for binds, ejections and weight updates is the number of lines that leave the channel
# within QUEUE_GRACE_FRACTION of the drain grace. Weight updates fill at most UPDATE_QUEUE_FRACTION of this
# capacity and of the send window; binds and ejections fill half of the remaining capacity as well.
QUEUE_GRACE_FRACTION = 0.5
UPDATE_QUEUE_FRACTION = 0.5
# A command of one of these kinds is sent to a proxy only if this many messages are available to the proxy.
UPDATE_MESSAGES_MIN = 3
EJECTION_MESSAGES_MIN = 2
ADMISSION_MESSAGES_MIN = 2
RETRANSMISSION_KIND = "retransmission"  # in statistics: lines of calls that are sent again

TableCommand = SetWeight | SetWithdrawn | SetAdmission


def make_quotas(settings: DecisionSettings) -> Quotas:
    """Return the quota of the send queue for each kind of command."""
    limit = settings.channel_lines_max
    capacity = min(limit, QUEUE_GRACE_FRACTION * settings.grace_lines)
    bind = Quota(1, limit - (1 + UPDATE_QUEUE_FRACTION) / 2 * capacity, 1.0, "bind", precedes_uncertain=True)
    update_reserve = limit - UPDATE_QUEUE_FRACTION * capacity
    return Quotas(
        rule=Quota(1, 0, None, "rule"),
        drain=Quota(1, 0, 1.0, "drain"),
        bind=bind,
        ejection=Quota(EJECTION_MESSAGES_MIN, bind.reserve, 1.0, "ejection"),
        admission=Quota(ADMISSION_MESSAGES_MIN, 0, None, "admission"),
        update=Quota(UPDATE_MESSAGES_MIN, update_reserve, UPDATE_QUEUE_FRACTION, "update"),
    )


def acknowledgement_timeout_us(settings: DecisionSettings) -> int:
    """Return the time within which a line that has left the channel is acknowledged, if it ever is."""
    return (
        TIMEOUT_UPDATE_INTERVALS * UPDATE_INTERVAL_US + TIMEOUT_DELIVERY_DELAYS * settings.delivery_delay_us
    )


class Publisher:
    """Owns the send queue and the commands of the current step."""

    def __init__(self, fleet: Fleet):
        settings = fleet.settings
        self.fleet = fleet
        self.quotas = make_quotas(settings)
        window_us = (
            WINDOW_UPDATE_INTERVALS * UPDATE_INTERVAL_US + WINDOW_DELIVERY_DELAYS * settings.delivery_delay_us
        )
        lines_per_us = settings.channel_lines_per_s / 1e6
        self.queue = SendQueue(
            settings.channel_lines_max,
            window_us * lines_per_us,
            ChannelProgress(
                lines_per_us,
                acknowledgement_timeout_us(settings),
                SILENT_QUEUE_FRACTION * settings.channel_lines_max,
            ),
        )
        self.statistics = ChannelStatistics()
        self.expired_lines = 0  # number of lines so far whose acknowledgements were overdue
        self.expired_us = fleet.clock.now  # when overdue messages were last looked for
        self.head_lines = settings.message_head_lines
        self.message_limit = MessageLimit(settings)
        self.nonce = 0
        self.commands: list[object] = []
        self.written: list[tuple[ProxyState, int]] = []  # proxies, and the number of lines sent to each
        self.bound: list[tuple[int, Table]] = []  # numbers of the proxies bound in this step, with tables
        self.reply_costs = ReplyCosts(settings.channel_lines_max)
        self.uncertain_costs = ReplyCosts(settings.channel_lines_max)  # of messages to unbound proxies
        self.repeated_costs = ReplyCosts(settings.channel_lines_max)  # see take_repeated_lines

    # Events

    def acknowledged(self, event: Acknowledged) -> None:
        """Record that a proxy has applied a message and all messages before it."""
        if proxy := self.fleet.proxies.get(event.proxy):
            messages = proxy.acknowledge(event.nonce)
            is_uncertain = bool(proxy.uncertain) and self.acknowledged_uncertain(proxy, event.nonce)
            self.statistics.unmatched_acknowledgements += not messages and not is_uncertain
            for message in messages:
                self.queue.acknowledge(message.nonce, message.lines)

    def acknowledged_uncertain(self, proxy: ProxyState, nonce: int) -> bool:
        """Stop counting a proxy's uncertain messages up to a reply that it acknowledged; return if any."""
        position = self.queue.end_of(nonce)
        applied = [message for message in proxy.uncertain if self.queue.end_of(message.nonce) <= position]
        for message in applied:
            proxy.uncertain.remove(message)
            if message.nonce == nonce:
                self.queue.acknowledge_uncertain(nonce, message.lines)
            else:
                self.queue.uncertain.release(message.nonce, message.lines)
        return bool(applied)

    def retransmitted(self, nonce: int) -> None:
        """Count the lines and messages of a reply a second time, for the event ``Retransmitted``.

        Each proxy that has not acknowledged its message of the reply is sent another one.
        """
        for proxy in self.fleet.proxies.values():
            lines = next((sent.lines for sent in proxy.unacknowledged if sent.nonce == nonce), 0)
            if lines:
                proxy.unacknowledged.appendleft(SentMessage(nonce, lines))
                self.queue.retransmit(nonce, lines)
                proxy.message_tokens -= 1

    # Retransmissions

    def retransmission_costs(self, nonces: Iterable[int]) -> dict[int, int]:
        """Return the number of lines, by joined proxy, that sending these replies again takes."""
        return self.reply_costs.total(nonces, self.fleet.proxies)

    def repeated_retransmission_costs(self, nonces: Iterable[int]) -> dict[int, int]:
        """Return the same for commands that set up the tables of proxies which these replies bind."""
        return self.repeated_costs.total(nonces, self.fleet.proxies)

    def uncertain_retransmission_costs(self, nonces: Iterable[int]) -> dict[int, int]:
        """Return the same for messages that these replies sent to unbound proxies, which get some of them."""
        return self.uncertain_costs.total(nonces, self.fleet.proxies)

    def retransmit(
        self, previous_nonce: int, costs: Mapping[int, int], uncertain_costs: Mapping[int, int]
    ) -> int:
        """Count a call that is sent again, as one message to each proxy; return its new nonce."""
        nonce = self.next_nonce()
        for number in uncertain_costs.keys() - costs.keys():
            self.fleet.proxies[number].message_tokens -= 1
        for number, lines in costs.items():
            proxy = self.fleet.proxies[number]
            proxy.insert_message(previous_nonce, SentMessage(nonce, lines))
            proxy.message_tokens -= 1
        lines, uncertain = sum(costs.values()), sum(uncertain_costs.values())
        self.statistics.count_written(RETRANSMISSION_KIND, lines + uncertain)
        self.queue.insert(previous_nonce, nonce, lines, uncertain)
        return nonce

    def count_second_messages(self, nonce: int, numbers: Iterable[int], acknowledgements: int) -> None:
        """Count another message, with additional head lines, to each of these proxies for one call.

        ``acknowledgements``: how many more acknowledgements of the call are expected from each of them.
        """
        for number in numbers:
            if proxy := self.fleet.proxies.get(number):
                proxy.split_message(nonce, self.head_lines, acknowledgements)
                proxy.message_tokens -= 1
                self.queue.retransmit(nonce, self.head_lines)

    def count_uncertain_messages(self, nonce: int, numbers: Iterable[int]) -> None:
        """Count another message head to each of these proxies, which may get it, for one call."""
        for number in numbers:
            if proxy := self.fleet.proxies.get(number):
                proxy.message_tokens -= 1
                self.queue.retransmit(nonce, 0, self.head_lines)

    def discard_message(self, number: int, nonce: int) -> None:
        """Stop counting the lines of a message to a proxy unless the proxy has left or acknowledged it."""
        if proxy := self.fleet.proxies.get(number):
            self.queue.forget(proxy.discard_message(nonce))

    def expire_messages(self) -> None:
        """Stop counting messages whose acknowledgements are overdue; looked for once an update interval."""
        now = self.fleet.clock.now
        if (
            not self.queue.waiting
            or not self.queue.progress.is_assumed
            or now < self.expired_us + UPDATE_INTERVAL_US
        ):
            return
        self.expired_us = now
        for proxy in self.fleet.proxies.values():
            if lines := proxy.expire_messages(self.queue.is_overdue):
                self.queue.forget(lines)
                self.expired_lines += lines

    # The reply of the current step

    def begin(self) -> None:
        """Begin the reply of a step."""
        self.queue.begin()

    def available_messages(self, proxy: ProxyState) -> float:
        """Return the number of messages that may be sent to a proxy now."""
        return self.message_limit.available(proxy, self.fleet.clock.now)

    def cost(self, groups: Iterable[ProxyGroup], lines: int) -> int:
        """Return the number of lines needed in the queue to send ``lines`` lines to each proxy of the groups.

        This includes a message head for each proxy that receives no message in this step yet.
        """
        return sum(
            len(group.proxies) * (lines + (0 if group.pending_lines else self.head_lines)) for group in groups
        )

    def is_allowed(self, groups: Iterable[ProxyGroup], quota: Quota) -> bool:
        """Return whether each proxy of the groups may receive a message, or already does in this step."""
        needed = min(quota.messages, self.message_limit.burst)
        return all(
            self.available_messages(proxy) >= needed
            for group in groups
            if not group.pending_lines
            for proxy in group.proxies.values()
        )

    def write(
        self, commands: Iterable[TableCommand], groups: Sequence[ProxyGroup], lines: int, quota: Quota
    ) -> bool:
        """Write commands that take ``lines`` lines in the message to each proxy of the groups.

        Returns False, and writes nothing, if the send queue or the message limit of a proxy does not allow
        it.
        """
        cost = self.cost(groups, lines)
        if limit := self.exceeded_limit(groups, cost, quota):
            self.statistics.count_held_back(quota.kind, limit)
            return False
        self.statistics.count_written(quota.kind, cost)
        unbound = [group for group in groups if group.table_number is None]
        uncertain = self.cost(unbound, lines)
        self.queue.plan(cost - uncertain, uncertain)
        self.commands += commands
        for group in groups:
            group.command_lines += lines
            group.pending_lines += lines if group.proxies else 0
        return True

    def exceeded_limit(self, groups: Sequence[ProxyGroup], cost: int, quota: Quota) -> Limit | None:
        """Return the limit that does not allow a message of ``cost`` lines in total to the groups now."""
        limit = self.queue.exceeded_limit(cost, quota)
        if limit is None and not self.is_allowed(groups, quota):
            limit = Limit.MESSAGES
        return limit

    def can_bind(self, proxy: ProxyState, lines: int) -> bool:
        """Return whether a proxy may be bound with a message of ``lines`` lines."""
        limit = self.queue.exceeded_limit(lines, self.quotas.bind)
        if limit is None and self.available_messages(proxy) < 1:
            limit = Limit.MESSAGES
        if limit:
            self.statistics.count_held_back(self.quotas.bind.kind, limit)
        return limit is None

    def bind(self, proxy: ProxyState, table: Table, lines: int) -> None:
        """Bind a proxy to a table with a message of ``lines`` lines."""
        self.commands.append(BindProxy(table.number, ALL_ROUTES, proxy.number))
        self.written.append((proxy, lines + proxy.group.pending_lines))
        self.bound.append((proxy.number, table))
        table.proxies[proxy.number] = proxy.group.proxies.pop(proxy.number)
        proxy.group = table
        self.statistics.count_written(self.quotas.bind.kind, lines)
        self.queue.plan(lines)

    def finish(self, all_proxies: bool = False) -> None:
        """Request an acknowledgement of the reply, and record its messages until they are acknowledged.

        Only advances the nonce if the reply has no messages. ``all_proxies``: request one also of joined
        proxies that hold no table with the servers of the reply.
        """
        self.written += self.take_messages(self.fleet.tables)
        uncertain = self.take_messages(self.fleet.unbound_groups())
        repeated = self.take_repeated_lines()
        nonce = self.next_nonce()
        if not self.written and not uncertain:
            return
        self.commands.append(RequestAcknowledgement(nonce, all_proxies))
        for proxy, lines in self.written:
            proxy.unacknowledged.append(SentMessage(nonce, lines))
            proxy.message_tokens -= 1
        for proxy, lines in uncertain:
            proxy.uncertain.append(SentMessage(nonce, lines))
            proxy.message_tokens -= 1
        self.queue.write(nonce, sum(lines for _, lines in self.written), sum(lines for _, lines in uncertain))
        self.reply_costs.add(nonce, ((proxy.number, lines) for proxy, lines in self.written))
        self.repeated_costs.add(nonce, repeated)
        self.uncertain_costs.add(nonce, ((proxy.number, lines) for proxy, lines in uncertain))
        self.written = []

    def take_repeated_lines(self) -> list[tuple[int, int]]:
        """Return the lines that sending this step's reply again takes besides those of its messages.

        The proxies that it binds are in their tables when it is executed again. Each is then also sent the
        commands that set its table up before it was bound.
        """
        repeated = [(number, table.command_lines) for number, table in self.bound]
        self.bound = []
        for group in (*self.fleet.tables, *self.fleet.unbound_groups()):
            group.command_lines = 0
        return repeated

    def take_messages(self, groups: Iterable[ProxyGroup]) -> list[tuple[ProxyState, int]]:
        """Return the messages of this step to the proxies of groups, with the lines of each."""
        messages = []
        for group in groups:
            lines, group.pending_lines = group.pending_lines, 0
            if lines:
                messages += [(proxy, lines + self.head_lines) for proxy in group.proxies.values()]
        return messages

    def next_nonce(self) -> int:
        """Advance the nonce and return it."""
        self.nonce = (self.nonce + 1) % NONCE_COUNT
        return self.nonce
