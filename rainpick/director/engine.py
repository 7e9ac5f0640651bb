"""The engine: one ``Director``, its timers, its tables and its channel, driven by a clock that is handed in.

Free of I/O, so that the daemon, an emulator and a replay drive the very same thing. All events that wait are
handed to the decisions in one step; what they order becomes one message for each proxy concerned, and
``Write`` says what leaves now.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple, cast

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.director.addresses import Key
from rainpick.director.channel import Channel, PendingMessage
from rainpick.director.snapshots import Delta, Scale, Snapshot
from rainpick.director.stepper import Command, Stepper
from rainpick.director.tables import ProxyCommands, Tables
from rainpick.settings import Settings, decision_settings

ACKNOWLEDGEMENT_DELAY_US = 5_000  # the decisions may learn so late that messages were delivered
MAX_NOTES = 100  # newest log messages of the decisions that are retained
LoadReport = model.ServerLoadReport | model.RouteLoadReport


class Write(NamedTuple):
    """A message that leaves now. ``number`` counts a proxy's messages; ``confirm_delivery`` wants it back."""

    proxy: int
    number: int
    delta: Delta  # the lines to send
    before: Snapshot  # what the proxy held
    after: Snapshot  # what it holds with these lines
    commands: ProxyCommands | None = None  # if they are new to a proxy that takes them


class SentMessage(NamedTuple):
    """A message that has not been delivered yet."""

    number: int
    nonces: list[int]  # acknowledgements that are due once it is delivered
    sent_us: int


class SentMessages:
    """The messages to one proxy: how many there were, and which have not been delivered."""

    __slots__ = ("count", "undelivered")

    def __init__(self) -> None:
        self.count = 0
        self.undelivered: deque[SentMessage] = deque()

    def add(self, nonces: list[int], now: int) -> int:
        """A message leaves; its number."""
        self.count += 1
        self.undelivered.append(SentMessage(self.count, nonces, now))
        return self.count


class Counts:
    """What the engine did; the names are those of the status front."""

    def __init__(self) -> None:
        self.messages = 0
        self.lines = 0
        self.notes = 0  # log messages of the decisions
        self.withdrawn = 0
        self.readmitted = 0
        self.bound = 0

    def add_command(self, command: Command) -> None:
        """Count what a command does."""
        if isinstance(command, model.SetWithdrawn):
            if command.withdrawn:
                self.withdrawn += 1
            else:
                self.readmitted += 1
        elif isinstance(command, model.BindProxy):
            self.bound += 1


def withdraws(command: Command) -> bool:
    """Whether a command takes a server away from proxies: its messages are urgent."""
    if isinstance(command, model.SetWeight):
        return command.weight <= 0
    return isinstance(command, model.SetWithdrawn) and command.withdrawn


class Engine:
    """Events in, messages out. ``module`` is the class of the decisions: tests put a double there."""

    def __init__(self, settings: Settings, seed: int, now: int, module: Callable[[], Director] = Director):
        self.settings = settings
        self.stepper = Stepper(seed, decision_settings(settings), module)
        channel = settings.channel
        self.channel = Channel(
            channel.lines_per_s, channel.head_lines, channel.messages_most, channel.messages_over
        )
        self.listed: dict[Key, model.Endpoint] = {}  # servers that are gone stay, in that state
        self.tables = Tables(Scale(settings.fleet.weight_most), self.listed_weight)
        self.acknowledgements: list[model.Acknowledged] = []  # for the next step
        self.acknowledgements_since_us = now  # since when the first of them waits
        self.sent: dict[int, SentMessages] = {}  # by joined proxy
        self.counts = Counts()
        self.notes: deque[str] = deque(maxlen=MAX_NOTES)
        self.now = now

    def listed_weight(self, server: Key) -> float:
        """The weight of a server in the endpoint list; 1 for one that was never listed."""
        entry = self.listed.get(server)
        return entry.weight if entry else 1.0

    # Events

    def update_endpoints(self, update: model.EndpointUpdate) -> None:
        """The endpoint list, or a part of it, has changed."""
        for entry in update.endpoints:
            self.listed[cast(Key, entry.address)] = entry
        self.stepper.pending_events.append(update)

    def join(
        self,
        proxy: int,
        fresh: bool,
        rate: float,
        zone: int,
        initial_servers: Iterable[Key],
        takes_commands: bool = False,
        resumed: Snapshot | None = None,
    ) -> None:
        """A proxy has joined.

        ``fresh``: it holds no table that the decisions know of; ``rate``: its requests a second.
        ``resumed``: the version of a table that it has proved to hold.
        """
        self.tables.join(proxy, initial_servers, takes_commands, resumed)
        self.channel.join(proxy)
        self.sent[proxy] = SentMessages()
        self.stepper.pending_events.append(model.ProxyJoined(proxy, fresh, rate, zone))

    def leave(self, proxy: int) -> None:
        """A proxy has left; does nothing for one that is not joined."""
        if proxy not in self.sent:
            return
        self.tables.leave(proxy)
        self.channel.leave(proxy)
        del self.sent[proxy]
        self.acknowledgements = [answer for answer in self.acknowledgements if answer.proxy != proxy]
        self.stepper.pending_events.append(model.ProxyLeft(proxy))

    def add_load_reports(self, reports: Iterable[LoadReport]) -> None:
        """Load reports have come."""
        self.stepper.pending_events += reports

    def confirm_delivery(self, proxy: int, number: int) -> None:
        """Message ``number`` of a proxy, and all before it, have been delivered."""
        sent = self.sent.get(proxy)
        while sent and sent.undelivered and sent.undelivered[0].number <= number:
            message = sent.undelivered.popleft()
            self.acknowledge(proxy, message.nonces, self.now - message.sent_us)

    def acknowledge(self, proxy: int, nonces: list[int], delay_us: int) -> None:
        """Have the decisions told, in one of the next steps, that what they marked is delivered."""
        if nonces and not self.acknowledgements:
            self.acknowledgements_since_us = self.now
        self.acknowledgements += [model.Acknowledged(proxy, nonce, delay_us) for nonce in nonces]

    def poll(self, proxy: int) -> tuple[int, Delta]:
        """A proxy polls: the number of the answer, and the lines that are new in it."""
        delta = self.tables.advance(proxy)
        number = self.sent[proxy].add(self.channel.remove(proxy), self.now)
        return number, delta

    def add_initial_servers(self, proxy: int, servers: Iterable[Key]) -> None:
        """A joined proxy says that it holds further servers from before."""
        lines = self.tables.extend(proxy, servers)
        if lines:
            self.channel.enqueue(proxy, lines, True, None, self.now)

    def distrust(self, proxy: int) -> None:
        """A proxy says that it does not hold what it should: it is sent the whole table, at the pace."""
        self.channel.enqueue(proxy, self.tables.distrust(proxy), False, None, self.now)

    def table_changed(self, table: int) -> None:
        """Operators changed what is published of a table: its proxies are due a message."""
        self.tables.snapshots.pop(table, None)
        for proxy in self.tables.bound.get(table, ()):
            self.channel.enqueue(proxy, 1, False, None, self.now)

    def set_blocked(self, proxy: int, blocked: bool) -> None:
        """A proxy's socket takes nothing for now, or does so again."""
        self.channel.set_blocked(proxy, blocked)

    # The clock

    def due_us(self) -> int | None:
        """When ``advance`` is next wanted, if nothing happens before."""
        times = [self.stepper.due_us(), self.channel.due_us(self.now)]
        if self.stepper.pending_events:
            times.append(self.now)
        elif self.acknowledgements:
            times.append(self.acknowledgements_since_us + ACKNOWLEDGEMENT_DELAY_US)
        return min((time_us for time_us in times if time_us is not None), default=None)

    def advance(self, now: int) -> Iterator[Write]:
        """Hand the decisions all that waits, in one step; then the messages that leave now, one by one."""
        self.now = max(self.now, now)
        self.stepper.fire_timers(self.now)
        overdue = self.now >= self.acknowledgements_since_us + ACKNOWLEDGEMENT_DELAY_US
        if self.stepper.pending_events or self.acknowledgements and overdue:
            acknowledgements, self.acknowledgements = self.acknowledgements, []
            self.carry_out(self.stepper.step(self.now, acknowledgements))
        while (message := self.channel.dequeue(self.now)) is not None:
            write = self.write(message)
            if write is not None:
                yield write

    def carry_out(self, commands: list[Command]) -> None:
        """Carry out the commands of one step; each proxy concerned is due one message with all of them."""
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
            costs = self.apply_command(command)
            for proxy, lines in costs.items():
                lines_by_proxy[proxy] = lines_by_proxy.get(proxy, 0) + lines
            if withdraws(command):
                urgent.update(costs)
        for proxy, lines in lines_by_proxy.items():
            self.channel.enqueue(proxy, lines, proxy in urgent, nonce, self.now)

    def apply_command(self, command: Command) -> dict[int, int]:
        """Apply a command to the tables; by proxy concerned, how many lines it costs there."""
        if isinstance(command, model.SetAdmission):
            return self.tables.set_admission(command, len(self.settings.routes))
        return self.tables.carry_out(command)

    def write(self, message: PendingMessage) -> Write | None:
        """The newest state for a proxy whose turn it is; None if an earlier message carried it already."""
        proxy = self.tables.proxies[message.proxy]
        sent = self.sent[message.proxy]
        before = proxy.snapshot
        delta = self.tables.advance(message.proxy)
        commands = self.new_commands(message.proxy)
        lines = len(delta.withdrawn) + len(delta.others) + (commands is not None)
        if not lines:
            # The delivery of the earlier message, if that is still to come, answers these nonces too.
            if sent.undelivered:
                sent.undelivered[-1].nonces.extend(message.nonces)
            else:
                self.acknowledge(message.proxy, message.nonces, 0)
            return None
        number = sent.add(message.nonces, self.now)
        self.channel.sent(message.proxy, lines, self.now)
        self.counts.messages += 1
        self.counts.lines += lines
        return Write(message.proxy, number, delta, before, proxy.snapshot, commands)

    def new_commands(self, number: int) -> ProxyCommands | None:
        """The commands of a proxy that takes them, if it was not sent the same before; it counts as sent."""
        proxy = self.tables.proxies[number]
        if proxy.commands is None:
            return None
        commands = self.tables.commands_for(proxy)
        if commands == proxy.commands:
            return None
        proxy.commands = commands
        return commands
