"""The schema of scenario files (JSON5): the fleet of a scripted day, its clients and its events."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import Field, model_validator

from rainpick.settings.model import Effect
from rainpick.settings.part import Part
from rainpick.settings.units import Duration


class Machine(Part):
    """A type of servers; the types are assigned to the servers in turn."""

    name: str
    slots: int = Field(4, ge=1, le=256, description="calls worked on at once")
    speed: float = Field(1.0, gt=0, description="of a slot")
    weight: float = Field(1.0, gt=0, description="listed weight")


class Route(Part):
    """A route of the clients' requests."""

    name: str
    share: float = Field(1.0, gt=0)
    work: Duration = Field("40ms", validate_default=True)
    slo_time: Duration = Field("500ms", validate_default=True)
    time_limit: Duration = Field("2s", validate_default=True)
    importance: float = Field(1.0, ge=0)
    effect: Effect = "repeatable"
    repeat_window: Duration = Field("1s", validate_default=True)


class Zone(Part):
    """Selects the servers of a zone."""

    zone: str


class Every(Part):
    """Selects the numbers ``first``, ``first + every`` and so on, of servers or proxies."""

    every: int = Field(ge=1)
    first: int = Field(0, ge=0)


Selector = Literal["all"] | Zone | Every | tuple[int, ...]


class Event(Part):
    """An event that begins ``at`` a time of the day; ``for`` is its duration, if the event can end."""

    at: Duration
    do: Literal[
        "slow",
        "drop",
        "hang",
        "die",
        "drain",
        "deploy",
        "lose_zone",
        "kill_director",
        "break_streams",
        "break_member_streams",
        "stop_reading",
        "double_reports",
        "late_reports",
    ]
    servers: Selector = ()
    proxies: Literal["all"] | Every | tuple[int, ...] = "all"
    zone: str | None = None
    director: int = Field(0, ge=0)
    lasts: Annotated[Duration | None, Field(alias="for")] = None
    factor: float = Field(4.0, ge=1, description="slow: how many times")
    share: float = Field(1.0, ge=0, le=1, description="drop: part of the calls")
    stagger: Duration = Field("0s", validate_default=True)
    notice: Duration = Field("2s", validate_default=True, description="deploy: from the drain to the end")
    down: Duration = Field("500ms", validate_default=True, description="deploy: from the end to the start")

    @property
    def end(self) -> int | None:
        """The time of the day at which the event ends, in microseconds; None if it has no duration."""
        return None if self.lasts is None else self.at + self.lasts


class Scenario(Part):
    """A scripted day."""

    name: str
    length: Duration = Field("20s", validate_default=True)
    seed: int = 1
    goal: float = Field(0.9, ge=0, le=1, description="service that must be reached")
    directors: int = Field(1, ge=1, le=8)
    servers: int = Field(8, ge=1, le=256)
    zones: tuple[str, ...] = ("a", "b")
    machines: tuple[Machine, ...] = (Machine(name="any"),)
    routes: tuple[Route, ...] = (Route(name="lookup"),)
    proxies: int = Field(6, ge=1, le=512)
    fronts: tuple[Literal["sasp", "mqtt"], ...] = Field(
        ("sasp",), min_length=1, max_length=8, description="by which front proxies are told, in turn"
    )
    edge_processes: int = Field(1, ge=1, le=8)
    calls_per_s: float = Field(40.0, gt=0, le=2_000)
    pick: Literal["lottery", "wheel", "pair"] = "wheel"
    standing: int = Field(4, ge=1, description="servers that a starting proxy knows")
    repeat: Literal["never", "same_pod", "anywhere"] = Field(
        "never", description="what proxies do with a call that got no answer; SASP carries no orders for it"
    )
    client_repeats: int = Field(1, ge=0, le=5)
    client_wait: Duration = Field("50ms", validate_default=True)
    try_share: float = Field(0.6, gt=0, le=1, description="part of the time limit that a try may take")
    report_every: Duration = Field("1s", validate_default=True)
    redial: tuple[Duration, Duration] = Field(("200ms", "600ms"), validate_default=True)
    settings: dict[str, Any] = Field({}, description="further settings of the directors, part by part")
    events: tuple[Event, ...] = ()

    @model_validator(mode="after")
    def check_events(self) -> Scenario:
        """Check that each event begins within the day and names existing zones and directors."""
        for index, event in enumerate(self.events):
            error = self.event_error(event)
            if error is not None:
                raise ValueError(f"events.{index}: {error}")
        return self

    def event_error(self, event: Event) -> str | None:
        """Return the reason why an event is invalid in this scenario; None if it is valid."""
        zone = event.servers.zone if isinstance(event.servers, Zone) else event.zone
        if zone is not None and zone not in self.zones:
            return f"zone {zone!r} is not one of {list(self.zones)}"
        if event.do == "lose_zone" and event.zone is None:
            return "lose_zone requires a zone"
        if event.at > self.length:
            return "at is after the end of the day"
        if event.director >= self.directors:
            return f"there is no director {event.director}"
        return None

    def servers_of(self, event: Event) -> list[int]:
        """List the numbers of the servers that an event selects."""
        zone = event.zone if event.do == "lose_zone" else None
        if isinstance(event.servers, Zone):
            zone = event.servers.zone
        if zone is not None:
            index = self.zones.index(zone)
            return [number for number in range(self.servers) if number % len(self.zones) == index]
        return select(self.servers, event.servers)

    def proxies_of(self, event: Event) -> list[int]:
        """List the numbers of the proxies that an event selects."""
        return select(self.proxies, event.proxies)


def select(count: int, selector: Selector) -> list[int]:
    """List the selected numbers below ``count``; numbers that the scenario lists are not checked."""
    if isinstance(selector, Every):
        return list(range(count)[selector.first :: selector.every])
    if selector == "all":
        return list(range(count))
    assert isinstance(selector, tuple)  # ``servers_of`` handles zones itself
    return list(selector)
