"""The decisions stay: every command of drawn days, scenarios and takeovers, against committed digests.

``decisions/digests.json`` was made by the text of commit ec54d34 and is not made anew for a change of code
that should change nothing: a step that gives other commands is a change of behaviour and says so in a commit
of its own. ``decisions/README.md`` tells of the two exceptions.
"""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from rainpick.director.stepper import Stepper
from tests.compat.drawn_day import Digest, DrawnDay
from tests.decisions import scenario_player as scenarios
from tests.takeover import day as takeovers
from tests.takeover.test_takeover import SMALL

HERE = Path(__file__).parent
ROOT = HERE.parent.parent
EXPECTED = json.loads((HERE / "decisions" / "digests.json").read_text())
SCENARIOS = HERE.parent / "decisions" / "scenarios"


def drawn_digest(seed: int) -> dict:
    """The digest of a drawn day."""
    return DrawnDay(int(seed)).play()


def scenario_digest(name: str) -> dict:
    """The digest of all that the directors of a scenario order."""
    digest = Digest()

    class Recorded(scenarios.Director):
        """The director, its commands digested."""

        def step(self, now, events):
            commands = super().step(now, events)
            digest.add(now, commands)
            return commands

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(scenarios, "Director", Recorded)
        scenarios.play((SCENARIOS / f"{name}.txt").read_text())
    return digest.result()


def takeover_digest(seed: int) -> dict:
    """The digest of all that the directors of a takeover order."""
    digest = Digest()

    class Recorded(Stepper):
        """The stepper, its commands digested."""

        def __init__(self, *arguments):
            super().__init__(*arguments)
            self.on_step = lambda now, events, commands: digest.add(now, commands)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(takeovers, "Stepper", Recorded)
        takeovers.Day(SMALL.replace(seed=int(seed))).play()
    return digest.result()


DIGESTS = {"drawn": drawn_digest, "scenario": scenario_digest, "takeover": takeover_digest}
DAYS = [(kind, name) for kind, days in EXPECTED.items() for name in days]


@pytest.mark.parametrize(("kind", "name"), DAYS, ids=["-".join(day) for day in DAYS])
def test_a_day_gives_the_same_commands(kind, name):
    assert DIGESTS[kind](name) == EXPECTED[kind][name]


def test_every_scenario_has_a_digest():
    assert EXPECTED["scenario"].keys() == {path.stem for path in SCENARIOS.glob("*.txt")}


def test_every_kind_of_command_that_the_module_gives_is_digested():
    given = {kind for days in EXPECTED.values() for day in days.values() for kind in day["commands"]}
    assert given == {"line", "withdraw", "mark", "bind", "admit", "timer", "subscribe"}


@pytest.mark.parametrize("hash_seed", ["1", "77"])
def test_whatever_the_hash_seed(hash_seed):
    code = "import json; from tests.compat.test_decisions import DIGESTS as digests; print(json.dumps(" + (
        "[digests['drawn'](4), digests['takeover'](1), digests['scenario']('zones')]))"
    )
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    command = [sys.executable, "-c", code]
    result = subprocess.run(command, text=True, capture_output=True, env=environment, cwd=ROOT, check=True)
    expected = [EXPECTED["drawn"]["4"], EXPECTED["takeover"]["1"], EXPECTED["scenario"]["zones"]]
    assert json.loads(result.stdout) == expected
