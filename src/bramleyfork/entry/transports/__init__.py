"""Transports of the entry host: they exchange bytes for records."""
