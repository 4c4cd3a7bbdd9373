"""Registries and constants of the platform stand-in."""

from standins import registries

CONTROLLERS = registries.Registry(kind="controller")
COMMANDS = registries.Registry(kind="control call")
OUTAGES = registries.Registry(kind="outage mode")
ROUTES = registries.Registry(kind="route")
EVERYONE = "*"  # Key of the outage mode of all other sources.
MANIFEST = "manifest"
MAX_VALUE_BYTES = 1_000_000  # Bytes of a value, from docs/protocols.md.

# Controllers by decreasing priority. "http" is the last, so that replies show
# the state after all other steps.
STEP_ORDER = ("publication", "outages", "listing", "calls", "http")
