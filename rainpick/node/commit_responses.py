"""Parsing of the relay's responses to commit calls. Free of I/O."""

from __future__ import annotations

from typing import Any, NamedTuple

from rainpick.node.message_fields import MalformedMessageError, first_characters, integer_field, load_json

BUSY = "BUSY"  # the relay requests a retry
ERROR_LIMIT = 80  # characters of an unknown error in an error message
REJECTION_CODES = BUSY, "SYNTAX", "STALE", "FAILED"


class Accepted(NamedTuple):
    """The relay executed the first ``commands`` commands of the call and rejected the next one, if any."""

    commands: int


class Rejected(NamedTuple):
    """The relay executed no command of the call."""

    code: str  # one of ``REJECTION_CODES``


def parse_commit_response(line: bytes, number: int, size: int) -> Accepted | Rejected:
    """Parse the response to call ``number`` with ``size`` commands; raise ``ValueError`` if it is invalid."""
    message = load_json(line)
    if not isinstance(message, dict) or message.get("id") != number or isinstance(message["id"], bool):
        raise ValueError("not the answer to this call")
    error = message.get("error")
    result: Any = message.get("result")
    if error is not None and result is None:
        return Rejected(rejection_code(error))
    try:
        return Accepted(integer_field(result, "ok_count", 0, size))
    except (AttributeError, MalformedMessageError) as invalid:  # not an object, or without a valid count
        raise ValueError(str(invalid)) from None


def rejection_code(error: object) -> str:
    """Return the first known code in an error; raise ``ValueError`` if it contains none.

    ``error`` is a string or an object with string values.
    """
    for text in (error, *error.values()) if isinstance(error, dict) else (error,):
        if isinstance(text, str):
            for code in REJECTION_CODES:
                if code in text:
                    return code
    raise ValueError(f"error: {first_characters(error, ERROR_LIMIT)}")
