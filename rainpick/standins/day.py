"""Plays a scripted day on loopback: directors, servers, proxies, clients; what happens; then the auditor."""

from __future__ import annotations

import contextlib
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import asdict
from heapq import heapify, heappop
from pathlib import Path
from typing import Any

from rainpick.http1.client import Client, ClientError
from rainpick.rules import Limits, Verdict, audit, read_logs
from rainpick.settings import Settings
from rainpick.standins.edges import Edge
from rainpick.standins.log import Log, now_us
from rainpick.standins.scenario import Scenario
from rainpick.standins.servers import Fleet

START_S = 20.0  # a day that has not begun by then has failed
LOOK_S = 0.5
PORTS = range(20_000, 32_768)


class DayError(Exception):
    """The day could not be played."""


def environment() -> dict[str, str]:
    """The child finds the same packages."""
    return {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, sys.path))}


def free_ports(many: int) -> list[int]:
    """Below those that the system deals out, which could go to any socket while a director restarts."""
    found: list[int] = []
    while len(found) < many:
        port = secrets.choice(PORTS)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            found += [] if port in found else [port]
    return found


def director_settings(scenario: Scenario, number: int, ports: list[int], folder: Path) -> dict[str, Any]:
    """The settings file of one director, as a plain value; the scenario's own settings come on top."""
    routes = [
        {
            "name": route.name,
            "slo_time": f"{route.slo_time}us",
            "time_limit": f"{route.time_limit}us",
            "importance": route.importance,
            "effect": route.effect,
            "repeat_window": f"{route.repeat_window}us",
        }
        for route in scenario.routes
    ]
    found: dict[str, Any] = {
        "director": {
            "number": number,
            "of": scenario.directors,
            "seed": scenario.seed + number + 1,
            "list_cache": str(folder / f"list-{number}.json"),
            "settle": "500ms",
        },
        "listen": {
            "sasp": f"127.0.0.1:{ports[0]}",
            "otlp": f"127.0.0.1:{ports[1]}",
            "status": f"127.0.0.1:{ports[2]}",
            "mqtt": f"127.0.0.1:{ports[3]}",
        },
        "zones": list(scenario.zones),
        "machines": [machine.name for machine in scenario.machines],
        "routes": routes,
        "proxies": {
            "count": scenario.proxies,
            "standing_lines": scenario.standing,
            "report_every": f"{scenario.report_every}us",
            "known": [{"match": "edge-*", "rate": scenario.calls_per_s / scenario.proxies}],
        },
        "record": {"folder": str(folder / f"record-{number}"), "sync": False},
    }
    for part, values in scenario.settings.items():
        found[part] = {**found.get(part, {}), **values} if isinstance(values, dict) else values
    return found


class DirectorProcess:
    """A director in a process of its own, killed outright and started again."""

    def __init__(self, settings: dict[str, Any], folder: Path):
        number = settings["director"]["number"]
        self.config = folder / f"director-{number}.json5"
        self.config.write_text(json.dumps(settings, indent=1))
        self.log = open(folder / f"director-{number}.log", "ab")  # noqa: SIM115
        self.process: subprocess.Popen | None = None
        self.start()

    def start(self) -> None:
        command = [sys.executable, "-m", "rainpick", "run", "--config", str(self.config)]
        self.process = subprocess.Popen(command, stderr=self.log, stdout=self.log, env=environment())

    def kill(self) -> None:
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def close(self) -> None:
        if self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(5)
            except subprocess.TimeoutExpired:
                self.kill()
        self.log.close()


class Remote:
    """A fleet or an edge in a process of its own, told what to do by lines."""

    def __init__(self, what: str, day: dict, words: list, log: Path):
        command = [sys.executable, "-m", "rainpick.standins", what, json.dumps(words), str(log)]
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True, env=environment()
        )
        self.process.stdin.write(json.dumps(day) + "\n")
        self.process.stdin.flush()
        self.said = json.loads(self.process.stdout.readline() or "null")
        if self.said is None:
            raise DayError(f"the stand-in {what} did not start")

    def do(self, what: str, numbers: list[int], **words) -> None:
        self.process.stdin.write(json.dumps([what, numbers, words]) + "\n")
        self.process.stdin.flush()

    def close(self) -> None:
        self.process.stdin.close()
        try:
            self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class Local:
    """The same within this process, for tests."""

    def __init__(self, what: str, day: dict, words: list, log: Path):
        self.log = Log(log)
        self.inner = Fleet(day, self.log) if what == "fleet" else Edge(day, *words, self.log)
        self.said: Any = True
        if what == "fleet":
            self.said = [[*server.place, server.pod_number()] for server in self.inner.servers]
        self.do = self.inner.do

    def close(self) -> None:
        self.inner.close()
        self.log.close()


class Day:
    """One day under way. ``launch`` makes a director from settings and folder; tests hand in doubles."""

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        launch: Callable[[dict, Path], Any] = DirectorProcess,
        part: type = Remote,
    ):
        folder.mkdir(parents=True, exist_ok=True)
        for old in folder.glob("*.json*"):
            old.unlink()
        self.scenario, self.folder, self.launch, self.part = scenario, folder, launch, part
        self.directors: list[Any] = []
        self.fleet = None
        self.edges: list[Any] = []
        self.log = Log(folder / "runner.jsonl")
        self.plain: dict[str, Any] = {}
        self.settings: list[Settings] = []
        self.down: set[int] = set()

    def limits(self) -> Limits:
        settings, scenario = self.settings[0], self.scenario
        rules, channel = settings.rules, settings.channel
        routes = {
            route.name: {
                "importance": route.importance,
                "effect": route.effect,
                "window": route.repeat_window,
            }
            for route in scenario.routes
        }
        return Limits(
            rules.bare,
            rules.drain_grace,
            rules.warm_after,
            rules.start_capacity,
            rules.fall_multiple,
            rules.fall,
            channel.pending_lines,
            channel.lines_per_s,
            channel.head_lines,
            channel.messages_most,
            channel.messages_over,
            settings.fleet.member_grace,
            not rules.gone_does_not_bind,
            routes,
        )

    def status(self, number: int) -> dict | None:
        host, port = self.settings[number].listen.status
        try:
            client = Client(host, port, timeout_s=1.0)
            found = client.call("GET", "/status")
            client.close()
            return json.loads(found[2]) if found[0] == 200 else None
        except ClientError:
            return None

    def wait_for(self, what: str, ready: Callable[[int, dict], bool]) -> None:
        until = time.monotonic() + START_S
        for number in range(self.scenario.directors):
            while (found := self.status(number)) is None or not ready(number, found):
                if time.monotonic() > until:
                    raise DayError(f"director {number}: {what} did not come about within {START_S:.0f} s")
                time.sleep(0.05)

    def begin(self) -> None:
        """Start all, and wait until every proxy is on a table."""
        scenario, rules_of = self.scenario, Settings.model_validate
        for number in range(scenario.directors):
            plain = director_settings(scenario, number, free_ports(4), self.folder)
            self.settings.append(rules_of(plain))
            self.directors.append(self.launch(plain, self.folder))
        self.wait_for("an answer", lambda _, found: bool(found))
        self.plain = self.for_standins()
        (self.folder / "limits.json").write_text(json.dumps(asdict(self.limits())))
        self.fleet = self.part("fleet", self.plain, [], self.folder / "fleet.jsonl")
        self.wait_for(
            "all servers listed",
            lambda _, found: (
                [server["state"] for server in found.get("servers", ())] == ["ready"] * scenario.servers
            ),
        )
        self.plain["listed"] = self.fleet.said
        for process in range(scenario.edge_processes):
            numbers = list(range(process, scenario.proxies, scenario.edge_processes))
            self.edges.append(self.part("edge", self.plain, [numbers], self.folder / f"edge-{process}.jsonl"))
        until = time.monotonic() + START_S
        while self.bound() < scenario.proxies:
            if time.monotonic() > until:
                raise DayError(f"{self.bound()} of {scenario.proxies} proxies are on a table")
            time.sleep(0.05)

    def bound(self) -> int:
        found = [self.status(number) or {} for number in range(self.scenario.directors)]
        return sum(proxy["table"] is not None for one in found for proxy in one.get("proxies", ()))

    def for_standins(self) -> dict[str, Any]:
        scenario, rules = self.scenario, self.settings[0].rules
        return {
            "seed": scenario.seed,
            "zones": scenario.zones,
            "servers": scenario.servers,
            "uid": self.settings[0].fleet.uid,
            "group": self.settings[0].fleet.group,
            "machines": [machine.model_dump() for machine in scenario.machines],
            "routes": [
                {
                    "name": route.name,
                    "share": route.share,
                    "work": route.work,
                    "slo": route.slo_time,
                    "limit": route.time_limit,
                    "effect": route.effect,
                    "window": route.repeat_window,
                }
                for route in scenario.routes
            ],
            "rules": rules.model_dump(),
            "directors": [settings.listen.sasp for settings in self.settings],
            "mqtt": [settings.listen.mqtt for settings in self.settings],
            "fronts": scenario.fronts,
            "otlp": [settings.listen.otlp for settings in self.settings],
            "proxies": scenario.proxies,
            "calls_per_s": scenario.calls_per_s,
            "pick": scenario.pick,
            "standing": scenario.standing,
            "repeat": scenario.repeat,
            "client_repeats": scenario.client_repeats,
            "client_wait_s": scenario.client_wait / 1e6,
            "try_share": scenario.try_share,
            "report_s": scenario.report_every / 1e6,
            "redial_s": [one / 1e6 for one in scenario.redial],
        }

    def deeds(self) -> list[tuple[int, int, str, Callable[[], None]]]:
        """What to do when: (microseconds from the beginning, order, what to say, the deed)."""
        found: list[tuple[int, int, str, Callable[[], None]]] = []
        scenario = self.scenario

        def add(at: int, text: str, deed: Callable[[], None]) -> None:
            found.append((at, len(found), text, deed))

        for event in scenario.events:
            servers, proxies, at = scenario.chosen(event), scenario.chosen_proxies(event), event.at
            end = at + event.lasts if event.lasts is not None else None

            def server_deed(what: str, numbers=servers, **words) -> Callable[[], None]:
                return lambda: self.fleet.do(what, numbers, **words)

            def proxy_deed(what: str, numbers=proxies, **words) -> Callable[[], object]:
                return lambda: [edge.do(what, numbers, **words) for edge in self.edges]

            if event.do in ("slow", "drop", "hang"):
                on = {"slow": {"factor": event.factor}, "drop": {"share": event.share}, "hang": {"on": True}}
                off = {"slow": {"factor": 1.0}, "drop": {"share": 0.0}, "hang": {"on": False}}
                add(at, f"{event.do}: {len(servers)} servers", server_deed(event.do, **on[event.do]))
                if end is not None:
                    add(end, f"{event.do} is over", server_deed(event.do, **off[event.do]))
            elif event.do in ("die", "lose_zone"):
                what = f"zone {event.zone} is lost" if event.zone else "sudden death"
                add(at, f"{what}: {len(servers)} servers", server_deed("die"))
                if end is not None:
                    add(end, f"{len(servers)} servers start again, cold", server_deed("start"))
            elif event.do in ("drain", "break_member_streams"):
                add(at, f"{event.do}: {len(servers)} servers", server_deed(event.do))
            elif event.do == "deploy":
                words = {"notice_s": event.notice / 1e6, "down_s": event.down / 1e6}
                for place, number in enumerate(servers):
                    text = f"deploy: {len(servers)} servers" if not place else ""
                    add(at + place * event.stagger, text, server_deed("replace", [number], **words))
            elif event.do == "kill_director":
                add(
                    at,
                    f"director {event.director} is killed",
                    lambda number=event.director: self.kill(number),
                )
                add(
                    end or at + 1_000_000,
                    f"director {event.director} starts again",
                    lambda number=event.director: self.revive(number),
                )
            elif event.do == "break_streams":
                add(at, f"streams of {len(proxies)} proxies break", proxy_deed("break_streams"))
            elif event.do == "stop_reading":
                add(at, f"{len(proxies)} proxies stop reading", proxy_deed("stop_reading", on=True))
                if end is not None:
                    add(end, "they read again", proxy_deed("stop_reading", on=False))
            else:
                how = event.do.removesuffix("_reports")
                add(at, f"{how} reports of {len(proxies)} proxies", proxy_deed("reports", how=how))
                if end is not None:
                    add(end, "reports as usual", proxy_deed("reports", how="usual"))
        return found

    def kill(self, number: int) -> None:
        self.down.add(number)
        self.log("killed", d=number)
        self.directors[number].kill()

    def revive(self, number: int) -> None:
        self.directors[number].start()
        self.down.discard(number)
        self.log("revived", d=number)

    def look(self) -> list[dict | None]:
        numbers = range(self.scenario.directors)
        found = [None if number in self.down else self.status(number) for number in numbers]
        for number, one in enumerate(found):
            if one is not None:
                self.log("status", d=number, lines_most=one.get("channel", {}).get("lines_most"))
        return found

    def play(self, say: Callable[[float, str, list], None] = lambda *_: None) -> Verdict:
        """The whole day; ``say`` hears the second, what happened, and what the directors show."""
        try:
            self.begin()
            deeds = self.deeds()
            heapify(deeds)
            begin = now_us()
            self.log("mark", what="begin")
            next_look = begin
            while (passed := now_us() - begin) < self.scenario.length:
                while deeds and deeds[0][0] <= passed:
                    _, _, text, deed = heappop(deeds)
                    deed()
                    if text:
                        self.log("event", text=text)
                        say(passed / 1e6, text, [])
                if now_us() >= next_look:
                    next_look += int(LOOK_S * 1e6)
                    say(passed / 1e6, "", self.look())
                nexts = [begin + deed[0] for deed in deeds[:1]]
                wake = min(next_look, begin + self.scenario.length, *nexts)
                time.sleep(max(0.001, (wake - now_us()) / 1e6))
            self.log("mark", what="end")
            time.sleep(max(route.time_limit for route in self.scenario.routes) / 1e6)  # calls under way end
            self.look()
        finally:
            self.close()
        return audit(read_logs(self.folder), self.limits())

    def close(self) -> None:
        for part in (*self.edges, *([self.fleet] if self.fleet else ()), *self.directors):
            part.close()
        self.log.close()
