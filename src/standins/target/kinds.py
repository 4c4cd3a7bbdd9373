"""Registries of the target stand-in."""

from standins import registries

CONTROLLERS = registries.Registry(kind="controller")
COMMANDS = registries.Registry(kind="control call")
ROUTES = registries.Registry(kind="route")
REPLY_FAULTS = registries.Registry(kind="reply fault")
