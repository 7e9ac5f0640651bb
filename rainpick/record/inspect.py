"""State of a director at a point in time of a record, and the factors behind each weight.

To avoid a second copy of the arithmetic, the decision modules compute the factors: the percentage is computed
once with the state of a cause reset and once with its actual state, and the ratio of the two results is the
factor of this cause. The keys of the returned dicts are the output of ``--inspect --json`` and must not
change.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from rainpick.decisions.director import Director
from rainpick.decisions.servers import ServerState
from rainpick.decisions.slow_start import Conditions
from rainpick.decisions.tables import Table
from rainpick.model import EndpointState
from rainpick.record.incarnations import MissingSteps
from rainpick.record.replay import Replay
from rainpick.record.schema import format_address
from rainpick.record.steps import Incarnation, Step

STATES: dict[int, str] = {
    EndpointState.GONE: "gone",
    EndpointState.READY: "ready",
    EndpointState.DRAINING: "draining",
}


class InspectError(LookupError):
    """The inspected subject does not exist at the requested time, or the record does not cover this time."""


class Factor(NamedTuple):
    """A cause and the factor by which it changes the weight; 1.0 means that it had no effect."""

    cause: str
    multiplier: float


def replay_director_until(
    incarnation: Incarnation,
    steps: Iterable[Step | MissingSteps],
    until_us: int,
    director_factory: Callable[[], Director] = Director,
) -> Director:
    """Replay the steps up to ``until_us`` on the director's own clock and return the director after them.

    ``InspectError`` if no step was recorded by then, or if steps are missing before.
    """
    replay = Replay(incarnation, director_factory)
    for step in steps:
        if isinstance(step, Step) and step.now > until_us:
            break
        replay.apply(step)
    if not replay.steps and replay.missing is None:
        raise InspectError("nothing was recorded before that moment")
    return director_of_replay(replay)


def director_of_replay(replay: Replay) -> Director:
    """Return the director of a replay; ``InspectError`` if steps were missing."""
    if replay.missing is not None:
        raise InspectError(f"steps are missing before that moment: {replay.missing.reason}")
    return replay.director


def inspect_subject(director: Director, subject: str) -> dict[str, Any]:
    """Return the state of a subject: ``fleet``, ``server=HOST:PORT``, ``table=N`` or ``proxy=N``."""
    kind, _, name = subject.partition("=")
    if kind == "fleet":
        return fleet(director)
    if kind == "server":
        return server(director, name)
    if kind in ("table", "proxy") and name.isdecimal():
        return (table if kind == "table" else proxy)(director, int(name))
    raise InspectError(f"{subject!r} is not fleet, server=HOST:PORT, table=N or proxy=N")


def find_server(director: Director, address_text: str) -> ServerState:
    """Return the server with this formatted address; ``InspectError`` if there is none."""
    servers = director.fleet.servers
    for address, server_state in servers.items():
        if format_address(address) == address_text:
            return server_state
    raise InspectError(
        f"no server {address_text!r} is held; there are " + abbreviate(map(format_address, servers))
    )


def abbreviate(names: Iterable[Any]) -> str:
    """Join names for an error message. Names after the eighth are only counted."""
    names = [str(name) for name in names]
    return ", ".join(names[:8]) + (f" and {len(names) - 8} more" if len(names) > 8 else "") or "none"


def percentage(director: Director, server: ServerState, conditions: Conditions) -> float:
    """Return the percentage of a server under given conditions, from 0 to 1. The server is not changed."""
    return director.slow_start.advance(copy.copy(server), conditions)


def factors(director: Director, server: ServerState) -> list[Factor]:
    """Return the factors of a server's percentage in the order of the decision modules.

    Their product is the percentage. All causes are first set to values without an effect, in a copy of the
    server and in the conditions, and then restored one after the other.
    """
    actual = director.conditions()
    conditions = Conditions({}, 1.0, 0.0, 1.0)
    server_copy = copy.copy(server)
    server_copy.endpoint = server_copy.endpoint._replace(started_us=0)
    server_copy.status, server_copy.capacity_factor = EndpointState.READY, 1.0
    server_copy.recovering_since_us, server_copy.ejected_until_us = None, 0
    recovery = {
        "recovering_since_us": server.recovering_since_us,
        "consecutive_ejections": server.consecutive_ejections,
    }
    congestion = {"success_ratio": actual.success_ratio, "latency_ratio": actual.latency_ratio}
    causes: tuple[tuple[str, dict[str, Any], dict[str, Any]], ...] = (
        ("its state on the list", {"status": server.status}, {}),
        ("ejected on evidence", {"ejected_until_us": server.ejected_until_us}, {}),
        ("the server is eased", {"capacity_factor": server.capacity_factor}, {}),
        ("its machine type is eased", {}, {"machine_type_factors": actual.machine_type_factors}),
        ("back from a drain or an ejection", recovery, {}),
        ("it has just started", {"endpoint": server.endpoint}, {}),
        ("cold, and the fleet is in a jam", {}, congestion),
        ("cold, and few are warm", {}, {"warming_fraction": actual.warming_fraction}),
    )
    result, previous = [], 1.0
    for cause, server_fields, condition_fields in causes:
        for name, value in server_fields.items():
            setattr(server_copy, name, value)
        conditions = conditions._replace(**condition_fields)
        current = percentage(director, server_copy, conditions)
        result.append(Factor(cause, current / previous if previous else 1.0))
        previous = current
    return result


def table_factors(director: Director, server: ServerState, table: Table) -> list[Factor]:
    """Return the factors of a server's weight in a table, in addition to those of its percentage.

    There are none if the weight of the server is 0.
    """
    effective_weight = server.effective_weight()
    if not effective_weight:
        return []
    without_warming = copy.copy(table)
    without_warming.warming_fraction = 1.0
    locality_factor = director.assignment.weight(server, without_warming) / effective_weight
    weight = director.assignment.weight(server, table)
    warming_factor = weight / effective_weight / locality_factor if locality_factor else 1.0
    return [
        Factor("of another zone", locality_factor),
        Factor("cold, and few of the table are warm", warming_factor),
    ]


def server(director: Director, address_text: str) -> dict[str, Any]:
    """Return the state of a server. ``address_text``: its address as formatted by ``format_address``."""
    state = find_server(director, address_text)
    clock, entry = director.fleet.clock, state.endpoint
    now = clock.now
    attempts, failures, latency_us = state.observations.sums(clock.bucket)
    return {
        "server": address_text,
        "state": STATES.get(state.status, "dropped by a list that may be wrong"),
        "listed_weight": entry.weight,
        "zone": entry.zone,
        "machine": entry.machine_type,
        "age_s": (now - entry.started_us) / 1e6 if entry.started_us else None,
        "percentage": percentage(director, state, director.conditions()),
        "because": factors(director, state),
        "shut": state.withdrawn,
        "ejected_for_s": max(0.0, (state.ejected_until_us - now) / 1e6) if state.ejected_until_us else 0.0,
        "relapses": state.consecutive_ejections,
        "heard_ago_s": (now - state.last_report_us) / 1e6 if state.last_report_us else None,
        "lately": {
            "tries": attempts,
            "dropped": failures,
            "mean_ms": latency_us / max(1, attempts - failures) / 1e3,
        },
        "tables": {
            table.number: {
                "told": state.published_weights.get(table.number, 0.0),
                "wants": director.assignment.weight(state, table),
                "because": table_factors(director, state, table),
            }
            for table in sorted(state.tables, key=lambda table: table.number)
        },
    }


def table(director: Director, number: int) -> dict[str, Any]:
    """Return the state of a table, and the published weights of its servers."""
    tables = director.fleet.tables
    state = next((table for table in tables if table.number == number), None)
    if state is None:
        raise InspectError(f"there is no table {number}; there are {len(tables)}")
    members = {
        format_address(address): server
        for address, server in director.fleet.servers.items()
        if number in server.published_weights
    }
    return {
        "table": number,
        "zone": state.zone,
        "used": state.used,
        "proxies": sorted(state.proxies),
        "warm_weight": state.warm_weight,
        "most_warm_weight": state.peak_warm_weight,
        "left_to_the_cold": state.warming_fraction,
        "levels": {str(route): rate for route, rate in state.published_admission.items()},
        "told": {name: server.published_weights[number] for name, server in members.items()},
        "shut": [name for name, server in members.items() if server.withdrawn],
    }


def proxy(director: Director, number: int) -> dict[str, Any]:
    """Return the state of a proxy, and the messages that it has not acknowledged."""
    fleet = director.fleet
    state = fleet.proxies.get(number)
    if state is None:
        raise InspectError(f"proxy {number} has not joined; there are {abbreviate(sorted(fleet.proxies))}")
    available = director.publisher.available_messages(copy.copy(state))
    return {
        "proxy": number,
        "zone": state.zone,
        "table": state.group.number if isinstance(state.group, Table) else None,
        "home": director.assignment.home_table(state).number if fleet.tables else None,
        "joined_ago_s": (fleet.clock.now - state.joined_us) / 1e6,
        "usual_calls_per_s": state.request_rate,
        "messages_left": None if fleet.settings.messages_max <= 1 else available,
        "unread": [{"mark": message.nonce, "lines": message.lines} for message in state.unacknowledged],
    }


def fleet(director: Director) -> dict[str, Any]:
    """Return the state of the fleet as a whole."""
    fleet, load, capacity = director.fleet, director.load, director.capacity
    states = [STATES.get(server.status, "missing") for server in fleet.servers.values()]
    factors = director.overload.machine_type_factors
    return {
        "proxies": len(fleet.proxies),
        "not_bound": len(fleet.unbound_proxies()),
        "servers": {state: states.count(state) for state in sorted(set(states))},
        "tables": sum(table.used for table in fleet.tables),
        "lines_waiting": director.publisher.queue.waiting,
        "queue": fleet.settings.channel_lines_max,
        "answering": load.success_ratio,
        "load_in_slo_times": load.latency_ratio,
        "warm_weight": capacity.warm_weight,
        "most_warm_weight": capacity.peak_warm_weight,
        "left_to_the_cold": capacity.warming_fraction,
        "limit_of_calls": director.admission.limit,
        "eased_types": {str(number): factor for number, factor in factors.items() if factor < 1},
        "ejected": [
            format_address(address) for address, server in fleet.servers.items() if server.ejected_until_us
        ],
    }
