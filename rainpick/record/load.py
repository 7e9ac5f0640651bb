"""Other texts of the module, and other settings, for a replay."""

from __future__ import annotations

import importlib.util
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from rainpick.decisions.director import Director


class ModuleError(ValueError):
    """The file holds no director; the text says why."""


def module(path: Path) -> Callable[[], Director]:
    """``Director`` of another text of the module. It is run as it stands: play only texts that you trust."""
    spec = importlib.util.spec_from_file_location(f"rainpick_replayed_{abs(hash(str(path)))}", path)
    if spec is None or spec.loader is None:
        raise ModuleError(f"{path} is no Python file")
    found = importlib.util.module_from_spec(spec)
    try:
        spec.loader.exec_module(found)
    except Exception as flaw:  # whatever the text trips over is told to the one who named it
        raise ModuleError(f"{path}: {type(flaw).__name__}: {flaw}") from None
    if not callable(getattr(found, "Director", None)):
        raise ModuleError(f"{path} has no Director")
    return found.Director


def changes(words: list[str]) -> dict[str, Any]:
    """NAME=VALUE by the module's names; values are JSON, or else text. ``ValueError`` names what is wrong."""
    found = {}
    for word in words:
        name, equals, value = word.partition("=")
        if not equals or not name:
            raise ValueError(f"{word!r} is not NAME=VALUE")
        try:
            found[name] = json.loads(value)
        except ValueError:
            found[name] = value
    return found
