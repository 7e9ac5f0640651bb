"""A scripted day: what fleet, which clients, what happens when. JSON5, checked by a schema."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import Field, model_validator

from rainpick.settings.model import Effect, Part
from rainpick.settings.units import Duration


class Machine(Part):
    name: str
    slots: int = Field(4, ge=1, le=256, description="calls worked on at once")
    speed: float = Field(1.0, gt=0, description="of a slot")
    weight: float = Field(1.0, gt=0, description="listed weight")


class Route(Part):
    name: str
    share: float = Field(1.0, gt=0)
    work: Duration = "40ms"
    slo_time: Duration = "500ms"
    time_limit: Duration = "2s"
    importance: float = Field(1.0, ge=0)
    effect: Effect = "repeatable"
    repeat_window: Duration = "1s"


class Zone(Part):
    zone: str


class Every(Part):
    every: int = Field(ge=1)
    first: int = Field(0, ge=0)


Selector = Literal["all"] | Zone | Every | tuple[int, ...]


class Event(Part):
    """Something that happens. ``for`` undoes it after that time."""

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
    stagger: Duration = "0s"
    notice: Duration = Field("2s", description="deploy: from the drain to the end")
    down: Duration = Field("500ms", description="deploy: from the end to the start")


class Scenario(Part):
    """A day."""

    name: str
    length: Duration = "20s"
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
    client_wait: Duration = "50ms"
    try_share: float = Field(0.6, gt=0, le=1, description="part of the time limit that a try may take")
    report_every: Duration = "1s"
    redial: tuple[Duration, Duration] = ("200ms", "600ms")
    settings: dict[str, Any] = Field({}, description="further settings of the directors, part by part")
    events: tuple[Event, ...] = ()

    @model_validator(mode="after")
    def names_are_known(self) -> Scenario:
        for at, event in enumerate(self.events):
            zone = event.servers.zone if isinstance(event.servers, Zone) else event.zone
            if zone is not None and zone not in self.zones:
                raise ValueError(f"events.{at}: zone {zone!r} is not one of {list(self.zones)}")
            if event.do == "lose_zone" and event.zone is None:
                raise ValueError(f"events.{at}: lose_zone wants a zone")
            if event.at > self.length:
                raise ValueError(f"events.{at}: at is after the end of the day")
            if event.director >= self.directors:
                raise ValueError(f"events.{at}: there is no director {event.director}")
        return self

    def chosen(self, event: Event) -> list[int]:
        """The servers that an event is about."""
        numbers = range(self.servers)
        zone = event.zone if event.do == "lose_zone" else None
        if isinstance(event.servers, Zone):
            zone = event.servers.zone
        if zone is not None:
            place = self.zones.index(zone)
            return [number for number in numbers if number % len(self.zones) == place]
        if isinstance(event.servers, Every):
            return list(numbers[event.servers.first :: event.servers.every])
        return list(numbers) if event.servers == "all" else list(event.servers)

    def chosen_proxies(self, event: Event) -> list[int]:
        numbers = range(self.proxies)
        if isinstance(event.proxies, Every):
            return list(numbers[event.proxies.first :: event.proxies.every])
        return list(numbers) if event.proxies == "all" else list(event.proxies)
