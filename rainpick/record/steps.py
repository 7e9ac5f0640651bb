"""Steps of the engine as bytes: what the module was told at what time, and what it ordered. Free of I/O."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from rainpick import interface as api

LIFE, STEP, LOST = 1, 2, 3  # kinds of records
TYPES = (  # their place is their number in records: new ones go to the end
    api.Started, api.Listed, api.TimerDue, api.ProbeEnded, api.PeerSaid, api.ProxyJoined, api.ProxyLeft,
    api.Applied, api.ServerMet, api.ProxyMet, api.SliceMet, api.SliceGiven, api.SliceLine, api.SetLine,
    api.ClearTable, api.Withdraw, api.Mark, api.Bind, api.Admit, api.Probe, api.Tell, api.SetTimer,
    api.Subscribe, api.FetchList, api.Note)
CODES = {kind: place for place, kind in enumerate(TYPES)}
LISTED = CODES[api.Listed]
encoder = msgspec.msgpack.Encoder()


class StepError(ValueError):
    """Bytes that are no step."""


class Step(NamedTuple):
    """One step: the clock, what was heard, what was ordered."""

    now: int
    events: list
    orders: list


class Life(NamedTuple):
    """A director begins: who it is, the text of its module, the offset of its clock from the wall's."""

    director: int
    epoch: str
    module: str  # XXH3 (128 bits) of the module's text
    wall_us: int
    now: int
    settings: dict[str, Any]  # as the file has them


def write_step(step: Step) -> bytes:
    rows = [[[CODES[type(one)], *one] for one in part] for part in (step.events, step.orders)]
    return encoder.encode([step.now, *rows])


def solid(value: Any) -> Any:
    """Lists back to tuples: the module's values are tuples, and addresses are keys."""
    if type(value) is list:
        return tuple([solid(one) for one in value])
    if type(value) is dict:
        return {name: solid(one) for name, one in value.items()}
    return value


def read_one(row: list) -> Any:
    code, *fields = row
    fields = [solid(field) for field in fields]
    if code == LISTED:
        fields[1] = tuple([api.Server(*entry) for entry in fields[1]])
    return TYPES[code](*fields)


def read_step(data: bytes) -> Step:
    """``StepError`` if the bytes are not a step."""
    try:
        now, events, orders = msgspec.msgpack.decode(data)
        return Step(now, [read_one(row) for row in events], [read_one(row) for row in orders])
    except (msgspec.MsgspecError, ValueError, TypeError, IndexError) as flaw:
        raise StepError(str(flaw)) from None


def write_life(life: Life) -> bytes:
    return encoder.encode(life)


def read_life(data: bytes) -> Life:
    try:
        return Life(*msgspec.msgpack.decode(data))
    except (msgspec.MsgspecError, TypeError) as flaw:
        raise StepError(str(flaw)) from None
