"""Runs a scripted day on loopback, with directors, servers, proxies and clients, and audits it."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import asdict
from heapq import heapify, heappop
from pathlib import Path
from typing import Any, Protocol, TypeAlias

from rainpick.http1.client import Client, ClientError
from rainpick.rules import Verdict, audit, read_logs
from rainpick.settings import Settings
from rainpick.simulated_peers import actions
from rainpick.simulated_peers.derived_settings import (
    LISTENERS,
    audit_limits,
    director_settings,
    peer_settings,
)
from rainpick.simulated_peers.errors import DayError
from rainpick.simulated_peers.event_log import EventLog, now_us
from rainpick.simulated_peers.peer_groups import LocalPeers, PeerGroup, PeerGroupStarter, PeerRole
from rainpick.simulated_peers.peer_settings import PeerStart
from rainpick.simulated_peers.ports import free_ports
from rainpick.simulated_peers.processes import DirectorProcess, PeerProcess
from rainpick.simulated_peers.scenario import Scenario
from rainpick.simulated_peers.schedule import Step, build_schedule

__all__ = ["Day", "DayError", "DirectorProcess", "LocalPeers"]

START_TIMEOUT_S = 20.0  # limit for each condition that must hold before the day begins
STATUS_INTERVAL_S = 0.5
STATUS_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.05
MIN_SLEEP_S = 0.001

Status: TypeAlias = dict[str, Any]  # decoded JSON of a director's ``GET /status``
# Arguments: seconds since the day began; text of a step, empty for a report of statuses; status of each
# director, None if it is down or does not answer. The list is empty for a report of a step.
ProgressCallback: TypeAlias = Callable[[float, str, list[Status | None]], None]


class RunningDirector(Protocol):
    """A running director of a day. Only scenarios that kill a director use ``kill`` and ``start``."""

    def kill(self) -> None:
        """Kill the director without a clean shutdown."""

    def start(self) -> None:
        """Start the director again after ``kill``."""

    def close(self) -> None:
        """Shut the director down cleanly."""


class Day:
    """A scripted day, with its directors and peers.

    ``launch`` starts a director from its settings and the folder for its files; ``start_peers`` starts a
    group of peers. Tests pass functions that run directors and peers within the test's process. JSON files
    that an earlier day left in the folder, such as logs, are removed.
    """

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        launch: Callable[[dict[str, Any], Path], RunningDirector] = DirectorProcess,
        start_peers: PeerGroupStarter = PeerProcess,
    ):
        folder.mkdir(parents=True, exist_ok=True)
        for old in folder.glob("*.json*"):
            old.unlink()
        self.scenario, self.folder, self.launch, self.start_peers = scenario, folder, launch, start_peers
        self.directors: list[RunningDirector] = []
        self.settings: list[Settings] = []  # settings of each director, by number
        self.down: set[int] = set()  # numbers of killed directors
        self.fleet: PeerGroup | None = None
        self.proxy_groups: list[PeerGroup] = []
        self.log = EventLog(folder / "runner.jsonl")

    # Status of the directors

    def status(self, number: int) -> Status | None:
        """Fetch a director's status; None if it does not answer with HTTP status 200."""
        host, port = self.settings[number].listen.status
        try:
            client = Client(host, port, timeout_s=STATUS_TIMEOUT_S)
            code, _, body = client.request("GET", "/status")
            client.close()
        except ClientError:
            return None
        status: Status | None = json.loads(body) if code == 200 else None
        return status

    def poll_status(self) -> list[Status | None]:
        """Fetch the status of each director, None if it is down or does not answer.

        ``lines_most``, the field that the auditor uses, is logged for each status.
        """
        numbers = range(self.scenario.directors)
        statuses = [None if number in self.down else self.status(number) for number in numbers]
        for number, status in enumerate(statuses):
            if status is not None:
                lines_most = status.get("channel", {}).get("lines_most")
                self.log.write("status", d=number, lines_most=lines_most)
        return statuses

    def bound_proxies(self) -> int:
        """Count the proxies that are bound to a table, at all directors together."""
        statuses = [self.status(number) or {} for number in range(self.scenario.directors)]
        return sum(proxy["table"] is not None for status in statuses for proxy in status.get("proxies", ()))

    # Start

    def begin(self) -> None:
        """Start directors and peers, wait until every proxy is bound, and write the auditor's limits."""
        self.start_directors()
        (self.folder / "limits.json").write_text(
            json.dumps(asdict(audit_limits(self.scenario, self.settings[0])))
        )
        settings = peer_settings(self.scenario, self.settings)
        self.fleet = self.start_peers(PeerRole.FLEET, PeerStart(settings), self.folder / "fleet.jsonl")
        self.wait_for_status("all servers as ready", self.lists_all_servers)
        processes = self.scenario.edge_processes
        for process in range(processes):
            numbers = list(range(process, self.scenario.proxies, processes))
            start = PeerStart(settings, self.fleet.servers, numbers)
            log_path = self.folder / f"edge-{process}.jsonl"
            self.proxy_groups.append(self.start_peers(PeerRole.PROXIES, start, log_path))
        self.wait_for_proxies()

    def start_directors(self) -> None:
        """Start the directors, and wait until each one answers.

        The ports of all directors are drawn together, because a port that one director has not bound yet
        looks free and could be drawn for another.
        """
        ports = free_ports(len(LISTENERS) * self.scenario.directors)
        for number in range(self.scenario.directors):
            own_ports = ports[len(LISTENERS) * number :][: len(LISTENERS)]
            settings = director_settings(self.scenario, number, own_ports, self.folder)
            self.settings.append(Settings.model_validate(settings))
            self.directors.append(self.launch(settings, self.folder))
        self.wait_for_status("its status", bool)

    def lists_all_servers(self, status: Status) -> bool:
        """Return whether a director lists all servers as ready."""
        states = [server["state"] for server in status.get("servers", ())]
        return states == ["ready"] * self.scenario.servers

    def wait_for_status(self, condition: str, holds: Callable[[Status], bool]) -> None:
        """Wait until ``holds`` is true for the status of each director; ``DayError`` on a timeout.

        ``START_TIMEOUT_S`` is the limit for all directors together. ``condition`` completes the error message
        "did not report ...".
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        for number in range(self.scenario.directors):
            while (status := self.status(number)) is None or not holds(status):
                if time.monotonic() > deadline_s:
                    raise DayError(
                        f"director {number} did not report {condition} within {START_TIMEOUT_S:.0f} s"
                    )
                time.sleep(POLL_INTERVAL_S)

    def wait_for_proxies(self) -> None:
        """Wait until all proxies are bound to a table; ``DayError`` on a timeout."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while self.bound_proxies() < self.scenario.proxies:
            if time.monotonic() > deadline_s:
                raise DayError(
                    f"{self.bound_proxies()} of {self.scenario.proxies} proxies are bound to a table "
                    f"after {START_TIMEOUT_S:.0f} s"
                )
            time.sleep(POLL_INTERVAL_S)

    # Actions on peers and directors

    def apply_to_servers(self, action: actions.ServerAction) -> None:
        """Send an action to the group of servers."""
        assert self.fleet is not None  # set by ``begin``
        self.fleet.apply(action)

    def apply_to_proxies(self, action: actions.ProxyAction) -> None:
        """Send an action to all groups of proxies; each group applies it to its own proxies."""
        for group in self.proxy_groups:
            group.apply(action)

    def kill_director(self, number: int) -> None:
        """Kill a director; its status is not polled until it is restarted."""
        self.down.add(number)
        self.log.write("killed", d=number)
        self.directors[number].kill()

    def restart_director(self, number: int) -> None:
        """Start a killed director again."""
        self.directors[number].start()
        self.down.discard(number)
        self.log.write("revived", d=number)

    # Run

    def play(self, report: ProgressCallback = lambda *_: None) -> Verdict:
        """Run the whole day, end all peers and directors, and return the auditor's verdict."""
        try:
            self.begin()
            self.run(build_schedule(self.scenario, self), report)
            # Wait for requests in progress, which end within the time limit of their route.
            time.sleep(max(route.time_limit for route in self.scenario.routes) / 1e6)
            self.poll_status()
        finally:
            self.close()
        return audit(read_logs(self.folder), audit_limits(self.scenario, self.settings[0]))

    def run(self, schedule: list[Step], report: ProgressCallback) -> None:
        """Run each step when it is due until the end of the day, and poll the directors' status meanwhile."""
        heapify(schedule)
        begin_us = now_us()
        end_us = begin_us + self.scenario.length
        self.log.write("mark", what="begin")
        next_poll_us = begin_us
        while (now := now_us()) < end_us:
            elapsed_us = now - begin_us
            self.run_due_steps(schedule, elapsed_us, report)
            if now_us() >= next_poll_us:
                next_poll_us += int(STATUS_INTERVAL_S * 1e6)
                report(elapsed_us / 1e6, "", self.poll_status())
            wake_us = min([next_poll_us, end_us, *(begin_us + step.at_us for step in schedule[:1])])
            time.sleep(max(MIN_SLEEP_S, (wake_us - now_us()) / 1e6))
        self.log.write("mark", what="end")

    def run_due_steps(self, schedule: list[Step], elapsed_us: int, report: ProgressCallback) -> None:
        """Run and remove the steps that are due; log and report those that have a text."""
        while schedule and schedule[0].at_us <= elapsed_us:
            step = heappop(schedule)
            step.run()
            if step.text:
                self.log.write("event", text=step.text)
                report(elapsed_us / 1e6, step.text, [])

    def close(self) -> None:
        """End all peers and directors."""
        for group in self.proxy_groups:
            group.close()
        if self.fleet is not None:
            self.fleet.close()
        for director in self.directors:
            director.close()
        self.log.close()
