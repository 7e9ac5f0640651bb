"""One ``Director`` and its timers, stepped by a clock that is handed in. Free of I/O, knows no frontend."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from typing import Any, NamedTuple

from rainpick import model
from rainpick.decisions.director import Director

Event = (
    model.Acknowledged
    | model.EndpointUpdate
    | model.KeyRangeAssigned
    | model.KeyRangeLoadReport
    | model.KeyRangeWeight
    | model.PeerMessageReceived
    | model.ProbeCompleted
    | model.ProxyJoined
    | model.ProxyLeft
    | model.Retransmitted
    | model.RouteLoadReport
    | model.ServerLoadReport
    | model.Started
    | model.TimerFired
)
Command = (
    model.BindProxy
    | model.ClearTable
    | model.FetchEndpoints
    | model.LogMessage
    | model.ProbeServer
    | model.RequestAcknowledgement
    | model.SendPeerMessage
    | model.SetAdmission
    | model.SetTimer
    | model.SetWeight
    | model.SetWithdrawn
    | model.Subscribe
)


class Timer(NamedTuple):
    """A timer that the decisions have set; timers are ordered by their time."""

    due_us: int
    token: int


class Stepper:
    """Hands the decisions what waits in ``pending_events`` in one step, and keeps their timers.

    ``module`` is the class of the decisions: tests put a double there. ``settings`` is the decisions' map.
    """

    def __init__(self, seed: int, settings: dict[str, Any], module: Callable[[], Director] = Director):
        self.director = module()
        self.pending_events: list[Event] = [model.Started(seed, settings)]
        self.timers: list[Timer] = []  # a heap
        self.step_count = 0
        self.events_handled = 0  # events handed to the decisions
        self.commands_issued = 0  # commands from them, timers included
        # Called after each step with its time, the events and the commands: the recorder is.
        self.on_step: Callable[[int, list[Event], list[Command]], None] | None = None

    def due_us(self) -> int | None:
        """When the next timer is due."""
        return self.timers[0].due_us if self.timers else None

    def fire_timers(self, now: int) -> None:
        """Turn the timers that are due into events."""
        while self.timers and self.timers[0].due_us <= now:
            self.pending_events.append(model.TimerFired(heappop(self.timers).token))

    def step(self, now: int, more: Iterable[Event] = ()) -> list[Command]:
        """Let the decisions take what waits, and ``more`` after it; all their commands but timers."""
        events = [*self.pending_events, *more]
        self.pending_events = []
        step: Callable[[int, list[Event]], list[Command]] = self.director.step
        commands = step(now, events)
        self.step_count += 1
        self.events_handled += len(events)
        self.commands_issued += len(commands)
        if self.on_step is not None:
            self.on_step(now, events, commands)
        for command in commands:
            if type(command) is model.SetTimer:
                heappush(self.timers, Timer(now + max(1, command.delay_us), command.token))
        return [command for command in commands if type(command) is not model.SetTimer]
