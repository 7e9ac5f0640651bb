"""The limits that the rules set, and the verdict on a day."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypedDict


@dataclass(slots=True)
class Limits:
    """The limits of the rules. Times are in microseconds. The names are the keys of ``limits.json``."""

    bare: int  # how long a joined proxy may have an empty table
    grace: int  # how long attempts may still go to a draining server
    warm_after: int  # how long a server warms up
    start_capacity: float  # fraction of its capacity that a server has as it starts
    fall_multiple: float  # times its capacity that a server warming up withstands
    fall: int  # the window in which that is measured
    pending: int  # entries that may wait in a director
    lines_per_s: float
    head: int
    messages_most: int  # messages to a proxy within the next field; 0 for no limit
    messages_over: int
    member_grace: int  # after a broken stream, until its servers count as gone
    gone_binds: bool  # whether the drain rule holds for servers that are gone without a drain
    routes: dict[str, dict[str, Any]]  # importance, effect and window (of retries) by route


@dataclass
class Breach:
    """Where a rule was broken: when, by whom, and how.

    The names are keys of the JSON output, which is made from the attributes: hence no slots.
    """

    at: int
    who: str
    what: str


@dataclass(slots=True)
class Rule:
    """One rule: how often it was checked, where it was broken, how close the day came (1 is the limit)."""

    name: str
    checked: int = 0
    breaches: list[Breach] = field(default_factory=list)
    highest_ratio: float = 0.0
    highest_subject: str = ""

    def measure(self, ratio: float, subject: str, at: int, description: str) -> None:
        """Count a check, with the measured value over its limit; above 1 it is a breach."""
        self.checked += 1
        if ratio > self.highest_ratio:
            self.highest_ratio, self.highest_subject = ratio, subject
        if ratio > 1:
            self.breaches.append(Breach(at, subject, description))


class RouteService(TypedDict):
    """How a route's requests were served within the day."""

    asked: int
    good: int  # answered within the SLO time
    importance: float
    took: list[int]  # microseconds of each request


@dataclass(slots=True)
class Verdict:
    """The verdict on a day."""

    rules: list[Rule]
    service: dict[str, RouteService]  # by route
    retries: dict[str, int]  # retries by where they were counted
    span: tuple[int, int]  # begin and end of the day

    @property
    def passed(self) -> bool:
        """Whether no rule was broken."""
        return not any(rule.breaches for rule in self.rules)

    def service_ratio(self) -> float:
        """Give the importance answered within the SLO time over the importance requested."""
        requested = sum(route["asked"] * route["importance"] for route in self.service.values())
        good = sum(route["good"] * route["importance"] for route in self.service.values())
        return good / requested if requested else 0.0
