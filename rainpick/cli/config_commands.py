"""``rainpick config``: validation of settings files, and schemas."""

from __future__ import annotations

import json

import click

from rainpick.cli.errors import report_errors
from rainpick.cli.options import FILE
from rainpick.settings import json_schema, load


@click.group("config")
def config() -> None:
    """Settings: check a file, print the schema."""


@config.command("check")
@click.argument("file", type=FILE)
@report_errors
def check(file: str) -> None:
    """Say whether FILE is good; each fault in a line."""
    settings = load(file)
    if settings.fleet.list_file:
        from rainpick.director.listing import read_list

        read_list(settings.fleet.list_file, settings, 0)
    click.echo(f"{file}: good")


@config.command("schema")
def print_schema() -> None:
    """Print the JSON Schema of the settings."""
    click.echo(json.dumps(json_schema(), indent=2))


@config.command("payloads")
def print_payload_schema() -> None:
    """Print the JSON Schema of the publish-subscribe front's payloads."""
    from rainpick.publish.payloads import schema as payload_schema

    click.echo(json.dumps(payload_schema(), indent=2))
