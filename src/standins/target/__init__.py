"""A process that stands in for many targets, each on its own address."""
