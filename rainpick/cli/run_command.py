"""``rainpick run``: run a director in this process."""

from __future__ import annotations

import sys

import click

from rainpick.cli.errors import report_errors
from rainpick.cli.options import FILE
from rainpick.settings import load


@click.command("run")
@click.option("--config", "path", required=True, type=FILE, help="Settings, JSON5.")
@report_errors
def run(path: str) -> None:
    """Serve as one director until SIGTERM. SIGHUP reads the list file again."""
    from rainpick.cli.log_setup import configure_log
    from rainpick.director.daemon import Daemon

    settings = load(path)
    configure_log(settings.log.level, settings.log.format)
    daemon = Daemon(settings)
    daemon.start()
    sys.exit(daemon.run())
