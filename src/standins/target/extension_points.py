"""Registries of the target stand-in."""

from standins import registries

CONTROLLERS = registries.Registry(kind="controller")
COMMANDS = registries.Registry(kind="control call")
ROUTES = registries.Registry(kind="route")
REPLY_FAULTS = registries.Registry(kind="reply fault")

# Controllers by decreasing priority. "warmth" precedes "slots", so that the
# limits of a cold target are checked before an arrival is admitted. "http" is
# the last, so that replies show the state after all other steps.
STEP_ORDER = ("setup", "warmth", "lifecycle", "slots", "journal", "http")
