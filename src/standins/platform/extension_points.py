"""Registries of the platform stand-in."""

from standins import registries

CONTROLLERS = registries.Registry(kind="controller")
COMMANDS = registries.Registry(kind="control call")
OUTAGES = registries.Registry(kind="outage mode")
ROUTES = registries.Registry(kind="route")
EVERYONE = "*"
MANIFEST = "manifest"
MAX_VALUE_BYTES = 1_000_000  # Bytes of a value, from docs/protocols.md.

# Replies are sent last, so that they show the settled state.
STEP_ORDER = ("publication", "outages", "listing", "calls", "http")
