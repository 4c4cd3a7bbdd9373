"""Types and mechanics that every other package uses."""
