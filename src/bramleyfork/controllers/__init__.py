"""Controllers: each reads sections of the blackboard and writes its own."""
