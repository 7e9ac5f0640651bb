"""Reading of JSON5 files. Each fault is reported with its file, path and value, and what is allowed there."""

from pathlib import Path
from typing import Any, TypeVar, overload

import json5
from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from rainpick.settings.model import Settings

Model = TypeVar("Model", bound=BaseModel)
MAX_FILE_BYTES = 4_000_000  # no file written by a person is larger
MAX_SHOWN_VALUE = 60  # characters of a value that an error quotes


class SettingsError(Exception):
    """The file cannot be used; the text has a line for each fault."""


@overload
def load(path: str | Path) -> Settings: ...
@overload
def load(path: str | Path, model: type[Model]) -> Model: ...
def load(path: str | Path, model: type[BaseModel] = Settings) -> BaseModel:
    """Read a file and check it against the schema of ``model``.

    ``SettingsError`` names the file and each fault, also if the file can't be read or is no JSON5.
    """
    try:
        data = Path(path).read_bytes()
        if len(data) > MAX_FILE_BYTES:
            raise SettingsError(f"{path}: {len(data)} bytes; at most {MAX_FILE_BYTES} are read")
        return parse(data.decode(), str(path), model)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not UTF-8: {error.reason} at byte {error.start}") from None


@overload
def parse(text: str, where: str = ...) -> Settings: ...
@overload
def parse(text: str, where: str, model: type[Model]) -> Model: ...
def parse(text: str, where: str = "settings", model: type[BaseModel] = Settings) -> BaseModel:
    """Check JSON5 text against the schema of ``model``. ``where`` names the text in errors.

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
    """The JSON Schema of the settings."""
    return Settings.model_json_schema()


def _decode(text: str, where: str) -> dict[str, Any]:
    """The object that the JSON5 text holds."""
    try:
        tree = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        raise SettingsError(f"{where}: {error}") from None
    except RecursionError:
        raise SettingsError(f"{where}: nested too deeply") from None
    if not isinstance(tree, dict):
        raise SettingsError(f"{where}: {_abbreviate(tree)}: a {{...}} of settings is wanted")
    return tree


def _describe(error: ErrorDetails, where: str) -> str:
    """One line for one fault. The value is left out where there is none, or where it is the whole file."""
    path = ".".join(map(str, error["loc"])) or "(as a whole)"
    message = error["msg"].removeprefix("Value error, ")
    if error["type"] == "extra_forbidden":
        message = "there is no such setting"
    has_value = error["type"] != "missing" and error["loc"]
    value = f" {_abbreviate(error['input'])}:" if has_value else ""
    return f"{where}: {path}:{value} {message}"


def _abbreviate(value: object) -> str:
    """The value as an error quotes it."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_VALUE else text[: MAX_SHOWN_VALUE - 3] + "..."
