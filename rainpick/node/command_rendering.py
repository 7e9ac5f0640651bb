"""Encoding of the decisions' commands as JSON objects of the relay's protocol. Free of I/O."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any, TypeAlias

from rainpick import model

TableCommand: TypeAlias = (
    model.SetWeight | model.ClearTable | model.BindProxy | model.SetWithdrawn | model.SetAdmission
)


def render_command(command: TableCommand | model.RequestAcknowledgement, routes: Sequence[str]) -> bytes:
    """Encode one command as JSON. ``routes``: the route names by index."""
    return json.dumps(command_object(command, routes), separators=(",", ":")).encode()


def command_object(
    command: TableCommand | model.RequestAcknowledgement, routes: Sequence[str]
) -> dict[str, Any]:
    """Return the JSON object of a command; raise ``TypeError`` if the relay has no such command."""
    match command:
        case model.SetWeight(table, server, weight):
            return {"verb": "share", "cluster": table, "endpoint": server, "w": weight}
        case model.ClearTable(table):
            return {"verb": "clear", "cluster": table}
        case model.BindProxy(table, route_set, proxy):
            return {
                "verb": "bind",
                "node": proxy,
                "cluster": table,
                "for": route_names(route_set, routes),
            }
        case model.SetWithdrawn(server, withdrawn):
            return {"verb": "withdraw" if withdrawn else "restore", "endpoint": server}
        case model.SetAdmission(table, route_set, rate, retry_policy):
            return {
                "verb": "admit",
                "cluster": "*" if table == model.ALL_TABLES else table,
                "for": route_names(route_set, routes),
                "gate": rate,
                "again": retry_policy,
            }
        case model.RequestAcknowledgement(nonce, all_proxies):
            return {"verb": "mark", "stamp": nonce, "set": int(all_proxies)}
    raise TypeError(f"the relay's protocol has no command {type(command).__name__}")


def route_names(route_set: int, routes: Sequence[str]) -> list[str]:
    """Return the names of the routes in a bit set, where bit *n* represents route *n*."""
    return [
        name for index, name in enumerate(routes) if route_set == model.ALL_ROUTES or route_set >> index & 1
    ]
