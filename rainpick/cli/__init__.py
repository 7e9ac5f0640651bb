"""The command line."""

from rainpick.cli.main import main

__all__ = ["main"]
