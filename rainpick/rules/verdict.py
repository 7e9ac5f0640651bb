"""The limits that the rules set, and the verdict on a day."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypedDict


@dataclass(slots=True)
class Limits:
    """The limits of the rules. Times are in microseconds. The names are the keys of ``limits.json``."""

    bare: int  # time for which the table of a joined proxy may be empty
    grace: int  # time for which attempts may still go to a draining server
    warm_after: int  # duration of a server's slow start
    start_capacity: float  # fraction of its capacity that a server has when it starts
    fall_multiple: float  # multiple of its current capacity that a server warming up withstands
    fall: int  # window over which the work sent to a server warming up is summed
    pending: int  # number of table entries that may wait in a director
    lines_per_s: float  # rate of a director's channel in entries per second; not checked
    head: int  # cost of a message besides its entries, in entries; not checked
    messages_most: int  # messages to a proxy within ``messages_over``; 0 for no limit
    messages_over: int
    member_grace: int  # time from a broken stream until its servers count as gone
    gone_binds: bool  # whether the drain rule also covers servers that are gone without a drain
    routes: dict[str, dict[str, Any]]  # importance, effect and retry window of each route, by its name


@dataclass
class Breach:
    """One breach of a rule: its time, the peer or director that is affected, and a description.

    The attribute names are keys of the JSON output, which is built from the attributes; hence no slots.
    """

    at: int
    who: str
    what: str


@dataclass(slots=True)
class Rule:
    """The result of one rule: number of checks, breaches, and the highest ratio with its peer or director.

    A ratio is a measured value divided by its limit.
    """

    name: str
    checked: int = 0
    breaches: list[Breach] = field(default_factory=list)
    highest_ratio: float = 0.0
    highest_subject: str = ""

    def measure(self, ratio: float, subject: str, at: int, description: str) -> None:
        """Count a check. ``ratio`` is the measured value divided by its limit; above 1 it is a breach."""
        self.checked += 1
        if ratio > self.highest_ratio:
            self.highest_ratio, self.highest_subject = ratio, subject
        if ratio > 1:
            self.breaches.append(Breach(at, subject, description))


class RouteService(TypedDict):
    """The service of a route: counts and durations of its requests that were due within the day."""

    asked: int  # number of requests
    good: int  # number of requests answered within the SLO time
    importance: float
    took: list[int]  # duration of each request in microseconds


@dataclass(slots=True)
class Verdict:
    """The verdict on a day."""

    rules: list[Rule]
    service: dict[str, RouteService]  # service by route
    retries: dict[str, int]  # number of retries, by the names in ``audit.RETRY_COUNTERS``
    span: tuple[int, int]  # begin and end of the day in microseconds

    @property
    def passed(self) -> bool:
        """Whether the day has no breach of any rule."""
        return not any(rule.breaches for rule in self.rules)

    def service_ratio(self) -> float:
        """Return the share of requests answered within the SLO time, weighted by importance."""
        requested = sum(route["asked"] * route["importance"] for route in self.service.values())
        good = sum(route["good"] * route["importance"] for route in self.service.values())
        return good / requested if requested else 0.0
