"""The root of the command line.

Exit codes: 0 success, 1 the command failed or its verdict is negative, 2 the arguments or a file are invalid.
"""

from __future__ import annotations

import click

from rainpick.cli.config_commands import config
from rainpick.cli.day_commands import audit, day
from rainpick.cli.record_commands import record
from rainpick.cli.replay_command import replay
from rainpick.cli.run_command import run
from rainpick.cli.sasp_commands import sasp
from rainpick.cli.status_command import status
from rainpick.cli.tables_commands import tables


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="rainpick")
def main() -> None:
    """A traffic director: it publishes weights to plain proxies, by what members and reports tell it."""


for command in (run, config, status, sasp, tables, day, audit, record, replay):
    main.add_command(command)
