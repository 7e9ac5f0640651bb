"""``rainpick tables``: show, compare and pin versions of the tables that are published to proxies."""

from __future__ import annotations

import json

import click

from rainpick.cli.errors import report_errors
from rainpick.cli.options import DEFAULT_STATUS_ADDRESS, as_json_option
from rainpick.cli.status_front import (
    TableVersion,
    change_table,
    fetch_table_version,
    fetch_tables,
)

address_option = click.option(
    "--at", "address", default=DEFAULT_STATUS_ADDRESS, show_default=True, help="The director's status front."
)
who_option = click.option("--who", required=True, help="Who does it; it is logged.")
why_option = click.option("--why", required=True, help="Why; it is logged.")
table_argument = click.argument("table", type=int)


@click.group("tables")
def tables() -> None:
    """The tables that proxies follow: versions, differences, pins."""


@tables.command("list")
@address_option
@as_json_option
@report_errors
def list_tables(address: str, as_json: bool) -> None:
    """Each table's newest version, its proxies, what is kept, who pinned it."""
    from rainpick.cli.tables_output import print_tables

    summaries = fetch_tables(address)
    if as_json:
        click.echo(json.dumps(summaries))
    else:
        print_tables(summaries)


@tables.command("show")
@table_argument
@click.option("--version", type=int, help="The newest if not given.")
@address_option
@as_json_option
@report_errors
def show(table: int, version: int | None, address: str, as_json: bool) -> None:
    """The lines of a version."""
    content = fetch_table_version(address, table, version)
    if as_json:
        click.echo(json.dumps(content))
    else:
        _print_lines(content)


@tables.command("diff")
@table_argument
@click.argument("first", type=int)
@click.argument("second", type=int)
@address_option
@report_errors
def diff(table: int, first: int, second: int, address: str) -> None:
    """What differs between two versions."""
    old = fetch_table_version(address, table, first)["lines"]
    new = fetch_table_version(address, table, second)["lines"]
    for server in sorted(old.keys() | new.keys()):
        if old.get(server) != new.get(server):
            click.echo(f"{server:<24} {old.get(server, '-')!s:>6} -> {new.get(server, '-')!s}")


@tables.command("rollback")
@table_argument
@click.option("--to", "version", type=int, help="The version before the newest if not given.")
@who_option
@why_option
@address_option
@report_errors
def rollback(table: int, version: int | None, who: str, why: str, address: str) -> None:
    """Publish an earlier version's content as a new version, less what drained or went, until `release`."""
    _change(address, "rollback", {"table": table, "version": version, "who": who, "why": why})


@tables.command("pin")
@table_argument
@who_option
@why_option
@address_option
@report_errors
def pin(table: int, who: str, why: str, address: str) -> None:
    """Keep the newest version's content as it is, until `release`; withdrawals still go out."""
    _change(address, "pin", {"table": table, "who": who, "why": why})


@tables.command("release")
@table_argument
@who_option
@why_option
@address_option
@report_errors
def release(table: int, who: str, why: str, address: str) -> None:
    """Publish the ordinary table again."""
    _change(address, "release", {"table": table, "who": who, "why": why})


def _print_lines(content: TableVersion) -> None:
    """Print a version: a header, then a line for each server."""
    click.echo(f"table {content['table']}, version {content['version']}, digest {content['digest']}")
    for server, weight in content["lines"].items():
        click.echo(f"{server:<24} {weight:>6}{'' if weight else '  shut out'}")


def _change(address: str, action: str, fields: dict[str, int | str | None]) -> None:
    """Change a table and print its state after the change."""
    summary = change_table(address, action, fields)
    pinned = summary["pinned"]
    state = f"pinned to the content of {pinned['version']}" if pinned else "not pinned"
    click.echo(
        f"table {summary['table']}: version {summary['version']}, {summary['open']} open lines, {state}"
    )
