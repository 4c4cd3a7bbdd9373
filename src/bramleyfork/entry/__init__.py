"""The entry host: forwards callers' requests to targets on one event loop."""
