"""The list of known failures names tests that exist, and no more than it may."""

from pathlib import Path

import pytest

from tests import known_red

ROOT = Path(__file__).parent.parent


def test_each_line_names_a_test_of_this_repository():
    for failure in known_red.listed():
        path, _, name = failure.test.partition("::")
        assert f"def {name.partition('[')[0]}(" in (ROOT / path).read_text(), failure.test


def test_more_lines_than_allowed_are_an_error():
    line = "tests/test_known_red.py::test_x; a cause; 1\n"
    assert len(known_red.read(line * known_red.MOST)) == known_red.MOST
    with pytest.raises(ValueError, match="at most"):
        known_red.read(line * (known_red.MOST + 1))


def test_a_line_names_all_parameters_of_its_test_and_no_other_test():
    failure = known_red.read("tests/a.py::test_b; cause; 1")[0]
    assert failure.names("tests/a.py::test_b") and failure.names("tests/a.py::test_b[2]")
    assert not failure.names("tests/a.py::test_bc")


PROBE = """
def test_listed():
    assert {holds}
"""


@pytest.mark.parametrize(("holds", "code"), [(False, 0), (True, 1)])
def test_a_listed_test_must_fail(pytester, monkeypatch, holds, code):
    """One that passes is to be taken off the list."""
    pytester.makeconftest("from tests.conftest import pytest_collection_modifyitems, pytest_terminal_summary")
    pytester.makepyfile(test_probe=PROBE.format(holds=holds))
    monkeypatch.setattr(known_red, "PATH", pytester.path / "KNOWN-RED.txt")
    known_red.PATH.write_text("test_probe.py::test_listed; a cause; 26")
    found = pytester.runpytest_inprocess("-p", "no:xdist")
    assert found.ret == code
    found.stdout.fnmatch_lines(["KNOWN RED: test_probe.py::test_listed: a cause (issue 26)"])
