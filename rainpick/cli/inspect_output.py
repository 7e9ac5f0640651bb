"""State of directors at a point in time of a recorded day: a server, a table, a proxy, or the fleet."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from rainpick.cli.errors import INVALID_USAGE, CommandError
from rainpick.decisions.director import Director
from rainpick.record import inspect
from rainpick.record.clock import replay_until
from rainpick.record.incarnations import select_incarnation
from rainpick.record.steps import Incarnation
from rainpick.store import read

NO_TIME_LIMIT_US = 1 << 62  # later than any step


def print_inspection(
    folders: list[Path],
    subject: str,
    until_s: float | None,
    incarnation_number: int,
    director_factory: Callable[[], Director],
    as_json: bool,
) -> None:
    """Print the state of a subject in each director; ``CommandError`` if the subject or time does not exist.

    ``subject`` has the form of ``--inspect``. ``until_s``: seconds since the start of the incarnation or,
    with several records, since their earliest step; None for the end. ``incarnation_number`` selects the
    incarnation of a single record; it is ignored for several.
    """
    try:
        if len(folders) == 1:
            directors = [_director_at(folders[0], until_s, incarnation_number, director_factory)]
        else:
            replays = replay_until(folders, until_s, director_factory)
            directors = [(replay.incarnation, inspect.director_of_replay(replay)) for replay in replays]
        reports = [inspect.inspect_subject(director, subject) for _, director in directors]
    except LookupError as error:
        raise CommandError(str(error), INVALID_USAGE) from None
    if as_json:
        click.echo(json.dumps(reports[0] if len(folders) == 1 else reports))
        return
    for (incarnation, director), report in zip(directors, reports, strict=True):
        second = (director.now - incarnation.now) / 1e6
        click.echo(f"{second:.3f} s after the begin of director {incarnation.director}")
        _print_fields(report, "")


def _director_at(
    folder: Path, until_s: float | None, incarnation_number: int, director_factory: Callable[[], Director]
) -> tuple[Incarnation, Director]:
    """Return an incarnation of a record, and its director at ``until_s`` seconds after its start."""
    incarnation, steps = select_incarnation(lambda: read(folder), incarnation_number)
    until_us = NO_TIME_LIMIT_US if until_s is None else incarnation.now + int(until_s * 1e6)
    return incarnation, inspect.replay_director_until(incarnation, steps, until_us, director_factory)


def _print_fields(fields: dict[str, Any], indent: str) -> None:
    """Print a line for each field, with nested fields indented. Factors of 1 (no effect) are omitted."""
    for name, value in fields.items():
        label = str(name).replace("_", " ")
        if name == "because":
            for cause, factor in value:
                if factor != 1.0:
                    click.echo(f"{indent}  x {factor:.4g}  {cause}")
        elif isinstance(value, dict):
            click.echo(f"{indent}{label}:")
            _print_fields(value, indent + "  ")
        else:
            click.echo(f"{indent}{label}: {format(value, '.6g') if isinstance(value, float) else value}")
