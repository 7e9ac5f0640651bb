"""``rainpick sasp``: query a director as a load balancer does by SASP."""

from __future__ import annotations

import click

from rainpick.cli.errors import report_errors
from rainpick.cli.options import DEFAULT_SASP_ADDRESS, parse_address


@click.group("sasp")
def sasp() -> None:
    """Speak SASP to a director."""


@sasp.command("weights")
@click.option(
    "--at", "address", default=DEFAULT_SASP_ADDRESS, show_default=True, help="Where the director speaks SASP."
)
@click.option("--uid", default="rainpick-cli", show_default=True, help="LB UID; it counts as a proxy.")
@click.option("--group", default="servers", show_default=True, help="Group name.")
@click.option("--follow", is_flag=True, help="Go on: print each change that is pushed.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a message.")
@report_errors
def weights(address: str, uid: str, group: str, follow: bool, as_json: bool) -> None:
    """Print the advice that a load balancer is given."""
    from rainpick.cli.weights_output import print_weights

    print_weights(parse_address(address), uid, group, follow, as_json)
