"""Import of a folder of decision modules next to the installed package, for replays with another version."""

from __future__ import annotations

import builtins
import importlib
import importlib.util
import sys
from collections.abc import Callable, Sequence
from importlib.abc import MetaPathFinder
from importlib.machinery import ModuleSpec, SourceFileLoader
from pathlib import Path
from types import CodeType, ModuleType
from typing import Any

import rainpick

INSTALLED_PACKAGE = "rainpick.decisions"


class RainpickView(ModuleType):
    """Stands in for the package ``rainpick`` in the modules of a loaded folder.

    ``decisions`` is the package of the folder; all other attributes are those of the installed package.
    """

    def __init__(self, package: ModuleType):
        super().__init__("rainpick", rainpick.__doc__)
        self.decisions = package

    def __getattr__(self, name: str) -> Any:
        return getattr(rainpick, name)


class FolderLoader(SourceFileLoader):
    """Loads a module whose import statements are resolved by ``import_function``."""

    def __init__(self, name: str, path: Path, import_function: Callable[..., ModuleType]):
        super().__init__(name, str(path))
        self.import_function = import_function

    def get_code(self, fullname: str) -> CodeType:
        """Compile the source without the bytecode cache.

        The cache identifies a source by its size and modification second, so it may hold an earlier one.
        """
        path = self.get_filename(fullname)
        return self.source_to_code(self.get_data(path), path)

    def exec_module(self, module: ModuleType) -> None:
        """Execute the module. All its import statements, also those in functions, use ``import_function``."""
        vars(module)["__builtins__"] = vars(builtins) | {"__import__": self.import_function}
        super().exec_module(module)


class FolderPackage(MetaPathFinder):
    """Imports a folder of decision modules as a package under a private name, next to the installed package.

    Its modules import each other as ``rainpick.decisions.NAME`` or relatively. Both forms resolve to modules
    of the folder; a module that the folder lacks can't be imported, even if it is installed. Entries in
    ``sys.modules`` are only added under the private name, so the installed modules are not affected.
    """

    def __init__(self, name: str, folder: Path):
        self.name, self.folder = name, folder

    def load(self, module_name: str) -> ModuleType:
        """Import a module of the folder. If its code raises an exception, the caller must call ``unload``."""
        sys.meta_path.insert(0, self)  # remains: functions of the folder may import modules when called
        return importlib.import_module(f"{self.name}.{module_name}")

    def unload(self) -> None:
        """Remove the folder and its modules from the import system."""
        sys.meta_path.remove(self)
        for name in [name for name in sys.modules if f"{name}.".startswith(f"{self.name}.")]:
            del sys.modules[name]

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,  # noqa: ARG002 - the import system's signature
        target: ModuleType | None = None,  # noqa: ARG002 - the import system's signature
    ) -> ModuleSpec | None:
        """Return the spec of the folder or of a module in it; None for all other names."""
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
            fullname, file, loader=FolderLoader(fullname, file, self.import_module)
        )

    def package_spec(self, fullname: str, folder: Path) -> ModuleSpec:
        """Return the spec that imports a folder as a package, with or without an ``__init__.py``."""
        file = folder / "__init__.py"
        loader = FolderLoader(fullname, file, self.import_module) if file.is_file() else None
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
        """Replacement of ``builtins.__import__`` in the modules of the folder.

        ``rainpick.decisions`` and its modules are imported from the folder, all others as usual.
        """
        if level or name.partition(".")[0] != "rainpick":
            return builtins.__import__(name, globals, locals, fromlist or (), level)
        if name == INSTALLED_PACKAGE or name.startswith(f"{INSTALLED_PACKAGE}."):
            private_name = self.name + name.removeprefix(INSTALLED_PACKAGE)
            if fromlist:
                return builtins.__import__(private_name, globals, locals, fromlist, 0)
            importlib.import_module(private_name)
            return self.rainpick_view()
        other_names = [item for item in fromlist or () if (name, item) != ("rainpick", "decisions")]
        module = builtins.__import__(name, globals, locals, other_names, 0)
        return module if fromlist and name != "rainpick" else self.rainpick_view()

    def rainpick_view(self) -> ModuleType:
        """Return the module that import statements bind to the name ``rainpick``."""
        return RainpickView(importlib.import_module(self.name))
