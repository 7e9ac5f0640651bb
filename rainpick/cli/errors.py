"""Errors of commands, which are printed as one line without a traceback, and exit codes."""

from __future__ import annotations

import sys
from collections.abc import Callable
from functools import wraps
from typing import ParamSpec, TypeVar

import click

from rainpick.settings import SettingsError

FAILED = 1  # exit code: the command failed, or its verdict is negative
INVALID_USAGE = 2  # exit code: the arguments or a file are invalid

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


class CommandError(Exception):
    """A command can't continue. The message states the reason; ``exit_code`` is that of the process."""

    def __init__(self, message: str, exit_code: int = FAILED):
        super().__init__(message)
        self.exit_code = exit_code


def report_errors(command: Callable[Parameters, Result]) -> Callable[Parameters, Result]:
    """Decorate a command to print expected errors and exit with their exit code."""

    @wraps(command)
    def run(*args: Parameters.args, **kwargs: Parameters.kwargs) -> Result:
        from rainpick.http1.client import ClientError

        try:
            return command(*args, **kwargs)
        except SettingsError as error:
            click.echo(str(error), err=True)
            sys.exit(INVALID_USAGE)
        except CommandError as error:
            click.echo(f"rainpick: {error}", err=True)
            sys.exit(error.exit_code)
        except (OSError, ClientError) as error:
            click.echo(f"rainpick: {error}", err=True)
            sys.exit(FAILED)

    return run
