"""Controllers: each reads blackboard sections and writes the ones it owns."""
