"""The schedule of a day: the steps of the events of its scenario."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol, cast

from rainpick.simulated_peers import actions
from rainpick.simulated_peers.scenario import Event, Scenario

DIRECTOR_DOWN_US = 1_000_000  # downtime of a killed director whose event has no end


class StepTarget(Protocol):
    """Receives the actions of a schedule's steps, for peers and directors."""

    def apply_to_servers(self, action: actions.ServerAction) -> None:
        """Apply an action to the servers that it names."""

    def apply_to_proxies(self, action: actions.ProxyAction) -> None:
        """Apply an action to the proxies that it names."""

    def kill_director(self, number: int) -> None:
        """Kill a director."""

    def restart_director(self, number: int) -> None:
        """Start a killed director again."""


class Step(NamedTuple):
    """One step of a schedule; steps at the same time run in the order of ``order``."""

    at_us: int  # time since the beginning of the day
    order: int
    text: str  # description for the log and the progress output; empty to print nothing
    run: Callable[[], None]


def build_schedule(scenario: Scenario, target: StepTarget) -> list[Step]:
    """Build the steps of all events, in the order of the scenario's events."""
    builder = ScheduleBuilder(scenario, target)
    for event in scenario.events:
        builder.add_event(event)
    return builder.steps


class ScheduleBuilder:
    """Builds the steps of events; a fault with a duration has a second step, which ends the fault."""

    def __init__(self, scenario: Scenario, target: StepTarget):
        self.scenario, self.target = scenario, target
        self.steps: list[Step] = []

    def add(self, at_us: int, text: str, run: Callable[[], None]) -> None:
        """Add a step; of the steps at the same time, the one added first runs first."""
        self.steps.append(Step(at_us, len(self.steps), text, run))

    def add_server_step(self, at_us: int, text: str, action: actions.ServerAction) -> None:
        """Add a step that applies an action to servers."""
        self.add(at_us, text, lambda: self.target.apply_to_servers(action))

    def add_proxy_step(self, at_us: int, text: str, action: actions.ProxyAction) -> None:
        """Add a step that applies an action to proxies."""
        self.add(at_us, text, lambda: self.target.apply_to_proxies(action))

    def add_event(self, event: Event) -> None:
        """Add the steps of an event."""
        match event.do:
            case "slow" | "drop" | "hang":
                self.add_fault(event)
            case "die" | "lose_zone":
                self.add_outage(event)
            case "drain" | "break_member_streams":
                self.add_member_event(event)
            case "deploy":
                self.add_deploy(event)
            case "kill_director":
                self.add_director_outage(event)
            case "break_streams" | "stop_reading":
                self.add_stream_event(event)
            case "double_reports" | "late_reports":
                self.add_report_event(event)

    def add_fault(self, event: Event) -> None:
        """Add the steps that make servers slow down, fail requests or hang, and that end the fault."""
        servers, end_us = self.scenario.servers_of(event), event.end
        begin: actions.ServerAction
        end: actions.ServerAction
        if event.do == "slow":
            begin, end = actions.SlowDown(servers, event.factor), actions.SlowDown(servers, 1.0)
        elif event.do == "drop":
            begin, end = actions.FailRequests(servers, event.share), actions.FailRequests(servers, 0.0)
        else:
            begin, end = actions.Hang(servers, True), actions.Hang(servers, False)
        self.add_server_step(event.at, f"{event.do}: {len(servers)} servers", begin)
        if end_us is not None:
            self.add_server_step(end_us, f"{event.do} is over", end)

    def add_outage(self, event: Event) -> None:
        """Add the steps that stop servers or a whole zone without a drain, and that start them again."""
        servers, end_us = self.scenario.servers_of(event), event.end
        cause = f"zone {event.zone} is lost" if event.zone else "sudden death"
        self.add_server_step(event.at, f"{cause}: {len(servers)} servers", actions.StopServers(servers))
        if end_us is not None:
            text = f"{len(servers)} servers start again, cold"
            self.add_server_step(end_us, text, actions.StartServers(servers))

    def add_member_event(self, event: Event) -> None:
        """Add the step that drains servers, or breaks their streams to the directors."""
        servers = self.scenario.servers_of(event)
        kind = actions.DrainServers if event.do == "drain" else actions.BreakMemberStreams
        self.add_server_step(event.at, f"{event.do}: {len(servers)} servers", kind(servers))

    def add_deploy(self, event: Event) -> None:
        """Add one ``ReplaceServers`` step for each server of the event, ``stagger`` apart."""
        servers = self.scenario.servers_of(event)
        for index, number in enumerate(servers):
            text = f"deploy: {len(servers)} servers" if index == 0 else ""
            action = actions.ReplaceServers([number], event.notice / 1e6, event.down / 1e6)
            self.add_server_step(event.at + index * event.stagger, text, action)

    def add_director_outage(self, event: Event) -> None:
        """Add the steps that kill a director and start it again."""
        number, restart_us = event.director, event.end or event.at + DIRECTOR_DOWN_US
        self.add(event.at, f"director {number} is killed", lambda: self.target.kill_director(number))
        self.add(restart_us, f"director {number} starts again", lambda: self.target.restart_director(number))

    def add_stream_event(self, event: Event) -> None:
        """Add the steps that break the streams of proxies, or make proxies stop reading."""
        proxies, end_us = self.scenario.proxies_of(event), event.end
        if event.do == "break_streams":
            text = f"streams of {len(proxies)} proxies break"
            self.add_proxy_step(event.at, text, actions.BreakStreams(proxies))
            return
        text = f"{len(proxies)} proxies stop reading"
        self.add_proxy_step(event.at, text, actions.PauseReading(proxies, True))
        if end_us is not None:
            self.add_proxy_step(end_us, "they read again", actions.PauseReading(proxies, False))

    def add_report_event(self, event: Event) -> None:
        """Add the steps that make proxies send their load reports twice or late."""
        proxies, end_us = self.scenario.proxies_of(event), event.end
        mode = cast(actions.ReportMode, event.do.removesuffix("_reports"))
        text = f"{mode} reports of {len(proxies)} proxies"
        self.add_proxy_step(event.at, text, actions.SetReportMode(proxies, mode))
        if end_us is not None:
            self.add_proxy_step(end_us, "reports as usual", actions.SetReportMode(proxies, "usual"))
