"""A recorded day fed through the module again, its orders compared one by one. Free of sockets and clocks."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from rainpick import interface as api
from rainpick.balance import Director
from rainpick.record.steps import LIFE, LOST, STEP, Life, Step, StepError, read_life, read_step
from rainpick.store import Damage, Gap, Record, Torn


class Hole(NamedTuple):
    """Steps are missing here; the module can't be brought to where it was."""

    why: str


class Difference(NamedTuple):
    """The first step of a life in which the orders are not the same."""

    step: int
    now: int
    heard: list  # what the module was told in that step
    recorded: list  # orders that were given and would not be
    replayed: list  # orders that would be given and were not


class Played(NamedTuple):
    """A life played again."""

    life: Life
    steps: int
    orders: int
    differing: int  # steps with other orders
    first: Difference | None
    before: Counter  # orders by kind as recorded
    after: Counter  # and as replayed
    weights: dict  # by server: (mean weight as recorded, as replayed)
    hole: Hole | None
    last_us: int


def lives(found: Iterable[Record | Damage | Torn | Gap]) -> Iterator[tuple[Life, Iterator[Step | Hole]]]:
    """The lives in a record, each with its steps; read one to its end before the next."""
    found = iter(found)
    ahead: list = []

    def steps() -> Iterator[Step | Hole]:
        for one in found:
            if not isinstance(one, Record):
                if not isinstance(one, Torn):
                    yield Hole(f"{type(one).__name__.lower()}: {tuple(one)}")
                continue
            if one.kind == LIFE:
                ahead.append(one)
                return
            if one.kind == LOST:
                yield Hole(f"{one.payload.decode()} steps were not recorded")
            elif one.kind == STEP:
                try:
                    yield read_step(one.payload)
                except StepError as flaw:
                    yield Hole(str(flaw))

    for _ in steps():
        pass  # steps of a life whose beginning is no longer kept
    while ahead:
        yield read_life(ahead.pop().payload), steps()


class Weights:
    """By server the weight that all tables together give it, and its mean over time."""

    def __init__(self) -> None:
        self.lines: dict[Any, dict[int, float]] = {}
        self.shut: set = set()
        self.sums: dict[Any, float] = {}
        self.now: dict[Any, float] = {}
        self.since: dict[Any, int] = {}

    def take(self, at: int, orders: list) -> None:
        for order in orders:
            kind = type(order)
            if kind is api.SetLine:
                self.lines.setdefault(order.server, {})[order.table] = order.weight
            elif kind is api.Withdraw:
                (self.shut.add if order.on else self.shut.discard)(order.server)
            else:
                continue
            self.settle(order.server, at)
            open_now = order.server not in self.shut
            self.now[order.server] = sum(self.lines.get(order.server, {}).values()) if open_now else 0.0

    def settle(self, server: Any, at: int) -> None:
        passed = at - self.since.get(server, at)
        self.sums[server] = self.sums.get(server, 0.0) + passed * self.now.get(server, 0.0)
        self.since[server] = at

    def means(self, begin: int, end: int) -> dict[Any, float]:
        for server in list(self.since):
            self.settle(server, end)
        return {server: total / max(1, end - begin) for server, total in self.sums.items()}


def play(life: Life, steps: Iterable[Step | Hole], module: Callable[[], Director] = Director,
         changes: dict[str, Any] | None = None) -> Played:
    """Feed a life to a fresh module. ``changes``: settings, by the module's names, that are other now."""
    director = module()
    count = orders = differing = 0
    first, hole, begin, end = None, None, life.now, life.now
    before, after = Counter(), Counter()
    recorded, replayed = Weights(), Weights()
    for one in steps:
        if isinstance(one, Hole):
            hole = hole or one
            continue
        if hole is not None:
            continue  # the rest of this life can't be played
        events = one.events
        if changes and events and type(events[0]) is api.Started:
            events = [events[0]._replace(settings=events[0].settings | changes), *events[1:]]
        given = director.step(one.now, events)
        count, orders, end = count + 1, orders + len(one.orders), one.now
        before.update(type(order).__name__ for order in one.orders)
        after.update(type(order).__name__ for order in given)
        recorded.take(one.now, one.orders)
        replayed.take(one.now, given)
        if list(given) != one.orders:
            differing += 1
            if first is None:
                gone = [order for order in one.orders if order not in given]
                fresh = [order for order in given if order not in one.orders]
                first = Difference(count, one.now, events, gone, fresh)
    ours, theirs = replayed.means(begin, end), recorded.means(begin, end)
    weights = {server: (theirs.get(server, 0.0), ours.get(server, 0.0))
               for server in ours.keys() | theirs.keys()}
    return Played(life, count, orders, differing, first, before, after, weights, hole, end)
