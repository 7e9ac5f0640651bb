"""The list of known failures, ``KNOWN-RED.txt``: tests that fail for a real fault that is not mended yet.

A line is ``TEST; CAUSE; ISSUE``. A listed test has to fail: one that passes fails the suite, so that the line
is taken off with the mend. The suite prints the lines whenever it runs.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


class KnownFailure(NamedTuple):
    """One line of the list."""

    test: str  # its pytest id; all of its parameters, if the id has none
    cause: str
    issue: str

    def names(self, test_id: str) -> bool:
        return test_id == self.test or test_id.startswith(self.test + "[")


def read(text: str) -> list[KnownFailure]:
    """The lines of the list; ``ValueError`` if one can't be read or there are too many.

    >>> read("# comment\\n\\ntests/a.py::test_b; the queue is too long; 26")
    [KnownFailure(test='tests/a.py::test_b', cause='the queue is too long', issue='26')]
    >>> read("tests/a.py::test_b; no issue")
    Traceback (most recent call last):
    ValueError: KNOWN-RED.txt: 'tests/a.py::test_b; no issue' is not TEST; CAUSE; ISSUE
    """
    found = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(";")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise ValueError(f"KNOWN-RED.txt: {line!r} is not TEST; CAUSE; ISSUE")
        found.append(KnownFailure(*parts))
    if len(found) > MOST:
        raise ValueError(f"KNOWN-RED.txt: {len(found)} lines, {MOST} at most")
    return found


def listed() -> list[KnownFailure]:
    """The list as it stands."""
    return read(PATH.read_text()) if PATH.exists() else []
