"""The HTTP handler for OTLP exports (OTLP specification, "OTLP/HTTP")."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from http import HTTPStatus

from google.rpc.status_pb2 import Status

from rainpick.http1.messages import Handler, Request, Response
from rainpick.otlp.decoding import Batch, ReportError, decode_report
from rainpick.otlp.encoding import encode_response

PROTOBUF_TYPE = "application/x-protobuf"
METRICS_PATH = "/v1/metrics"
RETRY_AFTER_S = 1
# Verdicts on points that the response reports as rejections, in this order. Points with any other verdict
# count as accepted; among these are duplicates of points that were accepted earlier.
REJECTING_VERDICTS = ("late", "overlapping", "ahead", "backwards", "unknown")


def metrics_handler(submit: Callable[[Batch], Mapping[str, int] | None]) -> Handler:
    """Return the request handler for the HTTP server.

    ``submit`` passes a batch to the director and returns the number of points by verdict, or None if the
    director is too busy to accept the batch.
    """

    def handle(request: Request) -> Response:
        """Decode a report, submit it and respond according to the verdicts."""
        rejection = _check_request(request)
        if rejection is not None:
            return rejection
        try:
            batch = decode_report(request.body)
        except ReportError as error:
            return _error_response(HTTPStatus.BAD_REQUEST, str(error))
        verdicts = submit(batch)
        if verdicts is None:
            return _error_response(
                HTTPStatus.TOO_MANY_REQUESTS,
                "the director is busy",
                (("retry-after", str(RETRY_AFTER_S)),),
            )
        return _export_response(batch, verdicts)

    return handle


def _check_request(request: Request) -> Response | None:
    """Return the error response if the request is not an export of metrics as protobuf, else None."""
    if request.path.partition("?")[0] != METRICS_PATH:
        return _error_response(HTTPStatus.NOT_FOUND, f"{request.path} is not served here; {METRICS_PATH} is")
    if request.method != "POST":
        return _error_response(HTTPStatus.METHOD_NOT_ALLOWED, "POST is wanted", (("allow", "POST"),))
    content_type = request.headers.get("content-type", "").partition(";")[0].strip().lower()
    if content_type != PROTOBUF_TYPE:
        return _error_response(
            HTTPStatus.UNSUPPORTED_MEDIA_TYPE,
            f"content-type {content_type!r} is not taken; {PROTOBUF_TYPE} is",
        )
    return None


def _error_response(status: int, text: str, headers: tuple[tuple[str, str], ...] = ()) -> Response:
    """Build an error response with a ``google.rpc.Status`` body, as the specification requires."""
    return Response(status, Status(message=text).SerializeToString(), PROTOBUF_TYPE, headers)


def _export_response(batch: Batch, verdicts: Mapping[str, int]) -> Response:
    """Build the response for success, or for partial success with the rejected points and the reasons.

    Reporters must not retry after partial success, so rejected points are lost and each reason is listed.
    """
    rejected = batch.rejected
    reasons = [batch.reason] if batch.reason else []
    for verdict in REJECTING_VERDICTS:
        count = verdicts.get(verdict)
        if count:
            rejected += count
            reasons.append(f"{count} {verdict}")
    return Response(HTTPStatus.OK, encode_response(rejected, "; ".join(reasons)), PROTOBUF_TYPE)
