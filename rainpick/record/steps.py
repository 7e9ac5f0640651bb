"""Encoding and decoding of record payloads: incarnations, and the steps of a director. Free of I/O.

A record in the store has a kind, a time and a payload. ``docs/store-format.md`` specifies the payloads.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import Any, NamedTuple

import msgspec

from rainpick import model
from rainpick.record.schema import BY_STORED_NAME, CODES, DEFAULT_TYPE_DECLARATIONS, TYPE_DECLARATIONS

encoder = msgspec.msgpack.Encoder()


class RecordKind(IntEnum):
    """Kinds of records. The values are stored."""

    INCARNATION = 1  # payload: an ``Incarnation``
    STEP = 2  # payload: a ``Step``
    LOST = 3  # payload: the number of steps lost since the start of the recorder, in decimal digits


class StepError(ValueError):
    """The payload of a record can't be decoded; the message states the reason."""


class Step(NamedTuple):
    """The events that a director processed in one step, and the commands that it issued.

    ``now`` is the time of the director's own clock in microseconds.
    """

    now: int
    events: list[Any]
    commands: list[Any]


class Incarnation(NamedTuple):
    """One run of a director, from start to exit; stored as the first record of the run.

    ``wall_us`` and ``now`` are the start time by the wall clock and by the director's own clock.
    """

    director: int
    epoch: str
    module: str  # digest of the decision modules
    wall_us: int  # microseconds since 1970
    now: int  # microseconds of the director's own clock
    settings: dict[str, Any]  # the parsed settings file
    # Stored name and fields of each type, by type code.
    types: tuple[tuple[str, ...], ...] = TYPE_DECLARATIONS


def encode_step(step: Step) -> bytes:
    """Encode a step as a record payload."""
    rows = [[[CODES[type(value)], *value] for value in values] for values in (step.events, step.commands)]
    return encoder.encode([step.now, *rows])


def as_tuples(value: Any) -> Any:
    """Convert lists to tuples at any depth. Model values are tuples, and addresses must be hashable.

    >>> as_tuples([["10.0.0.1", 80], {"zones": ["a"]}])
    (('10.0.0.1', 80), {'zones': ('a',)})
    """
    if type(value) is list:
        return tuple([as_tuples(item) for item in value])
    if type(value) is dict:
        return {name: as_tuples(item) for name, item in value.items()}
    return value


class StoredLayout(NamedTuple):
    """The layout of a type in a record. ``type`` is None if this version of the program can't decode it.

    ``field_indexes`` has, for each field of ``type``, its index in the stored fields; None if the fields are
    the same in the same order.
    """

    type: type[Any] | None
    name: str
    field_indexes: list[int] | None


def stored_layout(name: str, fields: Sequence[str]) -> StoredLayout:
    """Return the layout of a type that a record declares by its stored name and fields.

    The type can't be decoded if its name is unknown, or if the declaration lacks one of its fields.
    """
    row = BY_STORED_NAME.get(name)
    if row is None:
        return StoredLayout(None, name, None)
    if list(row.fields) == list(fields):
        return StoredLayout(row.type, name, None)
    if not set(row.fields) <= set(fields):
        return StoredLayout(None, name, None)
    return StoredLayout(row.type, name, [list(fields).index(field) for field in row.fields])


class StepDecoder:
    """Decodes the steps of an incarnation by means of its type declarations.

    The model may have changed since the record was written. Unknown fields are skipped. If the declaration
    of a type lacks a field that the model has, decoding a value of this type raises ``StepError``; values of
    other types are not affected.
    """

    def __init__(self, types: Sequence[Sequence[str]] = TYPE_DECLARATIONS):
        self.layouts = [stored_layout(name, fields) for name, *fields in types]

    def build_value(self, code: int, fields: Sequence[Any]) -> Any:
        """Create a value from its type code and its stored fields."""
        value_type, name, field_indexes = self.layouts[code]
        if value_type is None:
            raise StepError(f"{name} is not what this program knows by that name")
        if value_type is model.EndpointUpdate:
            fields = list(fields)
            index = field_indexes[1] if field_indexes else 1
            # Endpoint, the type of the entries of an update, is declared last.
            fields[index] = tuple([self.build_value(-1, entry) for entry in fields[index]])
        return value_type(*(fields if field_indexes is None else [fields[index] for index in field_indexes]))

    def decode_value(self, row: list[Any]) -> Any:
        """Decode an event or command from its type code and fields."""
        code, *fields = row
        return self.build_value(code, [as_tuples(field) for field in fields])

    def decode_step(self, payload: bytes) -> Step:
        """Decode the payload of a step; ``StepError`` if it is malformed."""
        try:
            now, events, commands = msgspec.msgpack.decode(payload)
            return Step(
                now, [self.decode_value(row) for row in events], [self.decode_value(row) for row in commands]
            )
        except (msgspec.MsgspecError, ValueError, TypeError, IndexError) as error:
            raise StepError(str(error)) from None


CURRENT_DECODER = StepDecoder()


def decode_step(payload: bytes) -> Step:
    """Decode a step with the type declarations of this program version; ``StepError`` if it is malformed."""
    return CURRENT_DECODER.decode_step(payload)


def encode_incarnation(incarnation: Incarnation) -> bytes:
    """Encode an incarnation as a record payload."""
    return encoder.encode(incarnation)


def decode_incarnation(payload: bytes) -> Incarnation:
    """Decode the payload of an incarnation; ``StepError`` if it is malformed.

    ``DEFAULT_TYPE_DECLARATIONS`` apply if it declares no types.
    """
    try:
        director, epoch, module, wall_us, now, settings, *rest = msgspec.msgpack.decode(payload)
        types = rest[0] if rest else DEFAULT_TYPE_DECLARATIONS
        rows = tuple(tuple(row) for row in types)
        return Incarnation(director, epoch, module, wall_us, now, settings, rows)
    except (msgspec.MsgspecError, TypeError, ValueError) as error:
        raise StepError(str(error)) from None
