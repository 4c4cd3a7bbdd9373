"""Imports whole packages, so that their decorators fill registries."""

import importlib
import pkgutil
import types


def import_modules(package: types.ModuleType) -> list[str]:
    """Imports the public modules of a package; returns their names."""
    names = [
        module.name
        for module in pkgutil.iter_modules(package.__path__)
        if not module.name.startswith("_")
    ]
    for name in names:
        importlib.import_module(f"{package.__name__}.{name}")
    return names
