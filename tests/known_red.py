"""Reads the list of known failures, ``KNOWN-RED.txt``: tests that fail because of a fault not fixed yet.

A line is ``TEST; CAUSE; ISSUE``. A listed test must fail: one that passes fails the suite, so that the line
is removed together with the fix. If the fault was traced and shows in some runs only, the cause begins with
``intermittent:``; the test may then fail with an assertion or pass. The suite prints the lines whenever it
runs.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_LINES = 3
INTERMITTENT = "intermittent:"


class KnownFailure(NamedTuple):
    """One line of the list."""

    test: str  # pytest id; without parameters it covers all of them
    cause: str
    issue: str

    @property
    def is_intermittent(self) -> bool:
        """Whether the test fails in some runs only."""
        return self.cause.startswith(INTERMITTENT)

    def matches(self, test_id: str) -> bool:
        """Return whether the line covers a test."""
        return test_id == self.test or test_id.startswith(self.test + "[")


def parse(text: str) -> list[KnownFailure]:
    """Parse the lines of the list; ``ValueError`` if one is malformed or there are too many.

    >>> parse("# comment\\n\\ntests/a.py::test_b; the queue is too long; 26")
    [KnownFailure(test='tests/a.py::test_b', cause='the queue is too long', issue='26')]
    >>> parse("tests/a.py::test_b; no issue")
    Traceback (most recent call last):
    ValueError: KNOWN-RED.txt: 'tests/a.py::test_b; no issue' is not TEST; CAUSE; ISSUE
    """
    failures = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(";")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise ValueError(f"KNOWN-RED.txt: {line!r} is not TEST; CAUSE; ISSUE")
        failures.append(KnownFailure(*parts))
    if len(failures) > MAX_LINES:
        raise ValueError(f"KNOWN-RED.txt: {len(failures)} lines, {MAX_LINES} at most")
    return failures


def load() -> list[KnownFailure]:
    """Read the list; it is empty if the file does not exist."""
    return parse(PATH.read_text()) if PATH.exists() else []
