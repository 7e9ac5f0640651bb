"""The deploy file lists the modules that operators treat as policy."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_every_module_of_the_decisions_is_listed_as_policy():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    modules = sorted((ROOT / "rainpick" / "decisions").rglob("*.py"))
    assert deploy["policy"] == [path.relative_to(ROOT).as_posix() for path in modules]
