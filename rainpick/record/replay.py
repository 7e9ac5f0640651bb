"""Replay of a recorded day: its events go to the decisions again, and the orders are compared one by one.

Free of sockets and clocks.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.record.compare import Comparison, ComparisonResult
from rainpick.record.incarnations import MissingSteps
from rainpick.record.steps import Incarnation, Step


class Difference(NamedTuple):
    """The first step of an incarnation in which the orders are not the same."""

    step: int  # its number, from 1
    now: int
    events_before: list[Any]  # of the previous step
    events: list[Any]
    recorded: list[Any]  # orders that were given and are not in the replay
    replayed: list[Any]  # orders of the replay that were not given


class ReplayResult(NamedTuple):
    """What the replay of an incarnation gave."""

    incarnation: Incarnation
    steps: int
    orders: int  # recorded ones
    differing: int  # steps with other orders
    first_difference: Difference | None
    comparison: ComparisonResult | None  # None unless it was asked for
    missing: MissingSteps | None  # where the replay ended early
    last_us: int  # the director's clock at the last step


class Replay:
    """The replay of one incarnation, step by step.

    ``make_director`` makes the decisions that replay it. ``changes`` are settings, by the decisions' names,
    that replace recorded ones; ``replace`` takes the place of all of them. With ``compare`` the two streams
    of orders are compared in users' terms.
    """

    def __init__(
        self,
        incarnation: Incarnation,
        make_director: Callable[[], Director] = Director,
        changes: dict[str, Any] | None = None,
        replace: dict[str, Any] | None = None,
        compare: bool = False,
    ):
        self.incarnation, self.director, self.compare = incarnation, make_director(), compare
        self.changes, self.replace = changes or {}, replace
        self.steps = self.orders = self.differing = 0
        self.first_difference: Difference | None = None
        self.missing: MissingSteps | None = None
        self.comparison: Comparison | None = None
        self.last_step: Step | None = None

    def apply(self, step: Step | MissingSteps) -> None:
        """Replay the next step. After missing steps the rest of the incarnation is left out."""
        if self.missing is not None:
            return
        if isinstance(step, MissingSteps):
            self.missing = step
            return
        events = step.events
        if events and type(events[0]) is model.Started:
            events = [self.start(step.now, events[0]), *events[1:]]
        replayed = self.director.step(step.now, events)
        self.steps += 1
        self.orders += len(step.orders)
        if self.comparison:
            self.comparison.apply(step.now, step.events, step.orders, replayed)
        if list(replayed) != step.orders:
            self.differing += 1
            if self.first_difference is None:
                self.first_difference = self.difference(step, events, replayed)
        self.last_step = step

    def start(self, now: int, event: model.Started) -> model.Started:
        """The first event, with the settings of the replay."""
        recorded = event.settings
        replayed = (recorded if self.replace is None else self.replace) | self.changes
        self.comparison = Comparison(now, recorded, replayed) if self.compare else None
        return event._replace(settings=replayed)

    def difference(self, step: Step, events: list[Any], replayed: list[Any]) -> Difference:
        """How the orders of a step differ."""
        return Difference(
            self.steps,
            step.now,
            self.last_step.events if self.last_step else [],
            events,
            [order for order in step.orders if order not in replayed],
            [order for order in replayed if order not in step.orders],
        )

    def result(self) -> ReplayResult:
        """The result up to the last step that was applied."""
        return ReplayResult(
            self.incarnation,
            self.steps,
            self.orders,
            self.differing,
            self.first_difference,
            self.comparison.result() if self.comparison else None,
            self.missing,
            self.last_step.now if self.last_step else self.incarnation.now,
        )


def replay_incarnation(
    incarnation: Incarnation,
    steps: Iterable[Step | MissingSteps],
    make_director: Callable[[], Director] = Director,
    changes: dict[str, Any] | None = None,
    replace: dict[str, Any] | None = None,
    compare: bool = False,
) -> ReplayResult:
    """Replay an incarnation from its start to its end; the parameters are those of ``Replay``."""
    replay = Replay(incarnation, make_director, changes, replace, compare)
    for step in steps:
        replay.apply(step)
    return replay.result()
