"""Conversions between bytes and records."""
