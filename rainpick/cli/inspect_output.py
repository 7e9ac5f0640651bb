"""What directors knew at a moment of a recorded day: a server, a table, a proxy, or the fleet."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from rainpick.cli.errors import WRONG_CALL, CommandError
from rainpick.decisions.director import Director
from rainpick.record import inspect
from rainpick.record.clock import replay_until
from rainpick.record.incarnations import select_incarnation
from rainpick.record.steps import Incarnation
from rainpick.store import read

END_OF_TIME_US = 1 << 62


def print_inspection(
    folders: list[Path],
    subject: str,
    until_s: float | None,
    session_number: int,
    module: Callable[[], Director],
    as_json: bool,
) -> None:
    """Print the subject as each director knew it; ``CommandError`` if there is no such subject or moment.

    ``subject``: as ``--inspect`` takes it. ``until_s``: the moment, the end of the records if None.
    ``session_number``: which session of the record, if there is one record only.
    """
    try:
        if len(folders) == 1:
            directors = [_director_at(folders[0], until_s, session_number, module)]
        else:
            sessions = replay_until(folders, until_s, module)
            directors = [(replay.incarnation, inspect.director_of_replay(replay)) for replay in sessions]
        reports = [inspect.inspect_subject(director, subject) for _, director in directors]
    except LookupError as error:
        raise CommandError(str(error), WRONG_CALL) from None
    if as_json:
        click.echo(json.dumps(reports[0] if len(folders) == 1 else reports))
        return
    for (session, director), report in zip(directors, reports, strict=True):
        second = (director.now - session.now) / 1e6
        click.echo(f"{second:.3f} s after the begin of director {session.director}")
        _print_fields(report, "")


def _director_at(
    folder: Path, until_s: float | None, session_number: int, module: Callable[[], Director]
) -> tuple[Incarnation, Director]:
    """One session of a record, and its director as it was ``until_s`` seconds after the session began."""
    session, steps = select_incarnation(lambda: read(folder), session_number)
    until_us = END_OF_TIME_US if until_s is None else session.now + int(until_s * 1e6)
    return session, inspect.replay_director_until(session, steps, until_us, module)


def _print_fields(fields: dict[str, Any], indent: str) -> None:
    """Print a line for each field, nested ones indented; of the factors of a weight only those that bind."""
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
