"""The engine: one ``Director``, its timers, its tables and its channel, driven by a clock that is handed in.

Free of I/O, so the daemon, an emulator and a replay can drive the very same thing. Everything that waits is
handed to the module in one step; what it orders becomes one message for each proxy concerned, and ``Write``
says what leaves now.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple, cast

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.director.channel import Channel
from rainpick.director.stepper import Stepper
from rainpick.director.tables import Key, Scale, Snapshot, Tables, Way
from rainpick.settings import Settings, plain_map

LAZY_US = 5_000  # what only says that messages have left may wait so long for a step


class Write(NamedTuple):
    """A message to a proxy. ``number`` counts its messages; ``delivered`` wants it back."""

    proxy: int
    number: int
    way: Way
    before: Snapshot
    after: Snapshot
    orders: tuple | None = None  # its table and levels, if they are news to a proxy that obeys them


class Unread:
    """What a proxy was written and has not been delivered yet."""

    __slots__ = ("number", "sent")

    def __init__(self) -> None:
        self.number = 0
        self.sent: deque[tuple[int, list[int], int]] = deque()  # message, marks, when


class Counts:
    """What the engine did, for people to read."""

    def __init__(self) -> None:
        self.messages = self.lines = self.notes = 0
        self.withdrawn = self.readmitted = self.bound = 0


class Engine:
    """Events in, messages out. ``module`` is the decision module's class: tests put a double there."""

    def __init__(self, settings: Settings, seed: int, now: int, module: Callable[[], Director] = Director):
        self.stepper, self.settings = Stepper(seed, plain_map(settings), module), settings
        channel = settings.channel
        self.channel = Channel(
            channel.lines_per_s, channel.head_lines, channel.messages_most, channel.messages_over
        )
        self.listed: dict[Key, model.Endpoint] = {}
        self.tables = Tables(Scale(settings.fleet.weight_most), self.listed_weight)
        self.applied: list[model.Acknowledged] = []
        self.applied_us = now  # since when the first of them waits
        self.unread: dict[int, Unread] = {}
        self.counts, self.notes, self.now = Counts(), deque(maxlen=100), now

    def listed_weight(self, server: Key) -> float:
        entry = self.listed.get(server)
        return entry.weight if entry else 1.0

    # What happens

    def list_changed(self, update: model.EndpointUpdate) -> None:
        for entry in update.endpoints:
            self.listed[cast(Key, entry.address)] = entry
        self.stepper.events.append(update)

    def joined(
        self,
        proxy: int,
        fresh: bool,
        rate: float,
        zone: int,
        standing,
        obeys: bool = False,
        holds: Snapshot | None = None,
    ) -> None:
        self.tables.join(proxy, standing, obeys, holds)
        self.channel.joined(proxy)
        self.unread[proxy] = Unread()
        self.stepper.events.append(model.ProxyJoined(proxy, fresh, rate, zone))

    def left(self, proxy: int) -> None:
        if proxy in self.unread:
            self.tables.leave(proxy)
            self.channel.left(proxy)
            del self.unread[proxy]
            self.applied = [answer for answer in self.applied if answer.proxy != proxy]
            self.stepper.events.append(model.ProxyLeft(proxy))

    def met(self, lines: list) -> None:
        """Lines of reports: ``ServerLoadReport`` and ``RouteLoadReport``."""
        self.stepper.events += lines

    def delivered(self, proxy: int, number: int) -> None:
        """Message ``number`` of a proxy, and all before it, have left the director for good."""
        unread = self.unread.get(proxy)
        while unread and unread.sent and unread.sent[0][0] <= number:
            _, marks, when = unread.sent.popleft()
            self.answer(proxy, marks, self.now - when)

    def answer(self, proxy: int, marks: list[int], took_us: int) -> None:
        if marks and not self.applied:
            self.applied_us = self.now
        self.applied += [model.Acknowledged(proxy, mark, took_us) for mark in marks]

    def pull(self, proxy: int) -> tuple[int, Way]:
        """A proxy asks for what it is to hold: the number of the answer, and the lines that are new in it."""
        way, unread = self.tables.advance(proxy), self.unread[proxy]
        unread.number += 1
        unread.sent.append((unread.number, self.channel.pull(proxy), self.now))
        return unread.number, way

    def holds_more(self, proxy: int, standing) -> None:
        """A proxy says that it holds further servers from before."""
        lines = self.tables.extend(proxy, standing)
        if lines:
            self.channel.order(proxy, lines, True, None, self.now)

    def distrust(self, proxy: int) -> None:
        """A proxy says that it does not hold what it should: it gets the whole table, as the pace allows."""
        self.channel.order(proxy, self.tables.distrust(proxy), False, None, self.now)

    def reordered(self, table: int) -> None:
        """A table changed by people, not by the module: its proxies are due a message."""
        self.tables.snapshots.pop(table, None)
        for proxy in self.tables.bound.get(table, ()):
            self.channel.order(proxy, 1, False, None, self.now)

    def blocked(self, proxy: int, on: bool) -> None:
        """A socket takes nothing for now: its messages wait, and hold up nobody else's."""
        (self.channel.blocked.add if on else self.channel.blocked.discard)(proxy)

    # The clock

    def due_us(self) -> int | None:
        """When ``advance`` is next wanted, if nothing happens before."""
        times = [self.stepper.due_us(), self.channel.due_us(self.now)]
        times += [self.now] if self.stepper.events else [self.applied_us + LAZY_US] if self.applied else []
        return min((when for when in times if when is not None), default=None)

    def advance(self, now: int) -> Iterator[Write]:
        """Let the module take all that waits, in one step; then what is to be written now, one by one."""
        self.now = max(self.now, now)
        self.stepper.ring(self.now)
        if self.stepper.events or self.applied and self.now >= self.applied_us + LAZY_US:
            applied, self.applied = self.applied, []
            self.carry_out(self.stepper.step(self.now, applied))
        yield from self.writes()

    def carry_out(self, orders: list) -> None:
        reached: dict[int, int] = {}
        urgent: set[int] = set()
        mark = None
        for order in orders:
            kind = type(order)
            if kind is model.RequestAcknowledgement:
                mark = order.nonce
                if order.all_proxies:
                    reached = dict.fromkeys(self.unread, 0) | reached
            elif kind is model.LogMessage:
                self.counts.notes += 1
                self.notes.append(order.text)
            else:
                shuts = (
                    kind is model.SetWithdrawn
                    and order.withdrawn
                    or kind is model.SetWeight
                    and order.weight <= 0
                )
                self.counts.withdrawn += kind is model.SetWithdrawn and order.withdrawn
                self.counts.readmitted += kind is model.SetWithdrawn and not order.withdrawn
                self.counts.bound += kind is model.BindProxy
                done = (
                    self.tables.admit(order, len(self.settings.routes))
                    if kind is model.SetAdmission
                    else self.tables.carry_out(order)
                )
                for proxy, lines in done.items():
                    reached[proxy] = reached.get(proxy, 0) + lines
                    if shuts:
                        urgent.add(proxy)
        for proxy, lines in reached.items():
            self.channel.order(proxy, lines, proxy in urgent, mark, self.now)

    def writes(self) -> Iterator[Write]:
        while (message := self.channel.take(self.now)) is not None:
            proxy = message.proxy
            holder, unread = self.tables.proxies[proxy], self.unread[proxy]
            before, way, orders = holder.holds, self.tables.advance(proxy), None
            lines = len(way.shut) + len(way.rest)
            if holder.told is not None and (news := self.tables.orders(holder)) != holder.told:
                holder.told = orders = news
                lines += 1
            if not lines:  # an earlier message carried it; that one's delivery answers these marks, too
                if unread.sent:
                    unread.sent[-1][1].extend(message.marks)
                else:
                    self.answer(proxy, message.marks, 0)
                continue
            unread.number += 1
            unread.sent.append((unread.number, message.marks, self.now))
            self.channel.wrote(proxy, lines, self.now)
            self.counts.messages += 1
            self.counts.lines += lines
            yield Write(proxy, unread.number, way, before, holder.holds, orders)
