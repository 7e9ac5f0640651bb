"""A recorded day fed through the module again, its orders compared one by one. Free of sockets and clocks."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.record.compare import Compare, Compared
from rainpick.record.steps import LIFE, LOST, STEP, Life, Reader, Step, StepError, read_life
from rainpick.store import Damage, Gap, Record, Torn


class Hole(NamedTuple):
    """Steps are missing here; the module can't be brought to where it was."""

    why: str


class Difference(NamedTuple):
    """The first step of a life in which the orders are not the same."""

    step: int
    now: int
    before: list  # what the module was told in the step before
    heard: list  # and in this one
    recorded: list  # orders that were given and would not be
    replayed: list  # orders that would be given and were not


class Played(NamedTuple):
    """A life played again."""

    life: Life
    steps: int
    orders: int
    differing: int  # steps with other orders
    first: Difference | None
    compared: Compared | None
    hole: Hole | None
    last_us: int


def lives(found: Iterable[Record | Damage | Torn | Gap]) -> Iterator[tuple[Life, Iterator[Step | Hole]]]:
    """The lives in a record, each with its steps; read one to its end before the next."""
    found = iter(found)
    ahead: list = []

    def steps(reader: Reader) -> Iterator[Step | Hole]:
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
                    yield reader.step(one.payload)
                except StepError as flaw:
                    yield Hole(str(flaw))

    for _ in steps(Reader()):
        pass  # steps of a life whose beginning is no longer kept
    while ahead:
        life = read_life(ahead.pop().payload)
        yield life, steps(Reader(life.types))


def nth(found: Callable[[], Iterable[Any]], number: int) -> tuple[Life, Iterator[Step | Hole]]:
    """A life of a record by its number, from the end if it is negative. ``LookupError`` if there is none."""
    many = 0
    for _, steps in lives(found()):
        many += 1
        deque(steps, maxlen=0)
    if not -many <= number < many:
        raise LookupError(f"there are {many} lives, none has number {number}")
    for place, (life, steps) in enumerate(lives(found())):
        if place == number % many:
            return life, steps
        deque(steps, maxlen=0)
    raise LookupError("the record was cut meanwhile")


class Playing:
    """A life under way: ``take`` its steps one by one, then ask what was ``played``.

    ``changes``: settings, by the module's names, that are other now; ``replace``: all of them. With
    ``compare`` the two streams of orders are told in users' terms.
    """

    def __init__(
        self,
        life: Life,
        module: Callable[[], Director] = Director,
        changes: dict[str, Any] | None = None,
        replace: dict[str, Any] | None = None,
        compare: bool = False,
    ):
        self.life, self.director, self.compare = life, module(), compare
        self.changes, self.replace = changes or {}, replace
        self.steps = self.orders = self.differing = 0
        self.first: Difference | None = None
        self.hole: Hole | None = None
        self.sides: Compare | None = None
        self.last: Step | None = None

    def take(self, one: Step | Hole) -> None:
        """After a hole the rest of the life can't be played: it is left out."""
        if isinstance(one, Hole):
            self.hole = self.hole or one
        if self.hole is not None:
            return
        events = one.events
        if events and type(events[0]) is model.Started:
            old = events[0].settings
            new = (old if self.replace is None else self.replace) | self.changes
            events = [events[0]._replace(settings=new), *events[1:]]
            self.sides = Compare(one.now, old, new) if self.compare else None
        given = self.director.step(one.now, events)
        self.steps, self.orders = self.steps + 1, self.orders + len(one.orders)
        if self.sides:
            self.sides.take(one.now, one.events, one.orders, given)
        if list(given) != one.orders:
            self.differing += 1
            if self.first is None:
                before = self.last.events if self.last else []
                gone = [order for order in one.orders if order not in given]
                fresh = [order for order in given if order not in one.orders]
                self.first = Difference(self.steps, one.now, before, events, gone, fresh)
        self.last = one

    def played(self) -> Played:
        return Played(
            self.life,
            self.steps,
            self.orders,
            self.differing,
            self.first,
            self.sides.result() if self.sides else None,
            self.hole,
            self.last.now if self.last else self.life.now,
        )


def play(life: Life, steps: Iterable[Step | Hole], *how: Any, **words: Any) -> Played:
    """Feed a life to a fresh module; the rest as for ``Playing``."""
    playing = Playing(life, *how, **words)
    for one in steps:
        playing.take(one)
    return playing.played()
