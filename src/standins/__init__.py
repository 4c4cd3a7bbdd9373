"""Programs that stand in for targets and the platform in tests.

Both have the product's structure but don't import it: a blackboard that
controllers read and write, slotted records, and registries that decorators
fill.
"""
