"""Stand-ins for the programs around an entry host: store and replicas.

They speak the platform's published protocol and run on the event loop of a
test or of the bench.
"""
