"""Derives the settings of the directors, the peers and the auditor from a scenario."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from rainpick.rules import Limits
from rainpick.settings import Settings
from rainpick.simulated_peers.peer_settings import MachineType, PeerSettings, RouteLoad, SlowStart
from rainpick.simulated_peers.scenario import Route, Scenario

LISTENERS = ("sasp", "otlp", "status", "mqtt")


def director_settings(scenario: Scenario, number: int, ports: list[int], folder: Path) -> dict[str, Any]:
    """Build the content of a director's settings file; the scenario's ``settings`` take precedence.

    ``ports`` has a port for each of ``LISTENERS``, in the same order.
    """
    settings: dict[str, Any] = {
        "director": {
            "number": number,
            "of": scenario.directors,
            "seed": scenario.seed + number + 1,
            "list_cache": str(folder / f"list-{number}.json"),
            "settle": "500ms",
        },
        "listen": {listener: f"127.0.0.1:{port}" for listener, port in zip(LISTENERS, ports, strict=True)},
        "zones": list(scenario.zones),
        "machines": [machine.name for machine in scenario.machines],
        "routes": [route_settings(route) for route in scenario.routes],
        "proxies": {
            "count": scenario.proxies,
            "standing_lines": scenario.standing,
            "report_every": f"{scenario.report_every}us",
            "known": [{"match": "edge-*", "rate": scenario.calls_per_s / scenario.proxies}],
        },
        "record": {"folder": str(folder / f"record-{number}"), "sync": False},
    }
    for section, values in scenario.settings.items():
        settings[section] = {**settings.get(section, {}), **values} if isinstance(values, dict) else values
    return settings


def route_settings(route: Route) -> dict[str, Any]:
    """Build the entry of a route in a director's settings file."""
    return {
        "name": route.name,
        "slo_time": f"{route.slo_time}us",
        "time_limit": f"{route.time_limit}us",
        "importance": route.importance,
        "effect": route.effect,
        "repeat_window": f"{route.repeat_window}us",
    }


def audit_limits(scenario: Scenario, settings: Settings) -> Limits:
    """Build the auditor's limits from the settings of a director and the routes of the scenario."""
    rules, channel = settings.rules, settings.channel
    return Limits(
        bare=rules.bare,
        grace=rules.drain_grace,
        warm_after=rules.warm_after,
        start_capacity=rules.start_capacity,
        fall_multiple=rules.fall_multiple,
        fall=rules.fall,
        pending=channel.pending_lines,
        lines_per_s=channel.lines_per_s,
        head=channel.head_lines,
        messages_most=channel.messages_most,
        messages_over=channel.messages_over,
        member_grace=settings.fleet.member_grace,
        gone_binds=not rules.gone_does_not_bind,
        routes={
            route.name: {
                "importance": route.importance,
                "effect": route.effect,
                "window": route.repeat_window,
            }
            for route in scenario.routes
        },
    )


def peer_settings(scenario: Scenario, directors: Sequence[Settings]) -> PeerSettings:
    """Build the settings of the peers from the scenario and the settings of the directors."""
    settings = directors[0]
    rules = settings.rules
    listens = [director.listen for director in directors]
    min_us, max_us = scenario.redial
    return PeerSettings(
        seed=scenario.seed,
        zones=scenario.zones,
        servers=scenario.servers,
        uid=settings.fleet.uid,
        group=settings.fleet.group,
        machines=tuple(
            MachineType(machine.name, machine.slots, machine.speed, machine.weight)
            for machine in scenario.machines
        ),
        routes=tuple(route_load(route) for route in scenario.routes),
        slow_start=SlowStart(rules.warm_after, rules.start_capacity, rules.fall, rules.fall_multiple),
        sasp=tuple((listen.sasp.host, listen.sasp.port) for listen in listens),
        mqtt=tuple((listen.mqtt.host, listen.mqtt.port) if listen.mqtt else None for listen in listens),
        otlp=tuple((listen.otlp.host, listen.otlp.port) for listen in listens),
        fronts=scenario.fronts,
        proxies=scenario.proxies,
        calls_per_s=scenario.calls_per_s,
        pick=scenario.pick,
        default_servers=scenario.standing,
        retry=scenario.repeat,
        client_retries=scenario.client_repeats,
        client_retry_delay_s=scenario.client_wait / 1e6,
        attempt_limit_share=scenario.try_share,
        report_interval_s=scenario.report_every / 1e6,
        reconnect_delay_s=(min_us / 1e6, max_us / 1e6),
    )


def route_load(route: Route) -> RouteLoad:
    """Build the entry of a route in the settings of the peers."""
    return RouteLoad(
        name=route.name,
        share=route.share,
        work_us=route.work,
        slo_us=route.slo_time,
        time_limit_us=route.time_limit,
        effect=route.effect,
        retry_window_us=route.repeat_window,
    )
