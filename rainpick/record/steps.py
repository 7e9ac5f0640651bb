"""Records of a director as bytes: incarnations, and the steps of its decisions. Free of I/O.

A record in the store has a kind, a time and a payload. ``docs/store-format.md`` describes the payloads.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import Any, NamedTuple

import msgspec

from rainpick import model
from rainpick.record.schema import BY_STORED_NAME, CODES, TYPE_ROWS, UNDECLARED_TYPE_ROWS

encoder = msgspec.msgpack.Encoder()


class RecordKind(IntEnum):
    """The kinds of records, by their number in the store."""

    INCARNATION = 1  # payload: an ``Incarnation``
    STEP = 2  # payload: a ``Step``
    LOST = 3  # payload: in decimal digits, how many steps were lost up to here


class StepError(ValueError):
    """The bytes of a record can't be read; the text says why."""


class Step(NamedTuple):
    """One step of the decisions. ``now``: microseconds of the director's own clock."""

    now: int
    events: list[Any]
    orders: list[Any]


class Incarnation(NamedTuple):
    """A director from its start to its end: the first record of each.

    ``wall_us`` and ``now`` are the same moment by the wall clock and by the director's own.
    """

    director: int
    epoch: str
    module: str  # digest of the decision modules' text
    wall_us: int  # microseconds since 1970
    now: int  # microseconds
    settings: dict[str, Any]  # the parsed settings file
    types: tuple[tuple[str, ...], ...] = TYPE_ROWS  # stored name and fields of each type, by its code


def write_step(step: Step) -> bytes:
    """The payload of a step."""
    rows = [[[CODES[type(value)], *value] for value in values] for values in (step.events, step.orders)]
    return encoder.encode([step.now, *rows])


def as_tuples(value: Any) -> Any:
    """Lists back to tuples, at any depth: the values of the model are tuples, and addresses are keys.

    >>> as_tuples([["10.0.0.1", 80], {"zones": ["a"]}])
    (('10.0.0.1', 80), {'zones': ('a',)})
    """
    if type(value) is list:
        return tuple([as_tuples(item) for item in value])
    if type(value) is dict:
        return {name: as_tuples(item) for name, item in value.items()}
    return value


class StoredLayout(NamedTuple):
    """How a record lays out a type. ``type`` is None if this program can't read it.

    ``order`` has the stored index of each of the program's fields; None: the fields are in the same order.
    """

    type: type[Any] | None
    name: str
    order: list[int] | None


def layout(name: str, fields: Sequence[str]) -> StoredLayout:
    """How to read a type that a record declares by its stored name and fields."""
    row = BY_STORED_NAME.get(name)
    if row is None:
        return StoredLayout(None, name, None)
    if list(row.fields) == list(fields):
        return StoredLayout(row.type, name, None)
    if not set(row.fields) <= set(fields):
        return StoredLayout(None, name, None)
    return StoredLayout(row.type, name, [list(fields).index(field) for field in row.fields])


class StepReader:
    """Reads the steps of an incarnation by the types that it declares: the model may have changed since.

    Fields that this program does not know are skipped. A type that lacks one of its fields raises
    ``StepError`` when such a value is read; values of other types are read as ever.
    """

    def __init__(self, types: Sequence[Sequence[str]] = TYPE_ROWS):
        self.layouts = [layout(name, fields) for name, *fields in types]

    def build(self, code: int, fields: Sequence[Any]) -> Any:
        """A value from the code of its type and its stored fields."""
        kind, name, order = self.layouts[code]
        if kind is None:
            raise StepError(f"{name} is not what this program knows by that name")
        if kind is model.EndpointUpdate:
            fields = list(fields)
            index = order[1] if order else 1
            # The type of the endpoints in an update is declared last.
            fields[index] = tuple([self.build(-1, entry) for entry in fields[index]])
        return kind(*(fields if order is None else [fields[index] for index in order]))

    def read_value(self, row: list[Any]) -> Any:
        """An event or order from its code and fields."""
        code, *fields = row
        return self.build(code, [as_tuples(field) for field in fields])

    def read_step(self, payload: bytes) -> Step:
        """A step from its payload; ``StepError`` if the bytes are none."""
        try:
            now, events, orders = msgspec.msgpack.decode(payload)
            return Step(
                now, [self.read_value(row) for row in events], [self.read_value(row) for row in orders]
            )
        except (msgspec.MsgspecError, ValueError, TypeError, IndexError) as error:
            raise StepError(str(error)) from None


CURRENT_READER = StepReader()


def read_step(payload: bytes) -> Step:
    """A step that this version of the program wrote; ``StepError`` if the bytes are none."""
    return CURRENT_READER.read_step(payload)


def write_incarnation(incarnation: Incarnation) -> bytes:
    """The payload of an incarnation."""
    return encoder.encode(incarnation)


def read_incarnation(payload: bytes) -> Incarnation:
    """An incarnation from its payload; ``StepError`` if the bytes are none."""
    try:
        director, epoch, module, wall_us, now, settings, *rest = msgspec.msgpack.decode(payload)
        types = rest[0] if rest else UNDECLARED_TYPE_ROWS
        rows = tuple(tuple(row) for row in types)
        return Incarnation(director, epoch, module, wall_us, now, settings, rows)
    except (msgspec.MsgspecError, TypeError, ValueError) as error:
        raise StepError(str(error)) from None
