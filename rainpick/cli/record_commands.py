"""``rainpick record``: list, verify, show, export and import the records of directors."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, BinaryIO

import click

from rainpick.cli.errors import FAILED, INVALID_USAGE, CommandError, report_errors
from rainpick.cli.options import EXISTING_FOLDER, FILE, FOLDER

if TYPE_CHECKING:
    from rainpick.store import Damage, Gap, Torn


@click.group("record")
def record() -> None:
    """Recorded days of directors."""


@record.command("ls")
@click.argument("folder", type=EXISTING_FOLDER)
@report_errors
def list_incarnations(folder: str) -> None:
    """The lives in a record: director, epoch, steps, seconds."""
    from rainpick.cli.record_output import print_incarnations

    print_incarnations(Path(folder))


@record.command("verify")
@click.argument("folder", type=EXISTING_FOLDER)
@report_errors
def verify(folder: str) -> None:
    """Check every block: 0 if all is whole, 1 with each damage, gap and torn end in a line."""
    from rainpick.store import Record, read

    intact = defects = 0
    for entry in read(Path(folder)):
        if isinstance(entry, Record):
            intact += 1
        else:
            defects += 1
            click.echo(_format_defect(entry))
    click.echo(f"{intact} records are whole, {defects} places are not")
    sys.exit(FAILED if defects else 0)


@record.command("show")
@click.argument("folders", nargs=-1, required=True, type=EXISTING_FOLDER)
@click.option(
    "--from", "begin_s", type=float, default=0.0, metavar="SECOND", help="Seconds from the first step."
)
@click.option("--until", "end_s", type=float, metavar="SECOND")
@click.option(
    "--reports-by-time", is_flag=True, help="Reports by when what they tell of began; both places are told."
)
@report_errors
def show(folders: tuple[str, ...], begin_s: float, end_s: float | None, reports_by_time: bool) -> None:
    """What was heard and ordered, a line each; several records are shown on one clock."""
    from rainpick.cli.record_output import print_reports_by_time, print_steps

    paths = [Path(folder) for folder in folders]
    if reports_by_time:
        print_reports_by_time(paths)
    else:
        print_steps(paths, begin_s, end_s)


@record.command("export")
@click.argument("folder", type=EXISTING_FOLDER)
@click.argument("file", type=click.File("wb"), default="-")
@report_errors
def export(folder: str, file: BinaryIO) -> None:
    """Write a record as lines of JSON."""
    from rainpick.record.exchange import export_lines
    from rainpick.store import read

    for line in export_lines(read(Path(folder))):
        file.write(line)


@record.command("import")
@click.argument("file", type=FILE)
@click.argument("folder", type=FOLDER)
@report_errors
def import_record(file: str, folder: str) -> None:
    """Make a record of an export, in a new folder."""
    from rainpick.record.exchange import ExchangeError, import_file

    try:
        count = import_file(Path(file), Path(folder))
    except ExchangeError as error:
        raise CommandError(str(error), INVALID_USAGE) from None
    click.echo(f"{count} records")


def _format_defect(defect: Damage | Torn | Gap) -> str:
    """Format a defect for ``record verify``. The field names are printed output and must not change."""
    from rainpick.store import Damage, Gap

    if isinstance(defect, Gap):
        return f"gap: first={defect.first} last={defect.last}"
    position = f"segment={defect.segment} at={defect.at} size={defect.size}"
    if isinstance(defect, Damage):
        return f"damage: {position} why={defect.why}"
    return f"torn: {position}"
