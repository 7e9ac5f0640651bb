"""Plays every file in ``scenarios/`` with the scenario player."""

from pathlib import Path

import pytest

from tests.decisions.scenario_player import play

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path):
    play(path.read_text())
