"""What operators do to tables over the status front: show a version, pin, roll back, release."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from rainpick.director.context import Context
from rainpick.director.engine import Engine
from rainpick.director.list_follower import ListFollower
from rainpick.director.messages import TableAction, TableActionRequest, TableActionResult
from rainpick.director.tables import Tables
from rainpick.publish.pins import PinError, PinnedVersion, Pins

LOG_EVENTS: Mapping[TableAction, str] = {
    "pin": "table pinned",
    "rollback": "table rolled back",
    "release": "table released",
}


def table_row(engine: Engine, pins: Pins, number: int) -> dict[str, Any]:
    """A table and its pin, as ``/status`` and the actions show them."""
    tables, pin = engine.tables, pins.pins.get(number)
    newest = tables.current(number)
    return {
        "table": number,
        "version": newest.version,
        "digest": newest.digest,
        "lines": len(newest.lines),
        "open": sum(weight > 0 for weight, _ in newest.lines.values()),
        "proxies": len(tables.bound.get(number, ())),
        "kept": [snapshot.version for snapshot in tables.history.get(number, ())],
        "pinned": pin_row(pin, number in pins.idle) if pin is not None else None,
    }


def pin_row(pin: PinnedVersion, idle: bool) -> dict[str, Any]:
    """A pin; ``idle``: nothing open is left of its version, so the ordinary table is published."""
    return {"version": pin.version, "who": pin.who, "why": pin.why, "idle": idle}


class TableActions:
    """Carries out requests about tables within the event loop's thread."""

    def __init__(self, context: Context, follower: ListFollower):
        self.context = context
        self.follower = follower

    def handle(self, request: TableActionRequest) -> None:
        """Answer a request; errors of the operator become a status of 400 or 409."""
        try:
            document = self.carry_out(request.action, request.parameters)
            result = TableActionResult(200, document)
        except PinError as error:
            result = TableActionResult(409, {"error": str(error)})
        except (KeyError, TypeError, ValueError) as error:
            result = TableActionResult(400, {"error": f"{type(error).__name__}: {error}"})
        request.reply(result)

    def carry_out(self, action: TableAction, parameters: dict[str, Any]) -> dict[str, Any]:
        """The JSON answer; ``PinError`` if it can't be done, other errors for bad parameters."""
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
        """The weights of one version of a table, the newest one unless another is requested."""
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
