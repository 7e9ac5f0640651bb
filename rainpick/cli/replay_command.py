"""``rainpick replay``: replay recorded days, compare commands, or inspect the state at a point in time."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from rainpick.cli.errors import FAILED, INVALID_USAGE, CommandError, report_errors
from rainpick.cli.options import EXISTING_FOLDER, FILE, as_json_option
from rainpick.settings import decision_settings, load

if TYPE_CHECKING:
    from rainpick.decisions.director import Director
    from rainpick.record.replay import ReplayResult


@click.command("replay")
@click.argument("folders", nargs=-1, required=True, type=EXISTING_FOLDER)
@click.option(
    "--set",
    "overrides",
    multiple=True,
    metavar="NAME=VALUE",
    help="Another setting for the decisions, by the module's name; may be given again.",
)
@click.option(
    "--settings", "settings_file", type=FILE, help="Another settings file, in place of the recorded one."
)
@click.option(
    "--module",
    "module_path",
    type=click.Path(),
    metavar="FILE",
    help="Another text of the module; it is run as it stands.",
)
@click.option(
    "--until",
    "until_s",
    type=float,
    metavar="SECOND",
    help="With --inspect: seconds from the life's begin; of several records, from the first.",
)
@click.option("--inspect", "subject", metavar="WHAT", help="fleet, server=HOST:PORT, table=N or proxy=N.")
@click.option(
    "--life",
    "incarnation_number",
    type=int,
    default=-1,
    help="With --inspect of one record: which, from 0; else the last.",
)
@click.option(
    "--html", "page_file", type=click.Path(dir_okay=False), help="Write the report as a page with charts."
)
@as_json_option
@report_errors
def replay(
    folders: tuple[str, ...],
    overrides: tuple[str, ...],
    settings_file: str | None,
    module_path: str | None,
    until_s: float | None,
    subject: str | None,
    incarnation_number: int,
    page_file: str | None,
    as_json: bool,
) -> None:
    """Feed recorded days to the decisions again: 0 if every order is the same, 1 if not.

    Several directors' records of a day are played side by side on the wall's clock.
    """
    from rainpick.cli.inspect_output import print_inspection
    from rainpick.cli.replay_output import print_replays
    from rainpick.record.clock import replay_together

    paths = [Path(folder) for folder in folders]
    setting_overrides, director_factory = _load_overrides(overrides, module_path)
    replacement_settings = decision_settings(load(settings_file)) if settings_file else None
    if subject:
        print_inspection(paths, subject, until_s, incarnation_number, director_factory, as_json)
        return
    results = replay_together(paths, director_factory, setting_overrides, replacement_settings, compare=True)
    if not results:
        raise CommandError(f"no incarnation of a director is in {', '.join(folders)}", INVALID_USAGE)
    if page_file:
        _write_page(Path(page_file), paths, results)
    print_replays(results, as_json)
    sys.exit(FAILED if any(result.differing or result.missing for result in results) else 0)


def _load_overrides(
    overrides: tuple[str, ...], module_path: str | None
) -> tuple[dict[str, Any], Callable[[], Director]]:
    """Return the overridden settings and the factory of the directors that process the replay."""
    from rainpick.decisions.director import Director
    from rainpick.record.load import ModuleError, load_decisions, parse_setting_overrides

    try:
        return parse_setting_overrides(list(overrides)), load_decisions(
            Path(module_path)
        ) if module_path else Director
    except (ValueError, ModuleError) as error:
        raise click.BadParameter(str(error)) from None


def _write_page(path: Path, folders: list[Path], results: list[ReplayResult]) -> None:
    """Write the results as an HTML page."""
    from rainpick.record.page import page

    path.write_text(page("Replay of " + ", ".join(folder.name for folder in folders), results))
