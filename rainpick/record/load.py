"""Loading of other versions of the decision modules, and parsing of changed settings, for a replay."""

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

_load_numbers = itertools.count(1)  # for unique module names: an edited file may be loaded again


class ModuleError(ValueError):
    """The file or folder does not provide a director; the message states the reason."""


def _director_class(module: ModuleType, path: Path) -> Callable[[], Director]:
    if not callable(getattr(module, "Director", None)):
        raise ModuleError(f"{path} has no Director")
    director: Callable[[], Director] = module.Director
    return director


def _load_file(name: str, path: Path) -> Callable[[], Director]:
    spec = importlib.util.spec_from_file_location(name, path)
    if spec is None or spec.loader is None:
        raise ModuleError(f"{path} is not a Python file")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return _director_class(module, path)


def _load_folder(name: str, folder: Path) -> Callable[[], Director]:
    if not (folder / "director.py").is_file():
        raise ModuleError(f"{folder} has no director.py")
    package = FolderPackage(name, folder.resolve())
    try:
        return _director_class(package.load("director"), folder)
    except BaseException:
        package.unload()
        raise


def load_decisions(path: Path) -> Callable[[], Director]:
    """Load ``Director`` from another version of the decision modules. Its code is run and must be trusted.

    ``path`` is a file that defines ``Director`` and imports the installed modules, or a folder of decision
    modules that import each other, including ``director.py``. ``ModuleError`` if it provides no director.
    """
    name = f"_rainpick_replayed_{next(_load_numbers)}"
    try:
        return _load_folder(name, path) if path.is_dir() else _load_file(name, path)
    except ModuleError:
        raise
    except Exception as error:  # noqa: BLE001 - loaded code may raise anything; the error is shown to its author
        raise ModuleError(f"{path}: {type(error).__name__}: {error}") from None


def parse_setting_overrides(arguments: list[str]) -> dict[str, Any]:
    """Parse decision settings from NAME=VALUE arguments. A value that is not valid JSON is a string.

    ``ValueError`` states the malformed argument.

    >>> parse_setting_overrides(["rules.warm_after_us=20000000", "proxies.admit=ratio"])
    {'rules.warm_after_us': 20000000, 'proxies.admit': 'ratio'}
    """
    overrides: dict[str, Any] = {}
    for argument in arguments:
        name, equals, value = argument.partition("=")
        if not equals or not name:
            raise ValueError(f"{argument!r} is not NAME=VALUE")
        try:
            overrides[name] = json.loads(value)
        except ValueError:
            overrides[name] = value
    return overrides
