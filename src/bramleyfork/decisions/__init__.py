"""Decision logic over records, without I/O; callers pass the current time."""
