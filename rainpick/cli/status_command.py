"""``rainpick status``: print the state of a running director."""

from __future__ import annotations

import json

import click

from rainpick.cli.errors import report_errors
from rainpick.cli.options import DEFAULT_STATUS_ADDRESS
from rainpick.cli.status_front import fetch_status


@click.command("status")
@click.option(
    "--at",
    "address",
    default=DEFAULT_STATUS_ADDRESS,
    show_default=True,
    help="Where the director shows its state.",
)
@click.option("--json", "as_json", is_flag=True, help="The whole state as JSON.")
@report_errors
def status(address: str, as_json: bool) -> None:
    """Show what a director holds: servers, proxies, channel, reports."""
    from rainpick.cli.status_output import print_status

    state = fetch_status(address)
    if as_json:
        click.echo(json.dumps(state, indent=2))
    else:
        print_status(state)
