"""Benchmarks, the soak and the demonstration; each is one command."""
