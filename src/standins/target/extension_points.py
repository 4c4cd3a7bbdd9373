"""Registries of the target stand-in."""

from standins import registries

CONTROLLERS = registries.Registry(kind="controller")
COMMANDS = registries.Registry(kind="control call")
ROUTES = registries.Registry(kind="route")
REPLY_FAULTS = registries.Registry(kind="reply fault")

# The first controller that has something to do is stepped next. The cold
# limits are checked before an arrival is admitted, and replies are sent last
# so that they show the settled state.
STEP_ORDER = ("setup", "warmth", "lifecycle", "slots", "journal", "http")
