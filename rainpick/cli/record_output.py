"""Prints the contents of records: incarnations, steps, and load reports by the start of their interval."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path

import click
from rich.table import Table

from rainpick.cli.terminal import print_rich
from rainpick.record.clock import merge_by_wall_clock, reports_by_time
from rainpick.record.incarnations import MissingSteps, read_incarnations
from rainpick.record.schema import describe
from rainpick.store import read


def print_incarnations(folder: Path) -> None:
    """Print a row for each incarnation in a record."""
    table = Table("director", "epoch", "module", "begun (UTC)", "seconds", "steps", "holes")
    for incarnation, steps in read_incarnations(read(folder)):
        step_count = gap_count = 0
        last_us = incarnation.now
        for step in steps:
            if isinstance(step, MissingSteps):
                gap_count += 1
            else:
                step_count += 1
                last_us = step.now
        begin = datetime.fromtimestamp(incarnation.wall_us / 1e6, UTC).isoformat(timespec="seconds")
        table.add_row(
            str(incarnation.director),
            incarnation.epoch,
            incarnation.module[:12],
            begin,
            f"{(last_us - incarnation.now) / 1e6:.1f}",
            str(step_count),
            str(gap_count),
        )
    print_rich(table)


def print_steps(folders: list[Path], begin_s: float, end_s: float | None) -> None:
    """Print the events and commands of all records by wall clock time.

    A line has the seconds since the first step, the director, the position of the step in its record, and the
    event or command. Steps before ``begin_s`` and after ``end_s`` are omitted.
    """
    first_us = None
    for timed_step in merge_by_wall_clock(folders):
        first_us = timed_step.wall_us if first_us is None else first_us
        second = (timed_step.wall_us - first_us) / 1e6
        if second < begin_s:
            continue
        if end_s is not None and second > end_s:
            break
        prefix = f"{second:10.3f} {timed_step.incarnation.director} {timed_step.position:>7}"
        if isinstance(timed_step.step, MissingSteps):
            click.echo(f"{prefix} hole     {timed_step.step.reason}")
            continue
        for event in timed_step.step.events:
            click.echo(f"{prefix} heard    {describe(event)}")
        for command in timed_step.step.commands:
            click.echo(f"{prefix} ordered  {describe(command)}")


def print_reports_by_time(folders: list[Path]) -> None:
    """Print load reports by the begin of their interval, with the positions by begin and by receipt."""
    for folder in folders:
        for incarnation, steps in read_incarnations(read(folder)):
            for position, received_position, report in reports_by_time(steps):
                second = (report.began_us - incarnation.now) / 1e6
                delay_s = (report.received_us - report.began_us) / 1e6
                click.echo(
                    f"{second:10.3f} {incarnation.director} {position:>7} heard as {received_position:>7}, "
                    f"{delay_s:.3f} s after its begin: {describe(report.event)}"
                )
