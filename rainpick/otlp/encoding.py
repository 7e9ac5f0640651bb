"""Encodes the load reports of a reporter and the responses to them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import (
    ExportMetricsServiceRequest,
    ExportMetricsServiceResponse,
)
from opentelemetry.proto.metrics.v1.metrics_pb2 import HistogramDataPoint, NumberDataPoint

from rainpick.otlp.schema import (
    ADDRESS_ATTRIBUTE,
    DELTA,
    OUTCOME_ATTRIBUTE,
    PORT_ATTRIBUTE,
    REPORTER_ATTRIBUTE,
    ROUTE_ATTRIBUTE,
    ROUTE_METRIC,
    SERVER_METRIC,
)

SCOPE_NAME = "rainpick"


class ServerOutcome(NamedTuple):
    """Attempts at one server with one outcome in a period, and the sum of their durations."""

    host: str
    port: int
    outcome: str
    attempts: int
    duration_s: float


class RouteOutcome(NamedTuple):
    """Requests of one route with one outcome in a period."""

    route: str
    outcome: str
    requests: int


def encode_report(
    reporter: str,
    start_ns: int,
    end_ns: int,
    servers: Iterable[ServerOutcome],
    routes: Iterable[RouteOutcome],
) -> bytes:
    """Encode a report of one period; its start and end are in nanoseconds of the reporter's clock."""
    request = ExportMetricsServiceRequest()
    resource = request.resource_metrics.add()
    resource.resource.attributes.add(key=REPORTER_ATTRIBUTE).value.string_value = reporter
    scope = resource.scope_metrics.add()
    scope.scope.name = SCOPE_NAME

    histogram = scope.metrics.add(name=SERVER_METRIC, unit="s").histogram
    histogram.aggregation_temporality = DELTA
    for server in servers:
        point = histogram.data_points.add(start_time_unix_nano=start_ns, time_unix_nano=end_ns)
        _add_attribute(point, ADDRESS_ATTRIBUTE, server.host)
        _add_attribute(point, PORT_ATTRIBUTE, server.port)
        _add_attribute(point, OUTCOME_ATTRIBUTE, server.outcome)
        point.count = server.attempts
        point.sum = server.duration_s

    total = scope.metrics.add(name=ROUTE_METRIC, unit="{call}").sum
    total.aggregation_temporality = DELTA
    total.is_monotonic = True
    for route in routes:
        point = total.data_points.add(start_time_unix_nano=start_ns, time_unix_nano=end_ns)
        _add_attribute(point, ROUTE_ATTRIBUTE, route.route)
        _add_attribute(point, OUTCOME_ATTRIBUTE, route.outcome)
        point.as_int = route.requests
    return bytes(request.SerializeToString())


def _add_attribute(point: HistogramDataPoint | NumberDataPoint, key: str, value: str | int) -> None:
    attribute = point.attributes.add(key=key).value
    if isinstance(value, int):
        attribute.int_value = value
    else:
        attribute.string_value = value


def encode_response(rejected: int, reason: str) -> bytes:
    """Encode an ``ExportMetricsServiceResponse``, with partial success if points were rejected."""
    response = ExportMetricsServiceResponse()
    if rejected:
        response.partial_success.rejected_data_points = rejected
        response.partial_success.error_message = reason
    return bytes(response.SerializeToString())
