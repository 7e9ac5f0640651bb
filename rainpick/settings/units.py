"""Parsing of durations and socket addresses in settings files."""

import re
from typing import Annotated, NamedTuple

from pydantic import BeforeValidator, WithJsonSchema

MAX_DURATION_US = 1 << 62  # any time plus a duration fits 64 bits
UNITS_US = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000}
DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)\s*(us|ms|s|min|h)")


def parse_duration_us(value: object) -> int:
    """Parse a duration with a unit and return whole microseconds; ``ValueError`` if it is malformed.

    >>> parse_duration_us("1.5s"), parse_duration_us("250ms"), parse_duration_us("20us")
    (1500000, 250000, 20)
    >>> parse_duration_us(3)
    Traceback (most recent call last):
    ValueError: a duration is text with a unit, such as "1.5s"; units are us, ms, s, min, h
    """
    match = DURATION_PATTERN.fullmatch(value.strip()) if isinstance(value, str) else None
    if not match:
        raise ValueError('a duration is text with a unit, such as "1.5s"; units are ' + ", ".join(UNITS_US))
    duration_us = float(match[1]) * UNITS_US[match[2]]
    if duration_us > MAX_DURATION_US:
        raise ValueError(f"a duration is at most {MAX_DURATION_US} us")
    return round(duration_us)


class SocketAddress(NamedTuple):
    """Address on which a socket listens; with port 0 the system chooses a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_socket_address(value: object) -> SocketAddress:
    """Parse ``HOST:PORT``; ``ValueError`` if the value is malformed.

    >>> parse_socket_address("127.0.0.1:3860")
    SocketAddress(host='127.0.0.1', port=3860)
    """
    if isinstance(value, SocketAddress):
        return value
    host, separator, port = str(value).rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError('an address is "HOST:PORT" with a port of 0 to 65535')
    return SocketAddress(host, int(port))


# Types of fields that are strings in the file: a ``Duration`` is loaded as microseconds, an ``Address`` as a
# ``SocketAddress``.
Duration = Annotated[
    int,
    BeforeValidator(parse_duration_us),
    WithJsonSchema(
        {
            "type": "string",
            "pattern": DURATION_PATTERN.pattern,
            "description": "a number and a unit: us, ms, s, min, h",
        }
    ),
]
Address = Annotated[
    SocketAddress,
    BeforeValidator(parse_socket_address),
    WithJsonSchema({"type": "string", "description": "HOST:PORT; port 0 lets the system choose"}),
]
