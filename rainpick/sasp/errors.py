"""Exceptions for malformed or unexpected data on a SASP stream."""

from __future__ import annotations

from rainpick.sasp.constants import ReturnCode


class SaspError(Exception):
    """A malformed or unexpected message.

    ``code`` is the return code for the reply. ``message_type`` and ``message_id`` identify the message to
    reply to; each is 0 if it could not be read.
    """

    def __init__(
        self, text: str, code: int = ReturnCode.NOT_UNDERSTOOD, message_type: int = 0, message_id: int = 0
    ):
        super().__init__(text)
        self.code = code
        self.message_type = message_type
        self.message_id = message_id


class FramingError(SaspError):
    """The start of the next message cannot be determined; the stream must be closed."""
