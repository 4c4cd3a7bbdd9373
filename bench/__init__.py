"""Measurements and the demonstration; each runs with one command."""
