"""Loading and validation of JSON5 files. Errors state the file, the path, the value and what is allowed."""

from pathlib import Path
from typing import Any, TypeVar, overload

import json5
from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from rainpick.settings.model import Settings

Model = TypeVar("Model", bound=BaseModel)
MAX_FILE_BYTES = 4_000_000  # far above the size of a file written by hand
MAX_SHOWN_VALUE = 60  # characters of a value in an error message


class SettingsError(Exception):
    """A file is unreadable, malformed or invalid; the message has a line for each error."""


@overload
def load(path: str | Path) -> Settings: ...
@overload
def load(path: str | Path, model: type[Model]) -> Model: ...
def load(path: str | Path, model: type[BaseModel] = Settings) -> BaseModel:
    """Read a file and validate it by ``model``.

    ``SettingsError`` is raised if the file can't be read, is not JSON5 or is invalid; it names the file.
    """
    try:
        data = Path(path).read_bytes()
        if len(data) > MAX_FILE_BYTES:
            raise SettingsError(f"{path}: the file has {len(data)} bytes, the maximum is {MAX_FILE_BYTES}")
        return parse(data.decode(), str(path), model)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: the file is not UTF-8: {error.reason} at byte {error.start}") from None


@overload
def parse(text: str, where: str = ...) -> Settings: ...
@overload
def parse(text: str, where: str, model: type[Model]) -> Model: ...
def parse(text: str, where: str = "settings", model: type[BaseModel] = Settings) -> BaseModel:
    """Validate JSON5 text by ``model``. ``where`` names the source of the text in error messages.

    >>> parse('{routes: [{name: "a", slo_time: "1s", time_limit: 2}]}')
    Traceback (most recent call last):
    rainpick.settings.load.SettingsError: settings: routes.0.time_limit: 2: a duration is text with a unit, \
such as "1.5s"; units are us, ms, s, min, h
    """
    tree = _decode(text, where)
    try:
        return model.model_validate(tree)
    except ValidationError as error:
        lines = [_describe(details, where) for details in error.errors(include_url=False)]
        raise SettingsError("\n".join(lines)) from None


def json_schema() -> dict[str, Any]:
    """Return the JSON Schema of the settings."""
    return Settings.model_json_schema()


def _decode(text: str, where: str) -> dict[str, Any]:
    """Decode JSON5 text to an object."""
    try:
        tree = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        raise SettingsError(f"{where}: {error}") from None
    except RecursionError:
        raise SettingsError(f"{where}: the document is nested too deeply") from None
    if not isinstance(tree, dict):
        raise SettingsError(f"{where}: {_abbreviate(tree)}: an object {{...}} is expected")
    return tree


def _describe(error: ErrorDetails, where: str) -> str:
    """Format an error as a line, without a value if the key is missing or the error is in the whole file."""
    path = ".".join(map(str, error["loc"])) or "(as a whole)"
    message = error["msg"].removeprefix("Value error, ")
    if error["type"] == "extra_forbidden":
        message = "there is no such setting"
    has_value = error["type"] != "missing" and error["loc"]
    value = f" {_abbreviate(error['input'])}:" if has_value else ""
    return f"{where}: {path}:{value} {message}"


def _abbreviate(value: object) -> str:
    """Format a value for an error message, in at most ``MAX_SHOWN_VALUE`` characters."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_VALUE else text[: MAX_SHOWN_VALUE - 3] + "..."
