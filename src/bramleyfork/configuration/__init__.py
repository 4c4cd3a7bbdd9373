"""Checks of a daemon's settings and of the published declaration."""
