"""Other texts of the decisions, and other settings, for a replay."""

from __future__ import annotations

import importlib.util
import itertools
import json
from collections.abc import Callable
from pathlib import Path
from types import ModuleType
from typing import Any

from rainpick.decisions.director import Director
from rainpick.record.folder_package import FolderPackage

_numbers = itertools.count(1)  # every load gets a name of its own: a text may be edited and loaded again


class ModuleError(ValueError):
    """The file or folder holds no director; the text says why."""


def _director_of(module: ModuleType, path: Path) -> Callable[[], Director]:
    if not callable(getattr(module, "Director", None)):
        raise ModuleError(f"{path} has no Director")
    director: Callable[[], Director] = module.Director
    return director


def _load_file(name: str, path: Path) -> Callable[[], Director]:
    spec = importlib.util.spec_from_file_location(name, path)
    if spec is None or spec.loader is None:
        raise ModuleError(f"{path} is no Python file")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return _director_of(module, path)


def _load_folder(name: str, folder: Path) -> Callable[[], Director]:
    if not (folder / "director.py").is_file():
        raise ModuleError(f"{folder} has no director.py")
    package = FolderPackage(name, folder.resolve())
    try:
        return _director_of(package.load("director"), folder)
    except BaseException:
        package.unload()
        raise


def load_decisions(path: Path) -> Callable[[], Director]:
    """``Director`` of another text of the decisions. It is run as it stands: play only texts that you trust.

    ``path``: a file that defines ``Director`` and imports the installed modules, or a folder of decision
    modules with ``director.py`` among them, which import each other. ``ModuleError`` if there is none.
    """
    name = f"_rainpick_replayed_{next(_numbers)}"
    try:
        return _load_folder(name, path) if path.is_dir() else _load_file(name, path)
    except ModuleError:
        raise
    except Exception as error:  # noqa: BLE001 - the text may raise anything; its author is to read it
        raise ModuleError(f"{path}: {type(error).__name__}: {error}") from None


def parse_changes(arguments: list[str]) -> dict[str, Any]:
    """Settings from NAME=VALUE, by the decisions' names; a value is JSON, or else text.

    ``ValueError`` names the argument that is wrong.

    >>> parse_changes(["rules.warm_after_us=20000000", "proxies.admit=ratio"])
    {'rules.warm_after_us': 20000000, 'proxies.admit': 'ratio'}
    """
    changes: dict[str, Any] = {}
    for argument in arguments:
        name, equals, value = argument.partition("=")
        if not equals or not name:
            raise ValueError(f"{argument!r} is not NAME=VALUE")
        try:
            changes[name] = json.loads(value)
        except ValueError:
            changes[name] = value
    return changes
