"""One ``Director`` and its timers, stepped by a clock that is handed in. Free of I/O, knows no front."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from heapq import heappop, heappush

from rainpick import model
from rainpick.decisions.director import Director


class Stepper:
    """What waits in ``events`` is handed to the module in one step; its timers are kept here.

    ``module`` is the decision module's class: tests put a double there. ``settings`` is the module's map.
    """

    def __init__(self, seed: int, settings: dict, module: Callable[[], Director] = Director):
        self.director = module()
        self.events: list = [model.Started(seed, settings)]
        self.timers: list[tuple[int, int]] = []  # (when, token), a heap
        self.steps = self.heard = self.ordered = 0  # steps taken, events in them, orders from them
        # Told of each step: its clock, the events, the orders.
        self.watch: Callable[[int, list, list], None] | None = None

    def due_us(self) -> int | None:
        """When the next timer is due."""
        return self.timers[0][0] if self.timers else None

    def ring(self, now: int) -> None:
        """Turn the timers that are due into events."""
        while self.timers and self.timers[0][0] <= now:
            self.events.append(model.TimerFired(heappop(self.timers)[1]))

    def step(self, now: int, more: Iterable = ()) -> list:
        """Let the module take what waits, and ``more`` after it; all that it orders but timers."""
        events, self.events = [*self.events, *more], []
        orders = self.director.step(now, events)
        self.steps += 1
        self.heard += len(events)
        self.ordered += len(orders)
        if self.watch is not None:
            self.watch(now, events, orders)
        for order in orders:
            if type(order) is model.SetTimer:
                heappush(self.timers, (now + max(1, order.delay_us), order.token))
        return [order for order in orders if type(order) is not model.SetTimer]
