"""The state that a director keeps of each server: endpoint list entry, observations, published weights."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

from rainpick.decisions.sliding_window import SlidingWindow
from rainpick.model import Endpoint, EndpointState

if TYPE_CHECKING:
    from rainpick.decisions.tables import Table

OBSERVATION_COLUMNS = 3  # attempts, failures, and the total latency of answered attempts in microseconds


class ServerStatus(IntEnum):
    """The status of a server: ``MISSING``, or its state in the endpoint list.

    The numbers of the states are those of ``EndpointState``.
    """

    GONE = EndpointState.GONE
    READY = EndpointState.READY
    DRAINING = EndpointState.DRAINING
    MISSING = 3  # dropped by a list that may be wrong; not withdrawn as long as it answers attempts


GONE, READY, DRAINING, MISSING = ServerStatus


class ServerState:
    """One server.

    ``percentage`` and ``is_warm`` are recomputed in each step that publishes. ``withdrawn`` and
    ``published_weights`` are the values last sent to proxies; a server that must be withdrawn has percentage
    0.
    """

    def __init__(self, endpoint: Endpoint):
        self.endpoint = endpoint
        self.status: int = GONE
        self.tables: list[Table] = []  # tables that the server is assigned to
        self.percentage = 0.0
        self.is_warm = True
        self.withdrawn = False
        self.published_weights: dict[int, float] = {}  # published weight by table number
        self.gone_ticks = 0  # number of ticks for which the server has been gone and in no table
        self.drain_started_us = 0  # time at which the list first reported the server as draining or gone
        self.presumed_gone = False  # gone because it failed while it was missing; never reported as draining
        self.withdrawal_deferred = False  # whether the server's withdrawal was not published at once
        self.reset()

    def reset(self) -> None:
        """Discard observations, ejections and reductions, since the server has just started."""
        self.observations = SlidingWindow(OBSERVATION_COLUMNS)
        self.overload_observations = SlidingWindow(OBSERVATION_COLUMNS)
        self.ejected_until_us = 0
        self.consecutive_ejections = 0
        self.recovering_since_us: int | None = None
        self.capacity_factor = 1.0  # lowered by overload protection
        self.capacity_settled_us = 0  # time from which its capacity may be evaluated again
        self.last_report_us = 0
        self.concentration_factor = 1.0  # lowered while the server warms up in tables of busy proxies

    @property
    def is_serving(self) -> bool:
        """Whether the server may receive attempts: it is ready, or missing and possibly still serving."""
        return self.status in (READY, MISSING)

    @property
    def is_terminating(self) -> bool:
        """Whether the endpoint list no longer has the server as ready; False if the server is presumed gone.

        A terminating server has to be withdrawn within the drain grace.
        """
        return self.status != READY and not self.presumed_gone

    def effective_weight(self) -> float:
        """Return the listed weight multiplied by the percentage."""
        return self.endpoint.weight * self.percentage
