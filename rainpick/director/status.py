"""What a director shows of itself: plain values, taken within the core's thread."""

from __future__ import annotations

import _thread
import json
from typing import TYPE_CHECKING, Any

from rainpick import interface as api
from rainpick.http1 import Answer, Asked

if TYPE_CHECKING:
    from rainpick.director.core import Core

STATES = {api.GONE: "gone", api.READY: "ready", api.DRAINING: "draining"}


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
                0 if server in tables.withdrawn else tables.scale(weight))
    found["engine"] = dict(vars(engine.counts))
    found["channel"] = {"lines": channel.lines, "lines_most": channel.lines_most,
                        "limit": names.channel.pending_lines, "messages": len(channel.waiting),
                        "blocked": len(channel.blocked), "held_back": channel.held_back}
    found["servers"] = [
        {"address": f"{entry.address[0]}:{entry.address[1]}", "state": STATES[entry.state],
         "weight": entry.weight, "zone": names.zones[entry.zone], "machine": names.machines[entry.machine],
         "pod": entry.cell, "age_s": round((now - entry.started_us) / 1e6, 1) if entry.started_us else None,
         "withdrawn": entry.address in tables.withdrawn, "tables": weights.get(entry.address, {})}
        for entry in core.membership.whole()]
    found["proxies"] = [
        {"uid": served.uid, "number": served.number, "joined": served.joined,
         "table": tables.proxies[served.number].table if served.number in tables.proxies else None,
         "push": served.pushes, "blocked": served.blocked_us is not None, "peer": served.stream.peer,
         "rate": round(core.evidence.rates.get(served.uid, 0.0), 2)}
        for _, served in sorted(core.by_uid.items())]
    found["notes"] = list(engine.notes)
    return found


def handler(core: Core):
    """Answers on the status front."""
    def handle(asked: Asked) -> Answer:
        if asked.path.partition("?")[0] != "/status":
            return Answer(404, b'{"error": "/status is served here"}')
        if asked.method != "GET":
            return Answer(405, b'{"error": "GET is wanted"}')
        found = core.ask("status")
        if found is None:
            return Answer(503, b'{"error": "the director is busy"}')
        return Answer(200, json.dumps(found).encode())
    return handle
