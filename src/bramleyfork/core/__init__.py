"""Record types, blackboard, registries and base classes used everywhere."""
