"""Actions of operators on tables over the status frontend: show a version, pin, roll back, release."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from rainpick.director.context import Context
from rainpick.director.engine import Engine
from rainpick.director.list_follower import ListFollower
from rainpick.director.messages import TableAction, TableActionRequest, TableActionResult
from rainpick.director.tables import Tables
from rainpick.publish.pins import PinError, PinnedVersion, TablePins

LOG_EVENTS: Mapping[TableAction, str] = {
    "pin": "table pinned",
    "rollback": "table rolled back",
    "release": "table released",
}


def table_row(engine: Engine, pins: TablePins, number: int) -> dict[str, Any]:
    """Return a table and its pin, as shown by ``/status`` and in the results of the actions."""
    tables, pin = engine.tables, pins.by_table.get(number)
    newest = tables.current(number)
    return {
        "table": number,
        "version": newest.version,
        "digest": newest.digest,
        "lines": len(newest.lines),
        "open": sum(weight > 0 for weight, _ in newest.lines.values()),
        "proxies": len(tables.bound.get(number, ())),
        "kept": [snapshot.version for snapshot in tables.history.get(number, ())],
        "pinned": pin_row(pin, number in pins.idle_tables) if pin is not None else None,
    }


def pin_row(pin: PinnedVersion, idle: bool) -> dict[str, Any]:
    """Return the row of a pin.

    ``idle``: no server of the pinned version is available, so the unpinned table is published.
    """
    return {"version": pin.version, "who": pin.operator, "why": pin.reason, "idle": idle}


class TableActions:
    """Executes requests about tables in the event loop's thread."""

    def __init__(self, context: Context, follower: ListFollower):
        self.context = context
        self.follower = follower

    def handle(self, request: TableActionRequest) -> None:
        """Execute a request and reply to it.

        The status is 400 for invalid parameters, and 409 if the action is not possible now.
        """
        try:
            document = self.execute(request.action, request.parameters)
            result = TableActionResult(200, document)
        except PinError as error:
            result = TableActionResult(409, {"error": str(error)})
        except (KeyError, TypeError, ValueError, OverflowError, RecursionError) as error:
            result = TableActionResult(400, {"error": f"{type(error).__name__}: {error}"})
        request.reply(result)

    def execute(self, action: TableAction, parameters: dict[str, Any]) -> dict[str, Any]:
        """Execute an action on a table; return the JSON document of the reply.

        An action that changes the table is logged. ``PinError`` if the action is not possible now, other
        exceptions for invalid parameters.
        """
        engine, pins = self.context.engine, self.follower.pins
        if engine is None or pins is None:
            raise PinError("the director has not begun yet")
        number = int(parameters["table"])
        if number not in engine.tables.lines:
            raise PinError(f"there is no table {number}")
        if action == "show":
            return self.show(engine.tables, number, parameters.get("version"))
        who, why = str(parameters["who"]), str(parameters["why"])
        if action == "release":
            pin = pins.release(number)
        else:
            newest = engine.tables.current(number).version
            version = int(parameters.get("version") or (newest if action == "pin" else newest - 1))
            pin = pins.pin(number, engine.tables.version(number, version), who, why, self.context.clock())
        engine.table_changed(number)
        self.context.log.warning(LOG_EVENTS[action], table=number, version=pin.version, who=who, why=why)
        return table_row(engine, pins, number)

    @staticmethod
    def show(tables: Tables, number: int, requested: Any) -> dict[str, Any]:
        """Return the weights of the requested version of a table, by default the newest one."""
        newest = tables.current(number)
        version = int(requested or newest.version)
        snapshot = tables.version(number, version)
        if snapshot is None:
            raise PinError(f"version {version} of table {number} is not kept")
        lines = sorted(snapshot.lines.items())
        return {
            "table": number,
            "version": version,
            "digest": snapshot.digest,
            "lines": {f"{host}:{port}": weight for (host, port), (weight, _) in lines},
        }
