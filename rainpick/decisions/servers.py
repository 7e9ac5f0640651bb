"""What a director knows of each server: its entry in the endpoint list, evidence, what was published."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

from rainpick.decisions.sliding_window import SlidingWindow
from rainpick.model import Endpoint, EndpointState

if TYPE_CHECKING:
    from rainpick.decisions.tables import Table

OBSERVED = 3  # columns of observations: attempts, failures, microseconds of the answered ones


class ServerStatus(IntEnum):
    """The state of a server: that of the endpoint list, by the same numbers, or ``MISSING``."""

    GONE = EndpointState.GONE
    READY = EndpointState.READY
    DRAINING = EndpointState.DRAINING
    MISSING = 3  # the list dropped it, yet it need not be withdrawn


GONE, READY, DRAINING, MISSING = ServerStatus


class ServerState:
    """One server.

    ``percentage`` and ``is_warm`` are worked out anew in each step. ``withdrawn`` and ``published_weights``
    are what proxies were last sent; a server that is to be withdrawn has percentage 0.
    """

    def __init__(self, endpoint: Endpoint):
        self.endpoint = endpoint
        self.status: int = GONE
        self.tables: list[Table] = []  # that hold it
        self.percentage = 0.0
        self.is_warm = True
        self.withdrawn = False
        self.published_weights: dict[int, float] = {}  # by table
        self.gone_ticks = 0  # how long it has been gone and in no table
        self.drain_started_us = 0  # when the list first told that it drains or is gone
        self.presumed_gone = False  # gone by a list that may be wrong, never seen to drain
        self.withdrawal_deferred = False  # its withdrawal did not go out at once
        self.reset()

    def reset(self) -> None:
        """The server has just started: all evidence on it is void."""
        self.observations = SlidingWindow(OBSERVED)
        self.overload_observations = SlidingWindow(OBSERVED)
        self.ejected_until_us = 0
        self.consecutive_ejections = 0
        self.recovering_since_us: int | None = None
        self.capacity_factor = 1.0  # lower where it was overrun
        self.capacity_settled_us = 0  # when its capacity may be judged again
        self.last_report_us = 0
        self.concentration_factor = 1.0  # lower for a server that warms up in tables of busy proxies

    @property
    def is_serving(self) -> bool:
        """Whether it may be sent requests, as far as the endpoint list goes."""
        return self.status in (READY, MISSING)

    @property
    def is_ending(self) -> bool:
        """Whether the endpoint list says for sure that it drains or is gone."""
        return self.status != READY and not self.presumed_gone

    def effective_weight(self) -> float:
        """Its listed weight at its percentage."""
        return self.endpoint.weight * self.percentage
