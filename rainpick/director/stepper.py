"""One ``Director`` and its timers, stepped by the caller's clock. Does no I/O and depends on no frontend."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from typing import Any, NamedTuple

from rainpick import model
from rainpick.decisions.channel_progress import (
    AcknowledgementsMayBeLost,
    TransmissionResumed,
    TransmissionSuspended,
)
from rainpick.decisions.director import Director
from rainpick.decisions.retransmission import RetransmissionRequested, Retransmit
from rainpick.decisions.split_calls import BindRejected, CallSplit

Event = (
    AcknowledgementsMayBeLost
    | BindRejected
    | CallSplit
    | model.Acknowledged
    | model.EndpointUpdate
    | model.KeyRangeAssigned
    | model.KeyRangeLoadReport
    | model.KeyRangeWeight
    | model.PeerMessageReceived
    | model.ProbeCompleted
    | model.ProxyJoined
    | model.ProxyLeft
    | RetransmissionRequested
    | model.Retransmitted
    | model.RouteLoadReport
    | model.ServerLoadReport
    | model.Started
    | model.TimerFired
    | TransmissionResumed
    | TransmissionSuspended
)
Command = (
    model.BindProxy
    | model.ClearTable
    | model.FetchEndpoints
    | model.LogMessage
    | model.ProbeServer
    | model.RequestAcknowledgement
    | Retransmit
    | model.SendPeerMessage
    | model.SetAdmission
    | model.SetTimer
    | model.SetWeight
    | model.SetWithdrawn
    | model.Subscribe
)


class Timer(NamedTuple):
    """A timer set by ``Director``; timers are ordered by due time."""

    due_us: int
    token: int


class Stepper:
    """Passes ``pending_events`` to ``Director`` in one step, and manages the timers that it sets.

    ``director_factory`` creates the ``Director``; tests replace it. ``settings`` are the settings of the
    ``Director`` as a flat map.
    """

    def __init__(
        self, seed: int, settings: dict[str, Any], director_factory: Callable[[], Director] = Director
    ):
        self.director = director_factory()
        self.pending_events: list[Event] = [model.Started(seed, settings)]
        self.timers: list[Timer] = []  # a heap
        self.step_count = 0
        self.events_handled = 0  # events passed to ``Director``
        self.commands_issued = 0  # commands that ``Director`` returned, ``SetTimer`` included
        # Called after each step with its time, its events and its commands; the recorder uses it.
        self.on_step: Callable[[int, list[Event], list[Command]], None] | None = None

    def due_us(self) -> int | None:
        """Return when the next timer is due; None if no timer is set."""
        return self.timers[0].due_us if self.timers else None

    def fire_timers(self, now: int) -> None:
        """Remove the due timers and add their ``TimerFired`` events to the pending events."""
        while self.timers and self.timers[0].due_us <= now:
            self.pending_events.append(model.TimerFired(heappop(self.timers).token))

    def step(self, now: int, extra_events: Iterable[Event] = ()) -> list[Command]:
        """Pass the pending events, then ``extra_events``, to ``Director``.

        Returns the commands of ``Director`` without ``SetTimer``, which is applied here.
        """
        events = [*self.pending_events, *extra_events]
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
