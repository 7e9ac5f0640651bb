"""The engine: one ``Director`` with its timers, its tables and its channel, driven by the caller's clock.

``Director`` contains the decision logic of ``rainpick.decisions``. The engine does no I/O, so the daemon and
the emulator run the same code. All pending events are passed to ``Director`` in one step. Its commands become
one message for each affected proxy; ``advance`` yields a message once the channel allows it to be sent.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple, cast

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.director.addresses import Key
from rainpick.director.channel import Channel, PendingMessage
from rainpick.director.engine_counts import Counts, is_withdrawal
from rainpick.director.resynchronisation import Resynchronisations
from rainpick.director.sent_messages import DeliveryTimeout, SentMessages, Transmission
from rainpick.director.snapshots import Delta, Scale, Snapshot
from rainpick.director.stepper import Command, Stepper
from rainpick.director.tables import ProxyCommands, Tables
from rainpick.settings import Settings, decision_settings

ACKNOWLEDGEMENT_DELAY_US = 5_000  # longest delay of ``Acknowledged`` events, which are batched
MAX_LOG_MESSAGES = 100  # number of retained log messages of ``Director``
LoadReport = model.ServerLoadReport | model.RouteLoadReport


class OutgoingMessage(NamedTuple):
    """A message to send to a proxy now.

    ``number`` is its position among the messages to the proxy, from 1, and is passed to ``confirm_delivery``.
    """

    proxy: int
    number: int
    delta: Delta  # the lines of the message
    before: Snapshot  # the lines that the proxy holds before this message
    after: Snapshot  # the lines that the proxy holds after this message
    commands: ProxyCommands | None = None  # None if the commands are unchanged or the proxy takes none


class Engine:
    """Turns events into messages to proxies.

    ``director_factory`` creates the ``Director``; tests replace it.
    """

    def __init__(
        self, settings: Settings, seed: int, now: int, director_factory: Callable[[], Director] = Director
    ):
        self.settings = settings
        self.stepper = Stepper(seed, decision_settings(settings), director_factory)
        channel = settings.channel
        self.channel = Channel(
            channel.lines_per_s, channel.head_lines, channel.messages_most, channel.messages_over
        )
        self.resynchronisations = Resynchronisations()
        self.listed: dict[Key, model.Endpoint] = {}  # endpoint list; removed servers stay in it as GONE
        self.tables = Tables(Scale(settings.fleet.weight_most), self.listed_weight)
        self.acknowledgements: list[model.Acknowledged] = []  # passed to ``Director`` in the next step
        self.acknowledgements_since_us = now  # when the oldest of ``acknowledgements`` was queued
        self.sent: dict[int, SentMessages] = {}  # messages sent, by joined proxy
        self.delivery_timeout = DeliveryTimeout(settings.sasp.write_stall)
        self.counts = Counts()
        self.notes: deque[str] = deque(maxlen=MAX_LOG_MESSAGES)
        self.now = now

    def listed_weight(self, server: Key) -> float:
        """Return the weight of a server in the endpoint list; 1 for a server that was never listed."""
        entry = self.listed.get(server)
        return entry.weight if entry else 1.0

    # Events

    def update_endpoints(self, update: model.EndpointUpdate) -> None:
        """Apply a change of the endpoint list and queue it for the next step."""
        for entry in update.endpoints:
            self.listed[cast(Key, entry.address)] = entry
        self.stepper.pending_events.append(update)

    def join(
        self,
        proxy: int,
        newly_started: bool,
        rate: float,
        zone: int,
        initial_servers: Iterable[Key],
        takes_commands: bool = False,
        resumed: Snapshot | None = None,
    ) -> None:
        """Add a proxy and queue its ``ProxyJoined`` event.

        ``newly_started``: ``Director`` knows of no table that the proxy holds. ``rate``: the usual
        requests a second of the proxy. ``takes_commands``: whether its binding and its admissions are sent to
        it (MQTT only). ``resumed``: the version of a table that the proxy has proved to hold, by its digest.
        """
        self.tables.join(proxy, initial_servers, takes_commands, resumed)
        self.channel.join(proxy)
        self.sent[proxy] = SentMessages()
        self.stepper.pending_events.append(model.ProxyJoined(proxy, newly_started, rate, zone))

    def leave(self, proxy: int) -> None:
        """Remove a proxy and queue its ``ProxyLeft`` event; does nothing if the proxy is not joined."""
        if proxy not in self.sent:
            return
        self.tables.leave(proxy)
        self.channel.leave(proxy)
        self.resynchronisations.leave(proxy)
        del self.sent[proxy]
        self.acknowledgements = [
            acknowledgement for acknowledgement in self.acknowledgements if acknowledgement.proxy != proxy
        ]
        self.stepper.pending_events.append(model.ProxyLeft(proxy))

    def add_load_reports(self, reports: Iterable[LoadReport]) -> None:
        """Queue load reports for the next step."""
        self.stepper.pending_events += reports

    def confirm_delivery(self, proxy: int, number: int) -> None:
        """Record that message ``number`` to a proxy and all earlier ones were delivered."""
        sent = self.sent.get(proxy)
        while sent and sent.undelivered and sent.undelivered[0].number <= number:
            message = sent.undelivered.popleft()
            self.acknowledge(proxy, message.nonces, self.now - message.sent_us)

    def expire_deliveries(self) -> None:
        """Acknowledge messages whose delivery was not confirmed in time.

        They have left the channel. If they stayed counted, proxies whose hosts have vanished would keep the
        channel from all others.
        """
        for proxy, sent, message in self.delivery_timeout.take_overdue(self.now):
            if message.nonces and self.sent.get(proxy) is sent and message in sent.undelivered:
                self.acknowledge(proxy, message.nonces, self.now - message.sent_us)
                message.nonces.clear()

    def send(self, proxy: int, nonces: list[int]) -> int:
        """Record a message that is sent to a proxy now; return its number."""
        sent = self.sent[proxy]
        message = sent.add(nonces, self.now)
        self.delivery_timeout.add(Transmission(proxy, sent, message))
        return message.number

    def acknowledge(self, proxy: int, nonces: list[int], delay_us: int) -> None:
        """Queue ``Acknowledged`` events for these nonces; ``delay_us``: time from sending to delivery."""
        if nonces and not self.acknowledgements:
            self.acknowledgements_since_us = self.now
        self.acknowledgements += [model.Acknowledged(proxy, nonce, delay_us) for nonce in nonces]

    def poll(self, proxy: int) -> tuple[int, Delta]:
        """Return the number of the reply to a proxy's poll, and the lines that the reply must contain.

        These are the lines that changed since the last message to the proxy. The reply replaces the proxy's
        pending message: once the reply is delivered, the nonces of that message are acknowledged.
        """
        delta = self.tables.advance(proxy)
        return self.send(proxy, self.channel.remove(proxy)), delta

    def add_initial_servers(self, proxy: int, servers: Iterable[Key]) -> None:
        """Add servers that a joined proxy held before it joined, and enqueue an urgent message about them."""
        lines = self.tables.extend(proxy, servers)
        if lines:
            self.channel.enqueue(proxy, lines, True, None, self.now)

    def invalidate_snapshot(self, proxy: int) -> None:
        """Request the whole table for a proxy that can't apply an update of the table."""
        self.resynchronisations.request(proxy, self.now)

    def enqueue_whole_tables(self) -> None:
        """Enqueue the whole tables that are due; one that is still pending is not enqueued again."""
        for proxy in self.resynchronisations.take_due(self.now):
            if proxy in self.channel.waiting and not self.tables.proxies[proxy].snapshot.known:
                continue
            lines = self.tables.invalidate_snapshot(proxy)
            self.channel.enqueue(proxy, lines, False, None, self.now)
            cost_us = self.channel.cost_us(lines)
            self.resynchronisations.enqueued(proxy, cost_us, len(self.sent), self.now)

    def table_changed(self, table: int) -> None:
        """Enqueue a message for each proxy of a table whose published lines an operator changed."""
        self.tables.snapshots.pop(table, None)
        for proxy in self.tables.bound.get(table, ()):
            self.channel.enqueue(proxy, 1, False, None, self.now)

    def set_blocked(self, proxy: int, blocked: bool) -> None:
        """Hold back the messages to a proxy that polls or can't receive them now, or release them.

        What is held back does not wait in the channel. Nobody knows when the proxy will poll or read, so it
        is acknowledged to ``Director`` at once.
        """
        self.channel.set_blocked(proxy, blocked)
        if blocked:
            self.acknowledge(proxy, self.channel.take_nonces(proxy), 0)

    # The clock

    def due_us(self) -> int | None:
        """Return when ``advance`` must be called next if no further event arrives; None if never."""
        times = [
            self.stepper.due_us(),
            self.channel.due_us(self.now),
            self.resynchronisations.due_us(),
            self.delivery_timeout.due_us(),
        ]
        if self.stepper.pending_events:
            times.append(self.now)
        elif self.acknowledgements:
            times.append(self.acknowledgements_since_us + ACKNOWLEDGEMENT_DELAY_US)
        return min((time_us for time_us in times if time_us is not None), default=None)

    def advance(self, now: int) -> Iterator[OutgoingMessage]:
        """Pass all pending events to ``Director`` in one step, then yield the messages to send now."""
        self.now = max(self.now, now)
        self.stepper.fire_timers(self.now)
        self.expire_deliveries()
        overdue = self.now >= self.acknowledgements_since_us + ACKNOWLEDGEMENT_DELAY_US
        if self.stepper.pending_events or self.acknowledgements and overdue:
            acknowledgements, self.acknowledgements = self.acknowledgements, []
            self.apply_commands(self.stepper.step(self.now, acknowledgements))
        self.enqueue_whole_tables()
        while (pending := self.channel.dequeue(self.now)) is not None:
            message = self.build_message(pending)
            if message is not None:
                yield message

    def apply_commands(self, commands: list[Command]) -> None:
        """Apply the commands of one step and enqueue a single message for each affected proxy."""
        lines_by_proxy: dict[int, int] = {}
        urgent: set[int] = set()
        nonce = None
        for command in commands:
            if isinstance(command, model.RequestAcknowledgement):
                nonce = command.nonce
                if command.all_proxies:
                    lines_by_proxy = dict.fromkeys(self.sent, 0) | lines_by_proxy
                continue
            if isinstance(command, model.LogMessage):
                self.counts.notes += 1
                self.notes.append(command.text)
                continue
            self.counts.add_command(command)
            line_counts = self.apply_command(command)
            for proxy, lines in line_counts.items():
                lines_by_proxy[proxy] = lines_by_proxy.get(proxy, 0) + lines
            if is_withdrawal(command):
                urgent.update(line_counts)
        for proxy, lines in lines_by_proxy.items():
            blocked = proxy in self.channel.blocked
            if blocked and nonce is not None:
                self.acknowledge(proxy, [nonce], 0)
            self.channel.enqueue(proxy, lines, proxy in urgent, None if blocked else nonce, self.now)

    def apply_command(self, command: Command) -> dict[int, int]:
        """Apply a command to the tables; return the number of changed lines by affected proxy."""
        if isinstance(command, model.SetAdmission):
            return self.tables.set_admission(command, len(self.settings.routes))
        return self.tables.apply(command)

    def build_message(self, pending: PendingMessage) -> OutgoingMessage | None:
        """Build the message that brings a proxy up to date, and record it as sent.

        None if an earlier message has already brought it up to date.
        """
        proxy = self.tables.proxies[pending.proxy]
        sent = self.sent[pending.proxy]
        before = proxy.snapshot
        delta = self.tables.advance(pending.proxy)
        commands = self.new_commands(pending.proxy)
        lines = len(delta.withdrawn) + len(delta.others) + (commands is not None)
        if not lines:
            # No message is needed: acknowledge the nonces when the last message sent is delivered, or now if
            # all messages are delivered.
            if sent.undelivered:
                sent.undelivered[-1].nonces.extend(pending.nonces)
            else:
                self.acknowledge(pending.proxy, pending.nonces, 0)
            return None
        number = self.send(pending.proxy, pending.nonces)
        self.channel.record_sent(pending.proxy, lines, self.now)
        self.counts.messages += 1
        self.counts.lines += lines
        return OutgoingMessage(pending.proxy, number, delta, before, proxy.snapshot, commands)

    def record_additional_lines(self, lines: int) -> None:
        """Record lines that a message was sent in addition to those of its delta."""
        self.channel.record_additional_lines(lines)
        self.counts.lines += lines

    def new_commands(self, number: int) -> ProxyCommands | None:
        """Return the commands for a proxy and record them as sent.

        Returns None if the commands are unchanged or the proxy takes none.
        """
        proxy = self.tables.proxies[number]
        if proxy.commands is None:
            return None
        commands = self.tables.commands_for(proxy)
        if commands == proxy.commands:
            return None
        proxy.commands = commands
        return commands
