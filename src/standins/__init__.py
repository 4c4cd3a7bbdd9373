"""Programs that stand in for targets and the platform in tests."""
