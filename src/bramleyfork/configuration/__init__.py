"""Checked settings of a daemon and the declaration operators publish."""
