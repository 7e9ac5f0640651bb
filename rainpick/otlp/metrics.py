"""Load reports as OpenTelemetry metrics, both ways. ``docs/reports.md`` has the schema.

Resource attribute ``service.instance.id`` is the proxy's LB UID. ``rainpick.server.duration`` is a histogram
with delta temporality in seconds, by ``server.address``, ``server.port`` and ``rainpick.outcome``;
``rainpick.calls`` is a monotonic sum with delta temporality, by ``rainpick.route`` and ``rainpick.outcome``.
"""

from __future__ import annotations

from collections.abc import Iterable

from google.protobuf.message import DecodeError
from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import (
    ExportMetricsServiceRequest,
    ExportMetricsServiceResponse,
)
from opentelemetry.proto.metrics.v1.metrics_pb2 import AggregationTemporality, Metric

from rainpick.director.reports import Point

SERVER_METRIC, CALLS_METRIC = "rainpick.server.duration", "rainpick.calls"
ANSWERED, DROPPED, THROTTLED = "answered", "dropped", "throttled"
OUTCOMES = (ANSWERED, DROPPED, THROTTLED)
DELTA = AggregationTemporality.AGGREGATION_TEMPORALITY_DELTA
COUNT_MOST = 1 << 40  # a larger count in a period is no count
NS_MOST = 1 << 62


class ReportError(Exception):
    """The body is no metrics report."""


class Batch:
    """The points of one report, and how many were rejected, with the first reason."""

    def __init__(self) -> None:
        self.points: list[Point] = []
        self.rejected, self.why = 0, ""

    def reject(self, many: int, why: str) -> None:
        self.rejected += many
        self.why = self.why or why


def attributes(pairs) -> dict[str, str | int]:
    found: dict[str, str | int] = {}
    for pair in pairs:
        kind = pair.value.WhichOneof("value")
        if kind in ("string_value", "int_value"):
            found[pair.key] = getattr(pair.value, kind)
    return found


def read(body: bytes) -> Batch:
    """Read an ``ExportMetricsServiceRequest``; unknown metrics are rejected, not fatal."""
    request = ExportMetricsServiceRequest()
    try:
        request.ParseFromString(body)
    except DecodeError as flaw:
        raise ReportError(f"not an ExportMetricsServiceRequest: {flaw}") from None
    batch = Batch()
    for resource in request.resource_metrics:
        reporter = attributes(resource.resource.attributes).get("service.instance.id")
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                read_metric(batch, reporter, metric)
    return batch


def read_metric(batch: Batch, reporter: str | int | None, metric: Metric) -> None:
    kind = metric.WhichOneof("data")
    data = getattr(metric, kind) if kind else None
    many = len(data.data_points) if data is not None else 0
    wanted = {SERVER_METRIC: "histogram", CALLS_METRIC: "sum"}.get(metric.name)
    if not isinstance(reporter, str) or not reporter:
        batch.reject(many, "the resource has no service.instance.id")
    elif wanted is None:
        batch.reject(many, f"metric {metric.name!r} is not known here")
    elif kind != wanted:
        batch.reject(many, f"{metric.name}: a {wanted} is wanted, not a {kind}")
    elif data.aggregation_temporality != DELTA:
        batch.reject(many, f"{metric.name}: delta temporality is wanted")
    elif metric.name == SERVER_METRIC and metric.unit not in ("s", ""):
        batch.reject(many, f"{metric.name}: the unit is s, not {metric.unit!r}")
    else:
        read_point = read_server_point if wanted == "histogram" else read_calls_point
        for point in data.data_points:
            try:
                batch.points.append(read_point(reporter, point))
            except (KeyError, TypeError, ValueError, OverflowError) as flaw:
                batch.reject(1, f"{metric.name}: {flaw}")


def period(point) -> tuple[int, int]:
    start, end = point.start_time_unix_nano, point.time_unix_nano
    if not start or not end or end > NS_MOST or start > NS_MOST:
        raise ValueError("a delta point needs start_time_unix_nano and time_unix_nano")
    return start, end


def outcome_of(found: dict) -> str:
    outcome = found.get("rainpick.outcome")
    if outcome not in OUTCOMES:
        raise ValueError(f"rainpick.outcome is one of {', '.join(OUTCOMES)}, not {outcome!r}")
    return outcome


def read_server_point(reporter: str, point) -> Point:
    found = attributes(point.attributes)
    outcome, (start, end) = outcome_of(found), period(point)
    address, port = found.get("server.address"), found.get("server.port")
    if not isinstance(address, str) or not isinstance(port, int):
        raise ValueError("server.address (text) and server.port (a whole number) are wanted")
    count, took = point.count, point.sum if point.HasField("sum") else 0.0
    if count > COUNT_MOST or not 0 <= took < 1e12:
        raise ValueError("count or sum is out of range")
    good = outcome == ANSWERED
    return Point(
        reporter,
        start,
        end,
        count if good else 0,
        0 if good else count,
        int(took * 1e6) if good else 0,
        server=(address, port),
        outcomes=outcome,
    )


def read_calls_point(reporter: str, point) -> Point:
    found = attributes(point.attributes)
    outcome, (start, end) = outcome_of(found), period(point)
    route = found.get("rainpick.route")
    kind = point.WhichOneof("value")
    value = getattr(point, kind) if kind else -1
    if not isinstance(route, str) or not 0 <= value < COUNT_MOST:
        raise ValueError("rainpick.route (text) and a count of 0 or more are wanted")
    good = outcome == ANSWERED
    return Point(
        reporter,
        start,
        end,
        int(value) if good else 0,
        0 if good else int(value),
        0,
        route=route,
        outcomes=outcome,
    )


def write(
    reporter: str, start_ns: int, end_ns: int, servers: Iterable[tuple], calls: Iterable[tuple]
) -> bytes:
    """A report. ``servers``: (host, port, outcome, count, seconds); ``calls``: (route, outcome, count)."""
    request = ExportMetricsServiceRequest()
    resource = request.resource_metrics.add()
    resource.resource.attributes.add(key="service.instance.id").value.string_value = reporter
    scope = resource.scope_metrics.add()
    scope.scope.name = "rainpick"

    def fresh(points, **pairs):
        point = points.add(start_time_unix_nano=start_ns, time_unix_nano=end_ns)
        for name, value in pairs.items():
            slot = point.attributes.add(key=name.replace("_", ".")).value
            if isinstance(value, int):
                slot.int_value = value
            else:
                slot.string_value = value
        return point

    histogram = scope.metrics.add(name=SERVER_METRIC, unit="s").histogram
    histogram.aggregation_temporality = DELTA
    for host, port, outcome, count, seconds in servers:
        point = fresh(histogram.data_points, server_address=host, server_port=port, rainpick_outcome=outcome)
        point.count, point.sum = count, seconds
    total = scope.metrics.add(name=CALLS_METRIC, unit="{call}").sum
    total.aggregation_temporality, total.is_monotonic = DELTA, True
    for route, outcome, count in calls:
        fresh(total.data_points, rainpick_route=route, rainpick_outcome=outcome).as_int = count
    return request.SerializeToString()


def answer(rejected: int, why: str) -> bytes:
    """An ``ExportMetricsServiceResponse``; partial success if anything was rejected."""
    response = ExportMetricsServiceResponse()
    if rejected:
        response.partial_success.rejected_data_points = rejected
        response.partial_success.error_message = why
    return response.SerializeToString()
