"""A query tier between callers and back ends split over many shards."""
