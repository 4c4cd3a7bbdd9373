"""Transports of the entry host, between its network connections and records."""
