"""Names and limits of the metrics in a load report; ``docs/reports.md`` describes them for reporters.

The resource attribute ``service.instance.id`` is the LB UID of the proxy. ``rainpick.server.duration`` is a
histogram in seconds by ``server.address``, ``server.port`` and ``rainpick.outcome``; ``rainpick.calls`` is a
monotonic sum by ``rainpick.route`` and ``rainpick.outcome``. Both have delta temporality.
"""

from __future__ import annotations

from opentelemetry.proto.metrics.v1.metrics_pb2 import AggregationTemporality

SERVER_METRIC = "rainpick.server.duration"
ROUTE_METRIC = "rainpick.calls"

REPORTER_ATTRIBUTE = "service.instance.id"
ADDRESS_ATTRIBUTE = "server.address"
PORT_ATTRIBUTE = "server.port"
ROUTE_ATTRIBUTE = "rainpick.route"
OUTCOME_ATTRIBUTE = "rainpick.outcome"

ANSWERED, DROPPED, THROTTLED = "answered", "dropped", "throttled"
OUTCOMES = (ANSWERED, DROPPED, THROTTLED)

DELTA = AggregationTemporality.AGGREGATION_TEMPORALITY_DELTA
MAX_COUNT = 1 << 40  # limit of a count in one period; a larger one is an error of the reporter
MAX_DURATION_S = 1e12  # limit of the sum over all answered attempts of one period
MAX_TIME_NS = 1 << 62
