"""Decodes ``ExportMetricsServiceRequest`` messages into the points of load reports.

Unusable points are rejected individually, as the partial success of OTLP requires: an unknown metric must not
cause the loss of the reporter's other points. The batch keeps only the reason for the first rejection.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from google.protobuf.message import DecodeError
from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import ExportMetricsServiceRequest
from opentelemetry.proto.common.v1.common_pb2 import KeyValue
from opentelemetry.proto.metrics.v1.metrics_pb2 import HistogramDataPoint, Metric, NumberDataPoint

from rainpick.director.reports import Point
from rainpick.otlp.schema import (
    ADDRESS_ATTRIBUTE,
    ANSWERED,
    DELTA,
    MAX_COUNT,
    MAX_DURATION_S,
    MAX_TIME_NS,
    OUTCOME_ATTRIBUTE,
    OUTCOMES,
    PORT_ATTRIBUTE,
    REPORTER_ATTRIBUTE,
    ROUTE_ATTRIBUTE,
    ROUTE_METRIC,
    SERVER_METRIC,
)

AttributeValue = str | int


class ReportError(Exception):
    """The body is not an ``ExportMetricsServiceRequest``."""


@dataclass(slots=True)
class Batch:
    """The accepted points of one report, the number of rejected points and the first reason for rejection."""

    points: list[Point] = field(default_factory=list)
    rejected: int = 0
    reason: str = ""

    def reject(self, count: int, reason: str) -> None:
        """Count points as rejected, and keep the reason if it is the first."""
        self.rejected += count
        self.reason = self.reason or reason


class MetricDecoder(NamedTuple):
    """The expected kind of a metric's data and the function that decodes one of its points."""

    kind: str
    decode_point: Callable[[str, HistogramDataPoint | NumberDataPoint], Point]


def decode_report(body: bytes) -> Batch:
    """Decode a request; raise ``ReportError`` if the body is not one."""
    request = ExportMetricsServiceRequest()
    try:
        request.ParseFromString(body)
    except DecodeError as error:
        raise ReportError(f"not an ExportMetricsServiceRequest: {error}") from None
    batch = Batch()
    for resource in request.resource_metrics:
        reporter = _scalar_attributes(resource.resource.attributes).get(REPORTER_ATTRIBUTE)
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                _decode_metric(batch, reporter, metric)
    return batch


def _decode_metric(batch: Batch, reporter: AttributeValue | None, metric: Metric) -> None:
    """Add the points of a metric to the batch; reject all of them if the metric is unusable."""
    kind = metric.WhichOneof("data")
    data_points = getattr(metric, kind).data_points if kind else ()
    if not isinstance(reporter, str) or not reporter:
        batch.reject(len(data_points), f"the resource has no {REPORTER_ATTRIBUTE}")
        return
    decoder = METRIC_DECODERS.get(metric.name)
    if decoder is None:
        batch.reject(len(data_points), f"metric {metric.name!r} is not known here")
        return
    mismatch = _schema_mismatch(metric, kind, decoder.kind)
    if mismatch is not None:
        batch.reject(len(data_points), f"{metric.name}: {mismatch}")
        return
    for data_point in data_points:
        try:
            batch.points.append(decoder.decode_point(reporter, data_point))
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            batch.reject(1, f"{metric.name}: {error}")


def _schema_mismatch(metric: Metric, kind: str | None, expected_kind: str) -> str | None:
    """Return the reason why a known metric violates the schema, None if it does not."""
    if kind != expected_kind:
        return f"a {expected_kind} is wanted, not a {kind}"
    if getattr(metric, expected_kind).aggregation_temporality != DELTA:
        return "delta temporality is wanted"
    if metric.name == SERVER_METRIC and metric.unit not in ("s", ""):
        return f"the unit is s, not {metric.unit!r}"
    return None


def _scalar_attributes(pairs: Iterable[KeyValue]) -> dict[str, AttributeValue]:
    """Return the attributes with a string or integer value; the schema has no others."""
    values: dict[str, AttributeValue] = {}
    for pair in pairs:
        kind = pair.value.WhichOneof("value")
        if kind in ("string_value", "int_value"):
            values[pair.key] = getattr(pair.value, kind)
    return values


def _outcome(attributes: Mapping[str, AttributeValue]) -> str:
    """Return the outcome attribute of a point; raise ``ValueError`` if it is missing or unknown."""
    outcome = attributes.get(OUTCOME_ATTRIBUTE)
    if not isinstance(outcome, str) or outcome not in OUTCOMES:
        raise ValueError(f"{OUTCOME_ATTRIBUTE} is one of {', '.join(OUTCOMES)}, not {outcome!r}")
    return outcome


def _period(point: HistogramDataPoint | NumberDataPoint) -> tuple[int, int]:
    """Return start and end of a point's period, in nanoseconds of the reporter's clock.

    Raises ``ValueError`` if either is missing or out of range.
    """
    start_ns: int = point.start_time_unix_nano
    end_ns: int = point.time_unix_nano
    if not start_ns or not end_ns or end_ns > MAX_TIME_NS or start_ns > MAX_TIME_NS:
        raise ValueError("a delta point needs start_time_unix_nano and time_unix_nano")
    return start_ns, end_ns


def _decode_server_point(reporter: str, point: HistogramDataPoint) -> Point:
    """Decode a point of ``rainpick.server.duration``; raise ``ValueError`` if it violates the schema."""
    attributes = _scalar_attributes(point.attributes)
    outcome = _outcome(attributes)
    start_ns, end_ns = _period(point)
    address, port = attributes.get(ADDRESS_ATTRIBUTE), attributes.get(PORT_ATTRIBUTE)
    if not isinstance(address, str) or not isinstance(port, int):
        raise ValueError("server.address (text) and server.port (a whole number) are wanted")
    count = point.count
    duration_s = point.sum if point.HasField("sum") else 0.0
    if count > MAX_COUNT or not 0 <= duration_s < MAX_DURATION_S:
        raise ValueError("count or sum is out of range")
    answered, unanswered = (count, 0) if outcome == ANSWERED else (0, count)
    duration_us = int(duration_s * 1e6) if outcome == ANSWERED else 0
    return Point(
        reporter,
        start_ns,
        end_ns,
        answered,
        unanswered,
        duration_us,
        server=(address, port),
        outcomes=outcome,
    )


def _decode_route_point(reporter: str, point: NumberDataPoint) -> Point:
    """Decode a point of ``rainpick.calls``; raise ``ValueError`` if it violates the schema."""
    attributes = _scalar_attributes(point.attributes)
    outcome = _outcome(attributes)
    start_ns, end_ns = _period(point)
    route = attributes.get(ROUTE_ATTRIBUTE)
    kind = point.WhichOneof("value")
    value = getattr(point, kind) if kind else -1
    if not isinstance(route, str) or not 0 <= value < MAX_COUNT:
        raise ValueError("rainpick.route (text) and a count of 0 or more are wanted")
    count = int(value)
    answered, unanswered = (count, 0) if outcome == ANSWERED else (0, count)
    return Point(reporter, start_ns, end_ns, answered, unanswered, 0, route=route, outcomes=outcome)


METRIC_DECODERS = {
    SERVER_METRIC: MetricDecoder("histogram", _decode_server_point),
    ROUTE_METRIC: MetricDecoder("sum", _decode_route_point),
}
