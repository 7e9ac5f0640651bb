"""Answers OTLP/HTTP exports (OTLP specification, "OTLP/HTTP"): what is taken goes to the core, once."""

from __future__ import annotations

from collections.abc import Callable

from google.rpc.status_pb2 import Status

from rainpick.http1.server import Answer, Asked
from rainpick.otlp import metrics

PROTOBUF = "application/x-protobuf"
PATH = "/v1/metrics"
BUSY_S = 1  # told in Retry-After


def fault(status: int, text: str, headers: tuple = ()) -> Answer:
    """Errors carry a google.rpc.Status, as the specification asks."""
    return Answer(status, Status(message=text).SerializeToString(), PROTOBUF, headers)


def receiver(give: Callable[[metrics.Batch], dict[str, int] | None]) -> Callable[[Asked], Answer]:
    """A handler. ``give`` hands a batch to the core; it returns verdicts, or None if it is too busy."""

    def handle(asked: Asked) -> Answer:
        if asked.path.partition("?")[0] != PATH:
            return fault(404, f"{asked.path} is not served here; {PATH} is")
        if asked.method != "POST":
            return fault(405, "POST is wanted", (("allow", "POST"),))
        kind = asked.headers.get("content-type", "").partition(";")[0].strip().lower()
        if kind != PROTOBUF:
            return fault(415, f"content-type {kind!r} is not taken; {PROTOBUF} is")
        try:
            batch = metrics.read(asked.body)
        except metrics.ReportError as flaw:
            return fault(400, str(flaw))
        verdicts = give(batch)
        if verdicts is None:
            return fault(429, "the director is busy", (("retry-after", str(BUSY_S)),))
        # What is doubled was taken before: it is answered as taken. The rest is named, so that it is not sent
        # again (partial success must not be retried).
        rejected, why = batch.rejected, [batch.why] if batch.why else []
        for verdict in ("late", "overlapping", "ahead", "backwards", "unknown"):
            if verdicts.get(verdict):
                rejected += verdicts[verdict]
                why.append(f"{verdicts[verdict]} {verdict}")
        return Answer(200, metrics.answer(rejected, "; ".join(why)), PROTOBUF)

    return handle
