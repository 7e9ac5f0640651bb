"""Steps of the engine as bytes: what the module was told at what time, and what it ordered. Free of I/O."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

import msgspec

from rainpick import model
from rainpick.record.schema import BY_STORED_NAME, CODES, TYPE_ROWS

LIFE, STEP, LOST = 1, 2, 3  # kinds of records
# Records of before the first of December 2026 do not say it: theirs were these.
UNSAID = tuple(
    tuple(words.split())
    for words in """
Started seed settings|Listed kind servers version|TimerDue token|ProbeEnded server outcome took_us load
PeerSaid peer data|ProxyJoined proxy fresh rate zone|ProxyLeft proxy|Applied proxy number took_us
ServerMet server zone tries dropped mean_us span_us load|ProxyMet proxy route calls dropped span_us
SliceMet slice route calls dropped span_us|SliceGiven slice on|SliceLine slice server weight
SetLine table server weight|ClearTable table|Withdraw server on|Mark number everyone|Bind table routes proxy
Admit table routes level retry|Probe server|Tell peer data|SetTimer token delay_us|Subscribe on|FetchList
Note text|Server weight zone started_us machine cell address state
""".strip()
    .replace("\n", "|")
    .split("|")
)
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
    types: tuple[tuple[str, ...], ...] = TYPE_ROWS


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


class Reader:
    """Reads the steps of a life by the types it says: the interface may have changed since.

    Fields that came since or went are told when such a value is met; values of other types are read as ever.
    """

    def __init__(self, types: Sequence[Sequence[str]] = TYPE_ROWS):
        self.places: list[tuple[type | None, str, list[int] | None]] = []
        for name, *fields in types:
            row = BY_STORED_NAME.get(name)
            kind = None if row is None else row.type
            same = row is not None and list(row.fields) == fields
            try:
                order = None if same or row is None else [fields.index(field) for field in row.fields]
                self.places.append((kind, name, order))
            except ValueError:
                self.places.append((None, name, None))

    def make(self, code: int, fields: Sequence[Any]) -> Any:
        kind, name, order = self.places[code]
        if kind is None:
            raise StepError(f"{name} is not what this program knows by that name")
        if kind is model.EndpointUpdate:
            fields = list(fields)
            place = order[1] if order else 1
            fields[place] = tuple([self.make(-1, entry) for entry in fields[place]])
        return kind(*(fields if order is None else [fields[at] for at in order]))

    def one(self, row: list) -> Any:
        code, *fields = row
        return self.make(code, [solid(field) for field in fields])

    def step(self, data: bytes) -> Step:
        """``StepError`` if the bytes are not a step."""
        try:
            now, events, orders = msgspec.msgpack.decode(data)
            return Step(now, [self.one(row) for row in events], [self.one(row) for row in orders])
        except (msgspec.MsgspecError, ValueError, TypeError, IndexError) as flaw:
            raise StepError(str(flaw)) from None


def read_step(data: bytes) -> Step:
    """A step that this program wrote; ``StepError`` if the bytes are none."""
    return NOW.step(data)


NOW = Reader()


def write_life(life: Life) -> bytes:
    return encoder.encode(life)


def read_life(data: bytes) -> Life:
    try:
        words = msgspec.msgpack.decode(data)
        types = words[6] if len(words) > 6 else UNSAID
        return Life(*words[:6], types=tuple(tuple(row) for row in types))
    except (msgspec.MsgspecError, TypeError) as flaw:
        raise StepError(str(flaw)) from None
