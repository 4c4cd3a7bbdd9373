"""Pure functions over records and a passed time; no I/O and no state."""
