"""The list of known failures: its format, its limit, and that a listed test must fail."""

from pathlib import Path

import pytest

from tests import known_red

ROOT = Path(__file__).parent.parent


def test_each_line_names_a_test_of_this_repository():
    for failure in known_red.load():
        path, _, name = failure.test.partition("::")
        assert f"def {name.partition('[')[0]}(" in (ROOT / path).read_text(), failure.test


def test_more_lines_than_allowed_are_an_error():
    line = "tests/test_known_red.py::test_x; a cause; 1\n"
    assert len(known_red.parse(line * known_red.MAX_LINES)) == known_red.MAX_LINES
    with pytest.raises(ValueError, match="at most"):
        known_red.parse(line * (known_red.MAX_LINES + 1))


def test_a_line_covers_all_parameters_of_its_test_and_no_other_test():
    failure = known_red.parse("tests/a.py::test_b; cause; 1")[0]
    assert failure.matches("tests/a.py::test_b") and failure.matches("tests/a.py::test_b[2]")
    assert not failure.matches("tests/a.py::test_bc")


PROBE = """
def test_listed():
    assert {passes}
"""


@pytest.mark.parametrize(("passes", "exit_code"), [(False, 0), (True, 1)])
def test_a_listed_test_must_fail(pytester, monkeypatch, passes, exit_code):
    """A listed test that passes fails the run, so that its line is removed."""
    pytester.makeconftest("from tests.conftest import pytest_collection_modifyitems, pytest_terminal_summary")
    pytester.makepyfile(test_probe=PROBE.format(passes=passes))
    monkeypatch.setattr(known_red, "PATH", pytester.path / "KNOWN-RED.txt")
    known_red.PATH.write_text("test_probe.py::test_listed; a cause; 26")
    result = pytester.runpytest_inprocess("-p", "no:xdist")
    assert result.ret == exit_code
    result.stdout.fnmatch_lines(["KNOWN RED: test_probe.py::test_listed: a cause (issue 26)"])


@pytest.mark.parametrize(("statement", "exit_code"), [("assert False", 0), ("pass", 0), ("1 / 0", 1)])
def test_a_test_that_fails_in_some_runs_may_pass_and_fail_with_an_assertion_only(
    pytester, monkeypatch, statement, exit_code
):
    pytester.makeconftest("from tests.conftest import pytest_collection_modifyitems, pytest_terminal_summary")
    pytester.makepyfile(test_probe=f"def test_listed():\n    {statement}\n")
    monkeypatch.setattr(known_red, "PATH", pytester.path / "KNOWN-RED.txt")
    known_red.PATH.write_text("test_probe.py::test_listed; intermittent: a cause; 26")
    result = pytester.runpytest_inprocess("-p", "no:xdist")
    assert result.ret == exit_code
    result.stdout.fnmatch_lines(["KNOWN RED: test_probe.py::test_listed: intermittent: a cause (issue 26)"])
