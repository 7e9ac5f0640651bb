"""The platform's messages, sans-I/O: bytes in, ``rainpick.model`` events out; orders in, bytes out.

Frames (a count of four bytes, least significant first, then a JSON object) come to the director's address;
JSON-RPC lines pass between it and the relay; discovery answers with a JSON object.
"""

from __future__ import annotations

import json
import math
from typing import NamedTuple

from rainpick import model
from rainpick.net import Ended
from rainpick.node.configuration import Names

FRAME_MOST = 1 << 20
STRANGER_MOST = 4_096  # a message of who has not joined: a heartbeat or a joining, no more
LINE_MOST = 1 << 20
CALL_MOST = 58_000  # bytes of a call's orders; the relay takes 60,000
COUNT_MOST = 1 << 24  # no honest report counts more in one interval
INTERVAL_MOST_MS = 3_600_000.0
STATES = {
    "Ready": model.EndpointState.READY,
    "Terminating": model.EndpointState.DRAINING,
    "Gone": model.EndpointState.GONE,
}


class MalformedError(Exception):
    """One message that can't be used; the stream goes on."""


class Heartbeat(NamedTuple):
    """A heartbeat was asked for."""


class Collector(NamedTuple):
    """The stream is the collector of a zone."""

    zone: int


class Malformed(NamedTuple):
    """A message was dropped."""

    why: str


def load_json(data: bytes) -> object:
    """Strict JSON; ``ValueError`` for anything else, NaN, infinities and bottomless nesting included."""

    def refuse(text: str) -> None:
        raise ValueError(f"{text} is not JSON")

    try:
        return json.loads(data, parse_constant=refuse)
    except RecursionError:
        raise ValueError("nested too deeply") from None


def number(message: dict, field: str, least: float, most: float) -> float:
    value = message.get(field)
    if (
        not isinstance(value, int | float)
        or isinstance(value, bool)
        or not math.isfinite(value)
        or not least <= value <= most
    ):
        raise MalformedError(f"{field}: {str(value)[:40]!r} is not a number from {least:g} to {most:g}")
    return value


def whole(message: dict, field: str, least: int, most: int) -> int:
    value = number(message, field, least, most)
    if value != int(value):
        raise MalformedError(f"{field}: {value!r} is not whole")
    return int(value)


def index(message: dict, field: str, names: dict[str, int]) -> int:
    value = message.get(field)
    if not isinstance(value, str) or value not in names:
        raise MalformedError(f"{field}: {str(value)[:40]!r} is not one of {list(names)}")
    return names[value]


def text(message: dict, field: str) -> str:
    value = message.get(field)
    if not isinstance(value, str) or not 0 < len(value) <= 256:
        raise MalformedError(f"{field}: {str(value)[:40]!r} is not a name")
    return value


def server_met(message: dict, names: Names) -> model.ServerLoadReport:
    """What the proxies of a zone met at a server: ``upstream_stats``."""
    tries = whole(message, "total", 1, COUNT_MOST)
    dropped = whole(message, "errors", 0, tries)
    answered = tries > dropped or message.get("rtt") is not None
    mean_ms = number(message, "rtt", 0, names.time_most_ms) if answered else 0
    load = message.get("metrics")
    if load is not None and not isinstance(load, dict):
        raise MalformedError("metrics: not an object")
    if load is not None:
        for word in load:
            number(load, word, 0, 1e9)
    whole_load = load is not None and all(word in load for word in names.loads)
    return model.ServerLoadReport(
        text(message, "endpoint"),
        index(message, "locality", names.zones),
        tries,
        dropped,
        round(mean_ms * 1000),
        round(number(message, "interval", 1, INTERVAL_MOST_MS) * 1000),
        tuple(float(load[word]) for word in names.loads) if whole_load else (),
    )


def proxy_met(message: dict, names: Names) -> model.RouteLoadReport:
    """The calls of a route that came to a proxy: ``client_stats``."""
    return model.RouteLoadReport(
        whole(message, "node", 0, names.proxies - 1),
        index(message, "route", names.routes),
        whole(message, "total", 0, COUNT_MOST),
        whole(message, "errors", 0, COUNT_MOST),
        round(number(message, "interval", 1, INTERVAL_MOST_MS) * 1000),
    )


def frame(message: dict) -> bytes:
    data = json.dumps(message, separators=(",", ":")).encode()
    return len(data).to_bytes(4, "little") + data


HEARTBEAT_OK = frame({"t": "hb_ok"})
REPORTS = {"upstream_stats": server_met, "client_stats": proxy_met}


class FrameReader:
    """A stream to the director's address. Who has not joined may ask for life or join, and nothing else."""

    def __init__(self, names: Names):
        self.names, self.rest, self.zone, self.over = names, bytearray(), None, False

    def receive(self, data: bytes) -> list:
        """``Heartbeat``, ``Collector``, ``Malformed``, reports as events, and ``Ended``, in order."""
        if self.over:
            return []
        self.rest += data
        found: list = []
        while not self.over and len(self.rest) >= 4:
            size = int.from_bytes(self.rest[:4], "little")
            most = FRAME_MOST if self.zone is not None else STRANGER_MOST
            if not 2 <= size <= most or len(self.rest) > 4 and self.rest[4] != ord("{"):
                self.end(found, f"a message of {size} bytes, or one that is no object")
            elif len(self.rest) < 4 + size:
                break
            else:
                body = bytes(self.rest[4 : 4 + size])
                del self.rest[: 4 + size]
                self.take(body, found)
        return found

    def end(self, found: list, why: str) -> None:
        # Nothing is ever written to a collector.
        found.append(Ended(frame({"t": "reject", "why": why}) if self.zone is None else b"", why))
        self.over = True
        self.rest.clear()

    def take(self, body: bytes, found: list) -> None:
        try:
            message = load_json(body)
        except ValueError as error:
            return self.end(found, f"not JSON: {error}")
        kind = message.get("t")
        try:
            if kind == "hb":
                found.append(Heartbeat())
            elif kind == "telemetry":
                zone = index(message, "locality", self.names.zones)
                if self.zone is None:
                    self.zone = zone
                    found.append(Collector(zone))
            elif self.zone is None:
                self.end(found, f"{str(kind)[:40]!r} before a joining")
            elif isinstance(kind, str) and kind in REPORTS:
                found.append(REPORTS[kind](message, self.names))
            else:
                raise MalformedError(f"t: {str(kind)[:40]!r} is not one of {['hb', 'telemetry', *REPORTS]}")
        except MalformedError as error:
            if self.zone is None:
                self.end(found, str(error))
            else:
                found.append(Malformed(f"{str(kind)[:40]}: {error}"))


class LineReader:
    """Cuts what the relay writes into lines; ``ValueError`` if one does not end."""

    def __init__(self) -> None:
        self.rest = bytearray()

    def receive(self, data: bytes) -> list[bytes]:
        self.rest += data
        *lines, rest = self.rest.split(b"\n")
        self.rest = rest
        if len(rest) > LINE_MOST:
            raise ValueError(f"a line over {LINE_MOST} bytes")
        return [bytes(line) for line in lines if line.strip()]


class Ping(NamedTuple):
    """The relay lives."""


def news(line: bytes, names: Names) -> object:
    """One notification: ``Ping`` or an event; ``MalformedError``: can't be used; ``ValueError``: not JSON."""
    message = load_json(line)
    params = message.get("params", {}) if isinstance(message, dict) else None
    if not isinstance(params, dict):
        raise MalformedError("not a notification")
    method = message.get("method")
    if method == "ping":
        return Ping()
    proxy = whole(params, "node", 0, names.proxies - 1)
    if method == "attach":
        if not isinstance(params.get("cold"), bool):
            raise MalformedError(f"cold: {params.get('cold')!r} is not true or false")
        return model.ProxyJoined(
            proxy, params["cold"], float(number(params, "w", 0, 1e9)), index(params, "locality", names.zones)
        )
    if method == "detach":
        return model.ProxyLeft(proxy)
    if method == "done":
        return model.Acknowledged(
            proxy,
            whole(params, "nonce", 0, 65535),
            round(number(params, "latency", 0, INTERVAL_MOST_MS) * 1000),
        )
    raise MalformedError(f"method: {str(method)[:40]!r} is not known")


def rendered(order: object, routes: list[str]) -> bytes:
    """One order as the relay reads it. ``routes``: their names by index."""

    def which(chosen: int) -> list[str]:
        return [name for at, name in enumerate(routes) if chosen == model.ALL_ROUTES or chosen >> at & 1]

    match order:
        case model.SetWeight(table, server, weight):
            words = {"verb": "share", "cluster": table, "endpoint": server, "w": weight}
        case model.ClearTable(table):
            words = {"verb": "clear", "cluster": table}
        case model.BindProxy(table, chosen, proxy):
            words = {"verb": "bind", "node": proxy, "cluster": table, "for": which(chosen)}
        case model.SetWithdrawn(server, on):
            words = {"verb": "withdraw" if on else "restore", "endpoint": server}
        case model.SetAdmission(table, chosen, level, retry):
            words = {
                "verb": "admit",
                "cluster": "*" if table == model.ALL_TABLES else table,
                "for": which(chosen),
                "gate": level,
                "again": retry,
            }
        case model.RequestAcknowledgement(stamp, everyone):
            words = {"verb": "mark", "stamp": stamp, "set": int(everyone)}
        case _:
            raise TypeError(f"the relay has no order {type(order).__name__}")
    return json.dumps(words, separators=(",", ":")).encode()


class Call(NamedTuple):
    """What one call carries: a mark, if the step gave one, and the step's other orders in their order."""

    mark: model.RequestAcknowledgement | None
    orders: tuple[object, ...]

    def rest(self, taken: int, part: Call) -> Call | None:
        """What is still to be sent once so many orders of this first part of it stood.

        An order that was refused is left out: a proxy may have left meanwhile. None: all has been said.
        """
        marked = self.mark is not None
        refused = taken < part.many()
        if marked and not taken:
            return Call(None, self.orders) if self.orders else None  # the mark went first
        left = self.orders[taken - marked + refused :]
        return Call(self.mark, left) if left else None

    def part(self, routes: list[str], most: int | None = None) -> Call:
        """As much of it as the relay takes in one call, the mark included; nearly always that is all.

        ``most``: no more orders than that.
        """
        size = 0
        for at, order in enumerate(self.orders):
            size += len(rendered(order, routes)) + 1
            if at and (size > CALL_MOST or at == most):
                return Call(self.mark, self.orders[:at])
        return self

    def number(self) -> int | None:
        """The mark's number, by which logs name the call."""
        return None if self.mark is None else self.mark.nonce

    def at(self, place: int) -> object:
        """The order at a place of the line, the mark included."""
        orders = self.orders if self.mark is None else (self.mark, *self.orders)
        return orders[place]

    def many(self) -> int:
        return len(self.orders) + (self.mark is not None)

    def data(self, number: int, routes: list[str]) -> bytes:
        """The line to send.

        The mark goes first: an order that the relay refuses halts it, and the proxies that the orders before
        it reached would never answer.
        """
        orders = ([self.mark] if self.mark is not None else []) + list(self.orders)
        body = b",".join(rendered(order, routes) for order in orders)
        return b'{"jsonrpc":"2.0","id":%d,"method":"commit","params":{"orders":[%s]}}\n' % (number, body)


def call(orders: list) -> Call | None:
    """The call for one step's orders; None where there is nothing to say."""
    mark = next((order for order in orders if type(order) is model.RequestAcknowledgement), None)
    others = tuple(order for order in orders if type(order) is not model.RequestAcknowledgement)
    return Call(mark, others) if others or mark is not None else None


class Merged(NamedTuple):
    """The mark ``number`` also stands for these earlier ones, whose own calls were never sent."""

    number: int
    earlier: tuple[int, ...]


class Doubt(NamedTuple):
    """The call with this mark may have been carried out, and is said again."""

    number: int


def subject(order: object) -> tuple | None:
    """What an order settles: a newer one on the same makes it void. None: it must be kept as it is."""
    match order:
        case model.SetWeight(table, server, _):
            return "line", table, server
        case model.SetWithdrawn(server, _):
            return "open", server
        case model.BindProxy(_, chosen, proxy):
            return "bind", chosen, proxy
        case model.SetAdmission(table, chosen, _, _):
            return "admit", table, chosen
    return None


def merged(waiting: list[Call]) -> tuple[list[Call], Merged | None]:
    """Calls that had to wait for the relay, as one message a proxy; withdrawals are one before the rest.

    Sent one by one they were a message each with a head for every proxy, and the withdrawals in the last of
    them waited in the paced channel behind weights that newer ones had made void already.
    """
    orders = [order for one in waiting for order in one.orders]
    if not any(subject(order) is None for order in orders):
        newest = {subject(order): at for at, order in enumerate(orders)}
        orders = [order for at, order in enumerate(orders) if newest[subject(order)] == at]
    shut = tuple(order for order in orders if type(order) is model.SetWithdrawn and order.withdrawn)
    rest = tuple(order for order in orders if not (type(order) is model.SetWithdrawn and order.withdrawn))
    marks = [one.mark for one in waiting if one.mark is not None]
    last = told = None
    if marks:
        told = Merged(marks[-1].nonce, tuple(mark.nonce for mark in marks[:-1]))
        last = model.RequestAcknowledgement(told.number, any(mark.all_proxies for mark in marks))
    if shut and rest and len(marks) != 1:
        # The first mark says only that the withdrawals were read: the rest still waits in the channel.
        return [Call(marks[0] if marks else None, shut), Call(last, rest)], told
    return [Call(last, shut + rest)], told


class Taken(NamedTuple):
    """So many orders stand."""

    count: int


class NotTaken(NamedTuple):
    """The relay refused the whole call."""

    code: str


def answer(line: bytes, number_: int, most: int) -> Taken | NotTaken:
    """The relay's answer to a call of ``most`` orders; ``ValueError`` if it can't be read as one."""
    message = load_json(line)
    if not isinstance(message, dict) or message.get("id") != number_ or isinstance(message["id"], bool):
        raise ValueError("not the answer to this call")
    error, result = message.get("error"), message.get("result")
    if error is not None and result is None:
        for place in (error, *error.values()) if isinstance(error, dict) else (error,):
            if isinstance(place, str):
                for code in ("BUSY", "SYNTAX", "STALE", "FAILED"):
                    if code in place:
                        return NotTaken(code)
        raise ValueError(f"error: {str(error)[:80]}")
    try:
        return Taken(whole(result, "ok_count", 0, most))
    except (AttributeError, MalformedError) as odd:
        raise ValueError(str(odd)) from None


class Members(NamedTuple):
    """An answer of discovery."""

    version: int
    full: bool
    servers: tuple[model.Endpoint, ...]
    errors: tuple[str, ...]  # what was wrong with entries that were left out
    unread: frozenset[str]  # of those, the ids that could be read


def members(tree: object, names: Names) -> Members:
    """Discovery's list or changes to it; ``ValueError`` if it is nothing of the kind."""
    if (
        not isinstance(tree, dict)
        or not isinstance(tree.get("instances"), list)
        or not isinstance(tree.get("reset"), bool)
    ):
        raise ValueError("not a list of servers")
    try:
        version = whole(tree, "generation", 0, 1 << 63)
    except MalformedError as error:
        raise ValueError(str(error)) from None
    servers, errors, unread = [], [], set()
    for entry in tree["instances"]:
        try:
            if not isinstance(entry, dict):
                raise MalformedError("an entry that is no object")
            servers.append(
                model.Endpoint(
                    float(number(entry, "weight", 0, 1e6)),
                    index(entry, "zone", names.zones),
                    round(number(entry, "startedAtMs", 0, 1e14) * 1000),
                    index(entry, "machineType", names.machines),
                    whole(entry, "cell", 0, 1 << 31),
                    text(entry, "instanceId"),
                    index(entry, "lifecycle", STATES),
                )
            )
        except MalformedError as error:
            errors.append(str(error))
            if isinstance(entry, dict) and isinstance(entry.get("instanceId"), str):
                unread.add(entry["instanceId"])
    return Members(version, tree["reset"], tuple(servers), tuple(errors), frozenset(unread))
