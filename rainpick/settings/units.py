"""Durations and socket addresses as the settings write them."""

import re
from typing import Annotated, NamedTuple

from pydantic import BeforeValidator, WithJsonSchema

UNITS_US = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000}
DURATION = re.compile(r"(\d+(?:\.\d+)?)\s*(us|ms|s|min|h)")


def duration_us(value: object) -> int:
    """Read a duration with its unit as whole microseconds.

    >>> duration_us("1.5s"), duration_us("250ms"), duration_us("20us")
    (1500000, 250000, 20)
    >>> duration_us(3)
    Traceback (most recent call last):
    ValueError: a duration is text with a unit, such as "1.5s"; units are us, ms, s, min, h
    """
    found = DURATION.fullmatch(value.strip()) if isinstance(value, str) else None
    if not found:
        raise ValueError('a duration is text with a unit, such as "1.5s"; units are ' + ", ".join(UNITS_US))
    return round(float(found[1]) * UNITS_US[found[2]])


class Endpoint(NamedTuple):
    """Where a socket listens; port 0 lets the system choose."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def endpoint(value: object) -> Endpoint:
    """Read ``HOST:PORT``.

    >>> endpoint("127.0.0.1:3860")
    Endpoint(host='127.0.0.1', port=3860)
    """
    if isinstance(value, Endpoint):
        return value
    host, colon, port = str(value).rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError('an address is "HOST:PORT" with a port of 0 to 65535')
    return Endpoint(host, int(port))


Duration = Annotated[
    int,
    BeforeValidator(duration_us),
    WithJsonSchema(
        {
            "type": "string",
            "pattern": DURATION.pattern,
            "description": "a number and a unit: us, ms, s, min, h",
        }
    ),
]
Address = Annotated[
    Endpoint,
    BeforeValidator(endpoint),
    WithJsonSchema({"type": "string", "description": "HOST:PORT; port 0 lets the system choose"}),
]
