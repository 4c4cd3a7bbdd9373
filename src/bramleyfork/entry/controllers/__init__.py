"""Controllers of the entry host, each the writer of its own sections."""
