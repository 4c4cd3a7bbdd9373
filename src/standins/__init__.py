"""Programs that stand in for targets and the platform in tests.

Both keep the shape of the product without importing it: a blackboard that
controllers read and write, slotted records, and registries that decorators
fill.
"""
