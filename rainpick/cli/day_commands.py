"""``rainpick day`` runs a scripted day on loopback; ``rainpick audit`` evaluates the logs of a day again."""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path

import click

from rainpick.cli.errors import FAILED, CommandError, report_errors
from rainpick.cli.options import EXISTING_FOLDER, FILE, FOLDER
from rainpick.settings import load


@click.command("day")
@click.argument("file", type=FILE)
@click.option("--dir", "folder", type=FOLDER, help="Where logs go; else a new folder.")
@click.option("--json", "as_json", is_flag=True, help="The verdict as JSON.")
@click.option("--quiet", is_flag=True, help="Only the verdict.")
@report_errors
def day(file: str, folder: str | None, as_json: bool, quiet: bool) -> None:
    """Play a scripted day on loopback and judge it: 0 if the rules are kept and the goal is reached."""
    from rainpick.cli.day_output import DayProgress, ignore_progress
    from rainpick.cli.verdict_output import print_verdict, verdict_json
    from rainpick.simulated_peers.day import Day, DayError
    from rainpick.simulated_peers.scenario import Scenario

    scenario = load(file, Scenario)
    log_folder = Path(folder) if folder else Path(tempfile.mkdtemp(prefix="rainpick-day-"))
    try:
        progress = ignore_progress if quiet or as_json else DayProgress(scenario)
        verdict = Day(scenario, log_folder).play(progress)
    except DayError as error:
        raise CommandError(f"{error}; logs are in {log_folder}") from None
    good = verdict.passed and verdict.service_ratio() >= scenario.goal
    if as_json:
        click.echo(json.dumps(verdict_json(verdict, scenario.goal, good)))
    else:
        print_verdict(verdict, log_folder, scenario.goal, good)
    sys.exit(0 if good else FAILED)


@click.command("audit")
@click.argument("folder", type=EXISTING_FOLDER)
@click.option("--json", "as_json", is_flag=True, help="The verdict as JSON.")
@report_errors
def audit(folder: str, as_json: bool) -> None:
    """Judge the logs of a day again."""
    from rainpick.cli.verdict_output import print_verdict, verdict_json
    from rainpick.rules import Limits, read_logs
    from rainpick.rules import audit as judge

    log_folder = Path(folder)
    limits = Limits(**json.loads((log_folder / "limits.json").read_text()))
    verdict = judge(read_logs(log_folder), limits)
    if as_json:
        click.echo(json.dumps(verdict_json(verdict, 0.0, verdict.passed)))
    else:
        print_verdict(verdict, log_folder, 0.0, verdict.passed)
    sys.exit(0 if verdict.passed else FAILED)
