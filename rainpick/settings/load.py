"""Read JSON5 and say exactly what is wrong with it: file, path, value, what is allowed."""

from pathlib import Path
from typing import Any, TypeVar

import json5
from pydantic import BaseModel, ValidationError

from rainpick.settings.model import Settings

Model = TypeVar("Model", bound=BaseModel)
LARGEST = 4_000_000  # bytes; a larger file is not one that a person wrote


class SettingsError(Exception):
    """The file cannot be used; the text has a line for each fault."""


def shown(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def parse(text: str, where: str = "settings", model: type[Model] = Settings) -> Model:
    """Check JSON5 text against a schema.

    >>> parse('{routes: [{name: "a", slo_time: "1s", time_limit: 2}]}')
    Traceback (most recent call last):
    rainpick.settings.load.SettingsError: settings: routes.0.time_limit: 2: a duration is text with a unit, \
such as "1.5s"; units are us, ms, s, min, h
    """
    try:
        raw = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as flaw:
        raise SettingsError(f"{where}: {flaw}") from None
    except RecursionError:
        raise SettingsError(f"{where}: nested too deeply") from None
    if not isinstance(raw, dict):
        raise SettingsError(f"{where}: {shown(raw)}: a {{...}} of settings is wanted")
    try:
        return model.model_validate(raw)
    except ValidationError as flaws:
        lines = []
        for flaw in flaws.errors(include_url=False):
            path = ".".join(map(str, flaw["loc"])) or "(as a whole)"
            said = flaw["msg"].removeprefix("Value error, ")
            value = "" if flaw["type"] == "missing" or not flaw["loc"] else f" {shown(flaw['input'])}:"
            if flaw["type"] == "extra_forbidden":
                said = "there is no such setting"
            lines.append(f"{where}: {path}:{value} {said}")
        raise SettingsError("\n".join(lines)) from None


def load(path: str | Path, model: type[Model] = Settings) -> Model:
    """Read a file of settings; ``SettingsError`` names the file and each fault."""
    try:
        data = Path(path).read_bytes()
        if len(data) > LARGEST:
            raise SettingsError(f"{path}: {len(data)} bytes; at most {LARGEST} are read")
        return parse(data.decode(), str(path), model)
    except OSError as flaw:
        raise SettingsError(f"{path}: {flaw.strerror}") from None
    except UnicodeDecodeError as flaw:
        raise SettingsError(f"{path}: not UTF-8: {flaw.reason} at byte {flaw.start}") from None


def schema() -> dict[str, Any]:
    """The JSON Schema of the settings."""
    return Settings.model_json_schema()
