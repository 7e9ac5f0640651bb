"""Messages to the event loop of a director, one type each.

Other threads (readers of sockets, HTTP frontends, the daemon) post them to the ``Inbox``; the event loop
dispatches them by type. The sender of a ``Query`` waits for the reply.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from queue import SimpleQueue
from typing import Any, Generic, Literal, NamedTuple, TypeVar

from rainpick.director.membership import FileEntry
from rainpick.mqtt.codec import MqttError, Packet
from rainpick.net import StreamEnded
from rainpick.net.streams import Stream
from rainpick.otlp.decoding import Batch
from rainpick.sasp.session import AcceptedRequest, RejectedRequest

AnswerT = TypeVar("AnswerT")
StreamEvent = AcceptedRequest | RejectedRequest | StreamEnded | Packet | MqttError
TableAction = Literal["show", "pin", "rollback", "release"]


class StreamOpened(NamedTuple):
    """A listener has accepted a connection; reading from its stream has not started."""

    stream: Stream


class StreamReceived(NamedTuple):
    """A request, a packet, a protocol error or the end of a stream, from the reader of the stream."""

    stream: Stream
    event: StreamEvent


class ListFileRead(NamedTuple):
    """The operators' list file was read without error; ``entries`` are all of its servers."""

    entries: list[FileEntry]


class CachedListRead(NamedTuple):
    """The cached endpoint list of an earlier incarnation was read; ``entries`` are its servers."""

    entries: list[FileEntry]


class StopRequested(NamedTuple):
    """Ends the event loop once the messages before this one are handled."""


@dataclass(slots=True)
class Query(Generic[AnswerT]):
    """A message that the event loop answers with exactly one call of ``reply``."""

    replies: SimpleQueue[AnswerT] = field(default_factory=SimpleQueue, init=False)

    def reply(self, answer: AnswerT) -> None:
        """Pass the answer to the waiting thread."""
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
    """A query for the document that ``/status`` serves."""


class TableActionResult(NamedTuple):
    """The answer to a ``TableActionRequest``: an HTTP status code and a JSON object."""

    status: int
    document: dict[str, Any]


@dataclass(slots=True)
class TableActionRequest(Query[TableActionResult]):
    """A request of an operator to show, pin, roll back or release a table.

    ``parameters`` is the JSON object of the request.
    """

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
