"""Guards against unintended changes of the decisions, by digests of all commands for fixed inputs.

The inputs are drawn days, scenarios and takeovers. ``decisions/digests.json`` was made by the code of commit
ec54d34 and is not regenerated for a change of code that should not affect behaviour. A step that returns
other commands is a change of behaviour: it is made in a commit of its own, which says so.
``decisions/README.md`` describes the two exceptions.
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
from tests.takeover import day as takeover_day
from tests.takeover.test_takeover import SMALL

HERE = Path(__file__).parent
ROOT = HERE.parent.parent
EXPECTED = json.loads((HERE / "decisions" / "digests.json").read_text())
SCENARIOS = HERE.parent / "decisions" / "scenarios"


def drawn_digest(seed: int) -> dict:
    """Return the digest of a drawn day."""
    return DrawnDay(int(seed)).play()


def scenario_digest(name: str) -> dict:
    """Return the digest of all commands that the directors give in a scenario."""
    digest = Digest()

    class Recorded(scenarios.Director):
        """A director whose commands are digested."""

        def step(self, now, events):
            commands = super().step(now, events)
            digest.add(now, commands)
            return commands

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(scenarios, "Director", Recorded)
        scenarios.play((SCENARIOS / f"{name}.txt").read_text())
    return digest.result()


def takeover_digest(seed: int) -> dict:
    """Return the digest of all commands that the directors give in a day with a takeover."""
    digest = Digest()

    class Recorded(Stepper):
        """A stepper whose commands are digested."""

        def __init__(self, *arguments):
            super().__init__(*arguments)
            self.on_step = lambda now, events, commands: digest.add(now, commands)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(takeover_day, "Stepper", Recorded)
        takeover_day.Day(SMALL.replace(seed=int(seed))).play()
    return digest.result()


DIGESTS = {"drawn": drawn_digest, "scenario": scenario_digest, "takeover": takeover_digest}
DAYS = [(kind, name) for kind, days in EXPECTED.items() for name in days]


@pytest.mark.parametrize(("kind", "name"), DAYS, ids=["-".join(day) for day in DAYS])
def test_a_day_gives_the_same_commands(kind, name):
    assert DIGESTS[kind](name) == EXPECTED[kind][name]


def test_every_scenario_has_a_digest():
    assert EXPECTED["scenario"].keys() == {path.stem for path in SCENARIOS.glob("*.txt")}


def test_every_kind_of_command_that_the_director_gives_is_digested():
    digested = {kind for days in EXPECTED.values() for day in days.values() for kind in day["commands"]}
    assert digested == {"line", "withdraw", "mark", "bind", "admit", "timer", "subscribe", "repeat"}


@pytest.mark.parametrize("hash_seed", ["1", "77"])
def test_commands_do_not_depend_on_the_hash_seed(hash_seed):
    code = "import json; from tests.compat.test_decisions import DIGESTS as digests; print(json.dumps(" + (
        "[digests['drawn'](4), digests['takeover'](1), digests['scenario']('zones')]))"
    )
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    command = [sys.executable, "-c", code]
    result = subprocess.run(command, text=True, capture_output=True, env=environment, cwd=ROOT, check=True)
    expected = [EXPECTED["drawn"]["4"], EXPECTED["takeover"]["1"], EXPECTED["scenario"]["zones"]]
    assert json.loads(result.stdout) == expected
