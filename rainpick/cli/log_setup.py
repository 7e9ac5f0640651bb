"""Structured logs on standard error, as one JSON object per line or as coloured text."""

from __future__ import annotations

import logging
import sys
from typing import Literal

import structlog
from structlog.typing import Processor


def configure_log(level: str, form: Literal["json", "console"]) -> None:
    """Set up the log of this process. ``level`` is the lowest level that is logged, such as ``info``."""
    processors: list[Processor] = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    if form == "json":
        processors += [structlog.processors.format_exc_info, structlog.processors.JSONRenderer()]
    else:
        processors.append(structlog.dev.ConsoleRenderer())  # formats exceptions itself
    structlog.configure(
        processors=processors,
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
