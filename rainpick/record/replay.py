"""Replay of a record: its events are fed to the decision modules, and the commands are compared step by step.

Uses no sockets and no clocks.
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
    """The first step of an incarnation in which the replayed commands differ from the recorded ones."""

    step: int  # number of the step in the incarnation, from 1
    now: int  # time of the step, in microseconds of the director's clock
    events_before: list[Any]  # events of the previous step
    events: list[Any]
    recorded: list[Any]  # commands that are only in the record
    replayed: list[Any]  # commands that are only in the replay


class ReplayResult(NamedTuple):
    """Result of the replay of an incarnation."""

    incarnation: Incarnation
    steps: int
    commands: int  # number of recorded commands
    differing: int  # number of steps with different commands
    first_difference: Difference | None
    comparison: ComparisonResult | None  # None if it was not requested
    missing: MissingSteps | None  # the missing steps at which the replay ended; None if there were none
    last_us: int  # time of the last step on the director's clock


class Replay:
    """Replays one incarnation step by step.

    ``director_factory`` creates the director that processes the events. ``replacement_settings`` replace all
    recorded settings of the decision modules; ``setting_overrides`` then override single settings by name.
    With ``compare``, a ``Comparison`` measures the effect of the differing commands on requests.
    """

    def __init__(
        self,
        incarnation: Incarnation,
        director_factory: Callable[[], Director] = Director,
        setting_overrides: dict[str, Any] | None = None,
        replacement_settings: dict[str, Any] | None = None,
        compare: bool = False,
    ):
        self.incarnation, self.director, self.compare = incarnation, director_factory(), compare
        self.setting_overrides, self.replacement_settings = setting_overrides or {}, replacement_settings
        self.steps = self.commands = self.differing = 0
        self.first_difference: Difference | None = None
        self.missing: MissingSteps | None = None
        self.comparison: Comparison | None = None
        self.last_step: Step | None = None

    def apply(self, step: Step | MissingSteps) -> None:
        """Replay the next step and compare its commands. Steps that follow missing steps are ignored."""
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
        self.commands += len(step.commands)
        if self.comparison:
            self.comparison.apply(step.now, step.events, step.commands, replayed)
        if list(replayed) != step.commands:
            self.differing += 1
            if self.first_difference is None:
                self.first_difference = self.difference(step, events, replayed)
        self.last_step = step

    def start(self, now: int, event: model.Started) -> model.Started:
        """Begin the comparison, if requested, and return ``event`` with the settings of the replay."""
        recorded = event.settings
        replayed = (
            recorded if self.replacement_settings is None else self.replacement_settings
        ) | self.setting_overrides
        self.comparison = Comparison(now, recorded, replayed) if self.compare else None
        return event._replace(settings=replayed)

    def difference(self, step: Step, events: list[Any], replayed: list[Any]) -> Difference:
        """Return the commands that differ in a step, with its events and those of the previous step."""
        return Difference(
            self.steps,
            step.now,
            self.last_step.events if self.last_step else [],
            events,
            [command for command in step.commands if command not in replayed],
            [command for command in replayed if command not in step.commands],
        )

    def result(self) -> ReplayResult:
        """Return the result up to the last applied step."""
        return ReplayResult(
            self.incarnation,
            self.steps,
            self.commands,
            self.differing,
            self.first_difference,
            self.comparison.result() if self.comparison else None,
            self.missing,
            self.last_step.now if self.last_step else self.incarnation.now,
        )


def replay_incarnation(
    incarnation: Incarnation,
    steps: Iterable[Step | MissingSteps],
    director_factory: Callable[[], Director] = Director,
    setting_overrides: dict[str, Any] | None = None,
    replacement_settings: dict[str, Any] | None = None,
    compare: bool = False,
) -> ReplayResult:
    """Replay an incarnation from start to end; for the parameters see ``Replay``."""
    replay = Replay(incarnation, director_factory, setting_overrides, replacement_settings, compare)
    for step in steps:
        replay.apply(step)
    return replay.result()
