"""Parsing of a collector's load reports into events for the decisions. Free of I/O.

Times are in milliseconds in messages and in microseconds in events. The functions raise
``MalformedMessageError`` for an invalid message.
"""

from __future__ import annotations

from rainpick import model
from rainpick.node.configuration import Vocabulary
from rainpick.node.message_fields import (
    MalformedMessageError,
    Message,
    index_field,
    integer_field,
    name_field,
    number_field,
)

COUNT_LIMIT = 1 << 24  # a higher count in one interval is implausible
INTERVAL_LIMIT_MS = 3_600_000.0
METRIC_LIMIT = 1e9

LoadReport = model.ServerLoadReport | model.RouteLoadReport


def parse_server_report(message: Message, vocabulary: Vocabulary) -> model.ServerLoadReport:
    """Parse ``upstream_stats``, a report of the attempts that the proxies of a zone made at a server."""
    attempts = integer_field(message, "total", 1, COUNT_LIMIT)
    failures = integer_field(message, "errors", 0, attempts)
    # The mean latency is optional if no attempt was answered.
    has_mean = attempts > failures or message.get("rtt") is not None
    mean_ms = number_field(message, "rtt", 0, vocabulary.attempt_limit_ms) if has_mean else 0
    load = parse_load(message, vocabulary.load_metrics)
    return model.ServerLoadReport(
        name_field(message, "endpoint"),
        index_field(message, "locality", vocabulary.zones),
        attempts,
        failures,
        round(mean_ms * 1000),
        round(number_field(message, "interval", 1, INTERVAL_LIMIT_MS) * 1000),
        load,
    )


def parse_load(message: Message, names: tuple[str, ...]) -> tuple[float, ...]:
    """Return the values of the named metrics; an empty tuple if any of them is missing."""
    metrics = message.get("metrics")
    if metrics is None:
        return ()
    if not isinstance(metrics, dict):
        raise MalformedMessageError("metrics: not an object")
    for name in metrics:
        number_field(metrics, name, 0, METRIC_LIMIT)
    if not all(name in metrics for name in names):
        return ()
    return tuple(float(metrics[name]) for name in names)


def parse_route_report(message: Message, vocabulary: Vocabulary) -> model.RouteLoadReport:
    """Parse ``client_stats``, a report of the requests for a route that clients sent to a proxy."""
    return model.RouteLoadReport(
        integer_field(message, "node", 0, vocabulary.proxies - 1),
        index_field(message, "route", vocabulary.routes),
        integer_field(message, "total", 0, COUNT_LIMIT),
        integer_field(message, "errors", 0, COUNT_LIMIT),
        round(number_field(message, "interval", 1, INTERVAL_LIMIT_MS) * 1000),
    )
