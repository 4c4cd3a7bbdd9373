"""Imports each module with commands, so that its decorators register them."""

import importlib
import pkgutil

from bramleyfork import commands


def load() -> list[str]:
    """Imports all modules of the package; returns their names."""
    names = [module.name for module in pkgutil.iter_modules(commands.__path__)]
    for name in names:
        importlib.import_module(f"{commands.__name__}.{name}")
    return names
