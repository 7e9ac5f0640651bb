"""What a director shows of itself: plain values, taken within the core's thread."""

from __future__ import annotations

import _thread
import json
from typing import TYPE_CHECKING, Any

from rainpick import model
from rainpick.http1.server import Answer, Asked
from rainpick.publish.pins import PinError

if TYPE_CHECKING:
    from rainpick.director.core import Core

STATES = {
    model.EndpointState.GONE: "gone",
    model.EndpointState.READY: "ready",
    model.EndpointState.DRAINING: "draining",
}


def status(core: Core) -> dict[str, Any]:
    """The director's state as of now."""
    engine, now, names = core.engine, core.clock(), core.settings
    found: dict[str, Any] = {
        "director": names.director.number,
        "phase": "settling" if engine is None else "deciding",
        "up_s": round((now - core.born_us) / 1e6, 3),
        "threads": _thread._count(),
        "streams": {"open": len(core.streams), **core.counts},
        "inbox": {"waiting": core.inbox.qsize(), **core.waits},
        "reports": {**core.evidence.counts, "unknown": core.evidence.unknown, "told": core.evidence.told},
    }
    if engine is None:
        return found
    tables, channel = engine.tables, engine.channel
    weights: dict[Any, dict[str, int]] = {}
    for number, lines in tables.lines.items():
        for server, weight in lines.items():
            weights.setdefault(server, {})[str(number)] = (
                0 if server in tables.withdrawn else tables.scale(weight)
            )
    stepper = engine.stepper
    found["engine"] = {
        "steps": stepper.steps,
        "events": stepper.heard,
        "orders": stepper.ordered,
        **vars(engine.counts),
    }
    found["channel"] = {
        "lines": channel.lines,
        "lines_most": channel.lines_most,
        "limit": names.channel.pending_lines,
        "messages": len(channel.waiting),
        "blocked": len(channel.blocked),
        "held_back": channel.held_back,
    }
    found["servers"] = [
        {
            "address": f"{entry.address[0]}:{entry.address[1]}",
            "state": STATES[entry.state],
            "weight": entry.weight,
            "zone": names.zones[entry.zone],
            "machine": names.machines[entry.machine_type],
            "pod": entry.pod,
            "age_s": round((now - entry.started_us) / 1e6, 1) if entry.started_us else None,
            "withdrawn": entry.address in tables.withdrawn,
            "tables": weights.get(entry.address, {}),
        }
        for entry in core.membership.whole()
    ]
    found["proxies"] = [
        {
            "uid": served.uid,
            "number": served.number,
            "joined": served.joined,
            "table": tables.proxies[served.number].table if served.number in tables.proxies else None,
            "push": served.pushes,
            "blocked": served.blocked_us is not None,
            "peer": served.stream.peer,
            "rate": round(core.evidence.rates.get(served.uid, 0.0), 2),
        }
        for _, served in sorted(core.by_uid.items())
    ]
    if core.recorder is not None:
        found["record"] = {"steps": core.recorder.steps, "lost": core.recorder.lost}
    found["notes"] = list(engine.notes)
    found["epoch"], found["subscribers"] = core.subscribers.epoch, core.subscribers.status()
    found["tables"] = [table_row(core, number) for number in sorted(tables.lines)]
    return found


def table_row(core: Core, number: int) -> dict[str, Any]:
    tables, pin = core.engine.tables, core.pins.pins.get(number)
    newest = tables.current(number)
    return {
        "table": number,
        "version": newest.version,
        "digest": newest.digest,
        "lines": len(newest.lines),
        "open": sum(weight > 0 for weight, _ in newest.lines.values()),
        "proxies": len(tables.bound.get(number, ())),
        "kept": [one.version for one in tables.history.get(number, ())],
        "pinned": pin
        and {"version": pin.version, "who": pin.who, "why": pin.why, "idle": number in core.pins.idle},
    }


def table_deed(core: Core, deed: str, words: dict[str, Any]) -> dict[str, Any]:
    """Show a version, or pin, roll back, release a table; ``PinError`` or ``KeyError`` if it can't be."""
    if core.engine is None:
        raise PinError("the director has not begun yet")
    tables, number = core.engine.tables, int(words["table"])
    if number not in tables.lines:
        raise PinError(f"there is no table {number}")
    newest = tables.current(number)
    if deed == "show":
        version = int(words.get("version") or newest.version)
        one = tables.version(number, version)
        if one is None:
            raise PinError(f"version {version} of table {number} is not kept")
        return {
            "table": number,
            "version": version,
            "digest": one.digest,
            "lines": {f"{host}:{port}": weight for (host, port), (weight, _) in sorted(one.lines.items())},
        }
    who, why = str(words["who"]), str(words["why"])
    if deed == "release":
        pin = core.pins.release(number)
    else:
        wanted = words.get("version") or (newest.version if deed == "pin" else newest.version - 1)
        pin = core.pins.pin(number, tables.version(number, int(wanted)), who, why, core.clock())
    core.engine.reordered(number)
    core.log.warning(
        "table " + {"pin": "pinned", "rollback": "rolled back", "release": "released"}[deed],
        table=number,
        version=pin.version,
        who=who,
        why=why,
    )
    return table_row(core, number)


DEEDS = frozenset({"show", "pin", "rollback", "release"})


def change(core: Core, deed: str, asked: Asked) -> Answer:
    """POST /tables/DEED with a JSON object of words."""
    if deed not in DEEDS:
        return Answer(404, b'{"error": "show, pin, rollback and release can be done"}')
    if asked.method != "POST":
        return Answer(405, b'{"error": "POST is wanted"}')
    try:
        words = json.loads(asked.body)
        if not isinstance(words, dict):
            raise ValueError("an object is wanted")
    except ValueError as flaw:
        return Answer(400, json.dumps({"error": str(flaw)}).encode())
    found = core.ask("table", deed, words)
    if found is None:
        return Answer(503, b'{"error": "the director is busy"}')
    return Answer(found[0], json.dumps(found[1]).encode())


def handler(core: Core):
    """Answers on the status front."""

    def handle(asked: Asked) -> Answer:
        path = asked.path.partition("?")[0]
        if path.startswith("/tables/"):
            return change(core, path.removeprefix("/tables/"), asked)
        if path != "/status":
            return Answer(404, b'{"error": "/status and /tables/... are served here"}')
        if asked.method != "GET":
            return Answer(405, b'{"error": "GET is wanted"}')
        found = core.ask("status")
        if found is None:
            return Answer(503, b'{"error": "the director is busy"}')
        return Answer(200, json.dumps(found).encode())

    return handle
