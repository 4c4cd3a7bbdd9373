"""A process that stands in for the platform's read-only services."""
