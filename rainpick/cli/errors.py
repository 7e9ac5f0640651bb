"""Errors of commands: printed in one line each, without a traceback, with an exit code."""

from __future__ import annotations

import sys
from collections.abc import Callable
from functools import wraps
from typing import ParamSpec, TypeVar

import click

from rainpick.settings import SettingsError

FAILED = 1  # exit code: the command failed, or its verdict is bad
WRONG_CALL = 2  # exit code: the call or a file is wrong

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


class CommandError(Exception):
    """A command can't go on; the text says why, ``exit_code`` how the process ends."""

    def __init__(self, message: str, exit_code: int = FAILED):
        super().__init__(message)
        self.exit_code = exit_code


def report_errors(command: Callable[Parameters, Result]) -> Callable[Parameters, Result]:
    """Print the errors that a user can do something about, and end the process with their exit code."""

    @wraps(command)
    def run(*args: Parameters.args, **kwargs: Parameters.kwargs) -> Result:
        from rainpick.http1.client import ClientError

        try:
            return command(*args, **kwargs)
        except SettingsError as error:
            click.echo(str(error), err=True)
            sys.exit(WRONG_CALL)
        except CommandError as error:
            click.echo(f"rainpick: {error}", err=True)
            sys.exit(error.exit_code)
        except (OSError, ClientError) as error:
            click.echo(f"rainpick: {error}", err=True)
            sys.exit(FAILED)

    return run
