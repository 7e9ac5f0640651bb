"""Structured logs on standard error: one JSON object a line, or coloured text for people."""

import logging
import sys

import structlog


def set_up(level: str, form: str) -> None:
    shared = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
    ]
    last = structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer()
    if form != "json":
        shared.pop()  # the renderer shows exceptions itself
    structlog.configure(
        processors=[*shared, last],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
