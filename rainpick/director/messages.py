"""Messages to the event loop of a director, one type each.

Other threads (the sockets' readers, the HTTP fronts, the daemon) post them to the ``Inbox``; the event loop
dispatches them by type. A ``Query`` is a message whose sender waits for an answer.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from queue import SimpleQueue
from typing import Any, Generic, Literal, NamedTuple, TypeVar

from rainpick.director.membership import FileEntry
from rainpick.mqtt.codec import MqttError, Packet
from rainpick.net import Ended
from rainpick.net.streams import Stream
from rainpick.otlp.metrics import Batch
from rainpick.sasp.session import Asked, Refused

AnswerT = TypeVar("AnswerT")
StreamEvent = Asked | Refused | Ended | Packet | MqttError
TableAction = Literal["show", "pin", "rollback", "release"]


class StreamOpened(NamedTuple):
    """A peer has dialled one of the stream frontends; its stream is not being read yet."""

    stream: Stream


class StreamReceived(NamedTuple):
    """The reader of a stream delivers a request, a packet, a protocol error, or the end of the stream."""

    stream: Stream
    event: StreamEvent


class ListFileRead(NamedTuple):
    """The operators' list file was read without error; these are all of its servers."""

    entries: list[FileEntry]


class CachedListRead(NamedTuple):
    """The endpoint list that an earlier incarnation of this director cached."""

    entries: list[FileEntry]


class StopRequested(NamedTuple):
    """The event loop is to return once it has worked off the messages before this one."""


@dataclass(slots=True)
class Query(Generic[AnswerT]):
    """A message that the event loop answers with exactly one call of ``reply``."""

    replies: SimpleQueue[AnswerT] = field(default_factory=SimpleQueue, init=False)

    def reply(self, answer: AnswerT) -> None:
        """Hand the answer to the thread that waits for it."""
        self.replies.put(answer)


@dataclass(slots=True)
class LoadReportReceived(Query[dict[str, int]]):
    """An OTLP export; the answer is the number of its points by freshness verdict.

    ``wall_ns`` is the director's wall clock at arrival, in nanoseconds.
    """

    batch: Batch
    wall_ns: int


@dataclass(slots=True)
class StatusQuery(Query[dict[str, Any]]):
    """The answer is the document that ``/status`` serves."""


class TableActionResult(NamedTuple):
    """The answer to a ``TableActionRequest``: an HTTP status code and a JSON object."""

    status: int
    document: dict[str, Any]


@dataclass(slots=True)
class TableActionRequest(Query[TableActionResult]):
    """An operator shows, pins, rolls back or releases a table. ``parameters`` is the JSON object it sent."""

    action: TableAction
    parameters: dict[str, Any]


Message = (
    StreamOpened
    | StreamReceived
    | ListFileRead
    | CachedListRead
    | StopRequested
    | LoadReportReceived
    | StatusQuery
    | TableActionRequest
)
