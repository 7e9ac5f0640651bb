"""What can be wrong with the bytes or messages of a SASP stream."""

from __future__ import annotations

from rainpick.sasp.constants import ReturnCode


class SaspError(Exception):
    """A malformed or unexpected message.

    ``code`` is the return code for the reply. ``message_type`` and ``message_id`` name the message that the
    reply refers to; both are 0 if they could not be read.
    """

    def __init__(
        self, text: str, code: int = ReturnCode.NOT_UNDERSTOOD, message_type: int = 0, message_id: int = 0
    ):
        super().__init__(text)
        self.code = code
        self.message_type = message_type
        self.message_id = message_id


class FramingError(SaspError):
    """It cannot be told where the next message begins: the stream must be closed."""
