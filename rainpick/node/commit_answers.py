"""The relay's answers to commit calls. Free of I/O."""

from __future__ import annotations

from typing import Any, NamedTuple

from rainpick.node.message_fields import MalformedMessageError, integer_field, load_json

BUSY = "BUSY"  # the relay asks to retry
REJECTION_CODES = BUSY, "SYNTAX", "STALE", "FAILED"


class Accepted(NamedTuple):
    """The first ``commands`` of the call are carried out; the one after them, if any, was rejected."""

    commands: int


class Rejected(NamedTuple):
    """The relay carried out nothing of the call."""

    code: str  # one of ``REJECTION_CODES``


def parse_answer(line: bytes, number: int, size: int) -> Accepted | Rejected:
    """The answer to the call with this number and ``size`` commands; ``ValueError`` if it is none."""
    message = load_json(line)
    if not isinstance(message, dict) or message.get("id") != number or isinstance(message["id"], bool):
        raise ValueError("not the answer to this call")
    error = message.get("error")
    result: Any = message.get("result")
    if error is not None and result is None:
        return Rejected(rejection_code(error))
    try:
        return Accepted(integer_field(result, "ok_count", 0, size))
    except (AttributeError, MalformedMessageError) as unusable:  # no object, or no such count in it
        raise ValueError(str(unusable)) from None


def rejection_code(error: object) -> str:
    """The first code in an error, a text or an object with texts; ``ValueError`` if there is none."""
    for text in (error, *error.values()) if isinstance(error, dict) else (error,):
        if isinstance(text, str):
            for code in REJECTION_CODES:
                if code in text:
                    return code
    raise ValueError(f"error: {str(error)[:80]}")
