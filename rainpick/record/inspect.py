"""What a director held at a moment of a recorded day, and why a weight is what it is.

The factors of a weight are asked of the module itself: it is given the same state with a cause taken away,
and what changes is that cause's part. Nothing of its arithmetic is written here a second time.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from rainpick.decisions.director import Director
from rainpick.model import EndpointState
from rainpick.record.replay import Hole, Playing
from rainpick.record.steps import Life, Step
from rainpick.record.view import named

STATES = {EndpointState.GONE: "gone", EndpointState.READY: "ready", EndpointState.DRAINING: "draining"}


class InspectError(LookupError):
    """No such server, table or proxy is held at that moment, or the moment can't be reached."""


class Factor(NamedTuple):
    """A cause and what it multiplies the weight by; 1.0: it did not bind."""

    cause: str
    times: float


def reach(
    life: Life, steps: Iterable[Step | Hole], until_us: int, module: Callable[[], Director] = Director
) -> Director:
    """The module as it was after the last step at or before ``until_us``, by the director's clock."""
    playing = Playing(life, module)
    for step in steps:
        if isinstance(step, Step) and step.now > until_us:
            break
        playing.take(step)
    if not playing.steps and playing.hole is None:
        raise InspectError("nothing was recorded before that moment")
    return whole(playing)


def whole(playing: Playing) -> Director:
    """The module of a life that was played without a hole."""
    if playing.hole is not None:
        raise InspectError(f"steps are missing before that moment: {playing.hole.why}")
    return playing.director


def asked_for(director: Director, words: str) -> dict[str, Any]:
    """``fleet``, ``server=HOST:PORT``, ``table=N`` or ``proxy=N``."""
    kind, _, name = words.partition("=")
    if kind == "fleet":
        return fleet(director)
    if kind == "server":
        return server(director, name)
    if kind in ("table", "proxy") and name.isdecimal():
        return (table if kind == "table" else proxy)(director, int(name))
    raise InspectError(f"{words!r} is not fleet, server=HOST:PORT, table=N or proxy=N")


def find(director: Director, words: str) -> Any:
    for address, held in director.servers.items():
        if named(address) == words:
            return held
    raise InspectError(f"no server {words!r} is held; there are " + some(map(named, director.servers)))


def some(names: Iterable[Any]) -> str:
    names = [str(name) for name in names]
    return ", ".join(names[:8]) + (f" and {len(names) - 8} more" if len(names) > 8 else "") or "none"


def asked(director: Director, held: Any) -> float:
    """The percentage that the module gives it; the question leaves no trace."""
    return director.percentage(copy.copy(held))


def factors(director: Director, held: Any) -> list[Factor]:
    """The causes of a server's percentage, in the module's order; their product is the percentage."""
    bare, free = copy.copy(director), copy.copy(held)
    bare.kinds, bare.answering, bare.load, bare.cold_part = {}, 1.0, 0.0, 1.0
    free.entry = free.entry._replace(started_us=0)
    free.health, free.back_us, free.eject_until = 1.0, None, 0

    def on_list() -> None:
        free.state = held.state

    def shut_out() -> None:
        free.eject_until = held.eject_until

    def eased() -> None:
        free.health = held.health

    def kind_eased() -> None:
        bare.kinds = director.kinds

    def back() -> None:
        free.back_us, free.relapses = held.back_us, held.relapses

    def cold() -> None:
        free.entry = held.entry

    def jam() -> None:
        bare.answering, bare.load = director.answering, director.load

    def few_warm() -> None:
        bare.cold_part = director.cold_part

    found, before = [], 1.0
    free.state = EndpointState.READY
    for cause, give in (
        ("its state on the list", on_list),
        ("ejected on evidence", shut_out),
        ("the server is eased", eased),
        ("its machine type is eased", kind_eased),
        ("back from a drain or an ejection", back),
        ("it has just started", cold),
        ("cold, and the fleet is in a jam", jam),
        ("cold, and few are warm", few_warm),
    ):
        give()
        now = asked(bare, free)
        found.append(Factor(cause, now / before if before else 1.0))
        before = now
    return found


def by_table(director: Director, held: Any, table: Any) -> list[Factor]:
    """What a table multiplies a server's weight by, beside its percentage."""
    laid, near = held.laid(), copy.copy(table)
    near.cold_part = 1.0
    if not laid:
        return []
    far = director.weight(held, near) / laid
    rest = director.weight(held, table) / laid / far if far else 1.0
    return [Factor("of another zone", far), Factor("cold, and few of the table are warm", rest)]


def server(director: Director, words: str) -> dict[str, Any]:
    """All that is held of a server. ``words``: its address as it is printed."""
    held = find(director, words)
    now, entry = director.now, held.entry
    tables = {table.number: table for table in held.tables}
    tries, lost, took = held.drops.sums(director.bucket)
    return {
        "server": words,
        "state": STATES.get(held.state, "dropped by a list that may be wrong"),
        "listed_weight": entry.weight,
        "zone": entry.zone,
        "machine": entry.machine_type,
        "age_s": (now - entry.started_us) / 1e6 if entry.started_us else None,
        "percentage": asked(director, held),
        "because": factors(director, held),
        "shut": held.shut,
        "ejected_for_s": max(0.0, (held.eject_until - now) / 1e6) if held.eject_until else 0.0,
        "relapses": held.relapses,
        "heard_ago_s": (now - held.heard_us) / 1e6 if held.heard_us else None,
        "lately": {"tries": tries, "dropped": lost, "mean_ms": took / max(1, tries - lost) / 1e3},
        "tables": {
            number: {
                "told": held.told.get(number, 0.0),
                "wants": director.weight(held, table),
                "because": by_table(director, held, table),
            }
            for number, table in sorted(tables.items())
        },
    }


def table(director: Director, number: int) -> dict[str, Any]:
    for one in director.tables:
        if one.number == number:
            break
    else:
        raise InspectError(f"there is no table {number}; there are {len(director.tables)}")
    members = {named(address): held for address, held in director.servers.items() if number in held.told}
    told = {name: held.told[number] for name, held in members.items()}
    shut = [name for name, held in members.items() if held.shut]
    return {
        "table": number,
        "zone": one.zone,
        "used": one.used,
        "proxies": sorted(one.proxies),
        "warm_weight": one.warm,
        "most_warm_weight": one.most,
        "left_to_the_cold": one.cold_part,
        "levels": {str(route): level for route, level in one.said.items()},
        "told": told,
        "shut": shut,
    }


def proxy(director: Director, number: int) -> dict[str, Any]:
    held = director.proxies.get(number)
    if held is None:
        raise InspectError(f"proxy {number} has not joined; there are {some(sorted(director.proxies))}")
    tokens = director.tokens(copy.copy(held))
    return {
        "proxy": number,
        "zone": held.zone,
        "table": held.place.number,
        "home": director.home(held).number if director.tables else None,
        "joined_ago_s": (director.now - held.joined_us) / 1e6,
        "usual_calls_per_s": held.rate,
        "messages_left": None if director.get("proxies.pushes_allowed", 0) <= 1 else tokens,
        "unread": [{"mark": mark, "lines": lines} for mark, lines in held.unread],
    }


def fleet(director: Director) -> dict[str, Any]:
    states = [STATES.get(held.state, "missing") for held in director.servers.values()]
    return {
        "proxies": len(director.proxies),
        "not_bound": len(director.unbound()),
        "servers": {state: states.count(state) for state in sorted(set(states))},
        "tables": sum(one.used for one in director.tables),
        "lines_waiting": director.queue.waiting,
        "queue": director.pending,
        "answering": director.answering,
        "load_in_slo_times": director.load,
        "warm_weight": director.warm_now,
        "most_warm_weight": director.warm_most,
        "left_to_the_cold": director.cold_part,
        "limit_of_calls": director.limit,
        "eased_types": {str(kind): part for kind, part in director.kinds.items() if part < 1},
        "ejected": [named(address) for address, held in director.servers.items() if held.eject_until],
    }
