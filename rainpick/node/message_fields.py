"""Strict JSON, and the fields of a JSON message checked one by one.

Each of the field functions raises ``MalformedMessageError`` if the field is absent, of another type or out of
range.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from typing import Any, Never

Message = dict[str, Any]  # a JSON object

NAME_LIMIT = 256  # characters
EXCERPT_LIMIT = 40  # characters of an unusable value that an error message has


class MalformedMessageError(Exception):
    """One message is unusable; the stream that it came on goes on."""


def load_json(data: bytes) -> Any:
    """Strict JSON; ``ValueError`` for all else, NaN, infinities and excessive nesting included."""
    try:
        return json.loads(data, parse_constant=_reject_constant)
    except RecursionError:
        raise ValueError("nested too deeply") from None


def _reject_constant(text: str) -> Never:
    raise ValueError(f"{text} is not JSON")


def number_field(message: Message, field: str, minimum: float, maximum: float) -> float:
    """A finite number within the limits, both included; a bool is none."""
    value = message.get(field)
    if (
        not isinstance(value, int | float)
        or isinstance(value, bool)
        or not math.isfinite(value)
        or not minimum <= value <= maximum
    ):
        raise MalformedMessageError(
            f"{field}: {excerpt(value)} is not a number from {minimum:g} to {maximum:g}"
        )
    return value


def integer_field(message: Message, field: str, minimum: int, maximum: int) -> int:
    """An integer within the limits, both included, however it is written (``2.0`` is one)."""
    value = number_field(message, field, minimum, maximum)
    if value != int(value):
        raise MalformedMessageError(f"{field}: {value!r} is not whole")
    return int(value)


def index_field(message: Message, field: str, indices: Mapping[str, int]) -> int:
    """The index of a name."""
    value = message.get(field)
    if not isinstance(value, str) or value not in indices:
        raise MalformedMessageError(f"{field}: {excerpt(value)} is not one of {list(indices)}")
    return indices[value]


def name_field(message: Message, field: str) -> str:
    """A text that is not empty and not too long."""
    value = message.get(field)
    if not isinstance(value, str) or not 0 < len(value) <= NAME_LIMIT:
        raise MalformedMessageError(f"{field}: {excerpt(value)} is not a name")
    return value


def excerpt(value: object) -> str:
    """The first characters of a value, for an error message."""
    return repr(str(value)[:EXCERPT_LIMIT])
