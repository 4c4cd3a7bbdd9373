"""Imports each controller module, so that its decorator registers it."""

import importlib
import pkgutil

from bramleyfork import controllers


def load() -> list[str]:
    """Imports all public modules of the package; returns their names."""
    names = [
        module.name
        for module in pkgutil.iter_modules(controllers.__path__)
        if not module.name.startswith("_") and module.name != "catalogue"
    ]
    for name in names:
        importlib.import_module(f"{controllers.__name__}.{name}")
    return names
