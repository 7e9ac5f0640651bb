"""Sends the logs of in-process directors to standard error, and marks known failures as expected."""

import sys

import pytest
import structlog

from tests import known_red

structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))


def pytest_collection_modifyitems(items):
    """Mark the listed tests as expected failures; one that passes fails the suite unless it may do so."""
    for failure in known_red.load():
        for item in items:
            if failure.matches(item.nodeid):
                reason = f"{failure.cause} (issue {failure.issue})"
                strict = not failure.is_intermittent
                raises = None if strict else AssertionError
                item.add_marker(pytest.mark.xfail(reason=reason, strict=strict, raises=raises))


def pytest_terminal_summary(terminalreporter):
    """Print the known failures after each run."""
    for failure in known_red.load():
        terminalreporter.write_line(f"KNOWN RED: {failure.test}: {failure.cause} (issue {failure.issue})")
