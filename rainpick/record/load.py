"""Other texts of the decisions, and other settings, for a replay."""

from __future__ import annotations

import builtins
import importlib
import importlib.util
import itertools
import json
import sys
from collections.abc import Callable, Sequence
from importlib.abc import MetaPathFinder
from importlib.machinery import ModuleSpec, SourceFileLoader
from pathlib import Path
from types import CodeType, ModuleType
from typing import Any

import rainpick
from rainpick.decisions.director import Director

INSTALLED = "rainpick.decisions"
_numbers = itertools.count(1)  # every load gets a name of its own: a text may be edited and loaded again


class ModuleError(ValueError):
    """The file or folder holds no director; the text says why."""


class _RainpickView(ModuleType):
    """The package ``rainpick`` as modules of a loaded folder see it: its ``decisions`` are the folder's."""

    def __init__(self, package: ModuleType):
        super().__init__("rainpick", rainpick.__doc__)
        self.decisions = package

    def __getattr__(self, name: str) -> Any:
        return getattr(rainpick, name)


class _Loader(SourceFileLoader):
    """Loads a module whose import statements are resolved by ``import_function``."""

    def __init__(self, name: str, path: Path, import_function: Callable[..., ModuleType]):
        super().__init__(name, str(path))
        self.import_function = import_function

    def get_code(self, fullname: str) -> CodeType:
        """Compile the text itself: a cached file may stem from a text of the same size and second."""
        path = self.get_filename(fullname)
        return self.source_to_code(self.get_data(path), path)

    def exec_module(self, module: ModuleType) -> None:
        """Run the module with its own ``__import__``; import statements within functions use it, too."""
        vars(module)["__builtins__"] = vars(builtins) | {"__import__": self.import_function}
        super().exec_module(module)


class _FolderPackage(MetaPathFinder):
    """A folder of decision modules as a package under a private name, beside the installed package.

    Its modules import each other as ``rainpick.decisions.NAME`` or relatively. Both give the folder's own
    modules, also where the folder lacks one that is installed. ``sys.modules`` gets entries under the
    private name alone, so the installed decisions stay as they are.
    """

    def __init__(self, name: str, folder: Path):
        self.name, self.folder = name, folder

    def load_director(self) -> Callable[[], Director]:
        """``Director`` of the folder; whatever its text raises passes through, and leaves nothing behind."""
        sys.meta_path.insert(0, self)  # it stays there: functions may import when they are called
        try:
            return _director_of(importlib.import_module(f"{self.name}.director"), self.folder)
        except BaseException:
            sys.meta_path.remove(self)
            for name in [name for name in sys.modules if f"{name}.".startswith(f"{self.name}.")]:
                del sys.modules[name]
            raise

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,  # noqa: ARG002 - the import system's signature
        target: ModuleType | None = None,  # noqa: ARG002 - the import system's signature
    ) -> ModuleSpec | None:
        """The folder itself and the modules in it; None for every other name."""
        if fullname == self.name:
            return self.package_spec(fullname, self.folder)
        if not fullname.startswith(f"{self.name}."):
            return None
        location = self.folder.joinpath(*fullname.removeprefix(f"{self.name}.").split("."))
        if location.is_dir():
            return self.package_spec(fullname, location)
        file = location.with_name(f"{location.name}.py")
        if not file.is_file():
            return None
        return importlib.util.spec_from_file_location(
            fullname, file, loader=_Loader(fullname, file, self.import_module)
        )

    def package_spec(self, fullname: str, folder: Path) -> ModuleSpec:
        """A folder need not have an ``__init__.py``."""
        file = folder / "__init__.py"
        loader = _Loader(fullname, file, self.import_module) if file.is_file() else None
        spec = ModuleSpec(fullname, loader, origin=str(file), is_package=True)
        spec.submodule_search_locations = [str(folder)]
        return spec

    def import_module(
        self,
        name: str,
        globals: dict[str, Any] | None = None,
        locals: dict[str, Any] | None = None,
        fromlist: Sequence[str] | None = (),
        level: int = 0,
    ) -> ModuleType:
        """What an import statement of the folder's modules calls; see ``builtins.__import__``."""
        if level or name.partition(".")[0] != "rainpick":
            return builtins.__import__(name, globals, locals, fromlist or (), level)
        if name == INSTALLED or name.startswith(f"{INSTALLED}."):
            private_name = self.name + name.removeprefix(INSTALLED)
            if fromlist:
                return builtins.__import__(private_name, globals, locals, fromlist, 0)
            importlib.import_module(private_name)
            return self.rainpick_view()
        others = [each for each in fromlist or () if (name, each) != ("rainpick", "decisions")]
        module = builtins.__import__(name, globals, locals, others, 0)
        return module if fromlist and name != "rainpick" else self.rainpick_view()

    def rainpick_view(self) -> ModuleType:
        """The module that is bound to the name ``rainpick``."""
        return _RainpickView(importlib.import_module(self.name))


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
    return _FolderPackage(name, folder.resolve()).load_director()


def module(path: Path) -> Callable[[], Director]:
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
