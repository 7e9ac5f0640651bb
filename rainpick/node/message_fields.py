"""Strict JSON parsing and validation of the fields of a JSON message.

Each ``*_field`` function raises ``MalformedMessageError`` if the field is missing, has another type or is out
of range.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any, Never

Message = dict[str, Any]  # a JSON object

NAME_LIMIT = 256  # characters
EXCERPT_LIMIT = 40  # characters of an invalid value in an error message
DIGIT_LIMIT = 400  # digits of an integer; more of them exceed every float


class MalformedMessageError(Exception):
    """A message is invalid. The stream that carried it remains usable."""


def parse_integer(text: str) -> float:
    """Parse an integer; one beyond the range of floats may become an infinity."""
    return int(text) if len(text) <= DIGIT_LIMIT else float(text)


def load_json(data: bytes, parse_int: Callable[[str], float] = parse_integer) -> Any:
    """Parse strict JSON; ``ValueError`` for anything else, such as NaN, infinities or excessive nesting.

    A number beyond the range of floats is valid JSON, but out of the range of each field, so that it costs
    its own message and not the stream that carries it. With ``int`` as ``parse_int``, an integer of more
    than ``sys.get_int_max_str_digits()`` digits is a ``ValueError``.
    """
    try:
        return json.loads(data, parse_constant=_reject_constant, parse_int=parse_int)
    except RecursionError:
        raise ValueError("nested too deeply") from None


def _reject_constant(text: str) -> Never:
    raise ValueError(f"{text} is not JSON")


def number_field(message: Message, field: str, minimum: float, maximum: float) -> float:
    """Return a number from ``minimum`` to ``maximum``, which are finite. A bool is not a number."""
    value = message.get(field)
    # The comparison is exact for integers of any size, and false for NaN and infinities.
    if not isinstance(value, int | float) or isinstance(value, bool) or not minimum <= value <= maximum:
        raise MalformedMessageError(
            f"{field}: {excerpt(value)} is not a number from {minimum:g} to {maximum:g}"
        )
    return value


def integer_field(message: Message, field: str, minimum: int, maximum: int) -> int:
    """Return an integer from ``minimum`` to ``maximum``. A float with an integral value (2.0) is accepted."""
    value = number_field(message, field, minimum, maximum)
    if value != int(value):
        raise MalformedMessageError(f"{field}: {value!r} is not whole")
    return int(value)


def index_field(message: Message, field: str, indices: Mapping[str, int]) -> int:
    """Return the index of a name, which must be one of ``indices``."""
    value = message.get(field)
    if not isinstance(value, str) or value not in indices:
        raise MalformedMessageError(f"{field}: {excerpt(value)} is not one of {list(indices)}")
    return indices[value]


def name_field(message: Message, field: str) -> str:
    """Return a string of 1 to ``NAME_LIMIT`` characters."""
    value = message.get(field)
    if not isinstance(value, str) or not 0 < len(value) <= NAME_LIMIT:
        raise MalformedMessageError(f"{field}: {excerpt(value)} is not a name")
    return value


def printed(value: object) -> str:
    """Return ``repr`` of a JSON value, or its type if it is nested too deeply to be printed."""
    try:
        return repr(value)
    except RecursionError:
        return f"a deeply nested {type(value).__name__}"


def first_characters(value: object, limit: int = EXCERPT_LIMIT) -> str:
    """Return at most ``limit`` characters of a value as text."""
    return (value if isinstance(value, str) else printed(value))[:limit]


def excerpt(value: object) -> str:
    """Return the first characters of a value as text, quoted for an error message."""
    return repr(first_characters(value))
