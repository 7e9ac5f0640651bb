"""Argument types, options and defaults that several commands share."""

from __future__ import annotations

import click

FILE = click.Path(dir_okay=False)
FOLDER = click.Path(file_okay=False)
EXISTING_FOLDER = click.Path(file_okay=False, exists=True)

# The default listen addresses of a director's frontends in the settings.
DEFAULT_STATUS_ADDRESS = "127.0.0.1:8780"
DEFAULT_SASP_ADDRESS = "127.0.0.1:3860"

as_json_option = click.option("--json", "as_json", is_flag=True, help="As JSON.")


def parse_address(text: str) -> tuple[str, int]:
    """Parse ``HOST:PORT``; ``click.BadParameter`` if the text is malformed."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit():
        raise click.BadParameter(f"{text!r} is not HOST:PORT")
    return host, int(port)
