"""Logs of directors within the test's process go where pytest shows them only when a test fails."""

import sys

import structlog

structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))
