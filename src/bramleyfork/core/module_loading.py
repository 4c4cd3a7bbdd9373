"""Imports all modules of a package so that their decorators register."""

import importlib
import pkgutil
import types


def import_modules(package: types.ModuleType) -> list[str]:
    """Imports the public modules of a package.

    Modules whose names begin with an underscore are skipped.

    Returns:
      The imported modules' names, relative to the package.
    """
    names = [
        module.name
        for module in pkgutil.iter_modules(package.__path__)
        if not module.name.startswith("_")
    ]
    for name in names:
        importlib.import_module(f"{package.__name__}.{name}")
    return names
