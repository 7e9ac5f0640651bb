"""The old names of ``decoding`` and ``encoding``, until their users are renamed."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from rainpick.otlp.decoding import Batch, ReportError
from rainpick.otlp.decoding import decode_report as read
from rainpick.otlp.encoding import RouteOutcome, ServerOutcome, encode_report
from rainpick.otlp.encoding import encode_response as answer

__all__ = ["Batch", "ReportError", "answer", "read", "write"]


def write(
    reporter: str,
    start_ns: int,
    end_ns: int,
    servers: Iterable[tuple[Any, ...]],
    calls: Iterable[tuple[Any, ...]],
) -> bytes:
    """Old form of ``encode_report``, with bare tuples for ``ServerOutcome`` and ``RouteOutcome``."""
    return encode_report(
        reporter,
        start_ns,
        end_ns,
        (ServerOutcome(*fields) for fields in servers),
        (RouteOutcome(*fields) for fields in calls),
    )
