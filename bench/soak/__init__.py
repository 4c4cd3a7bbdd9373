"""Randomized soak test of entry hosts with injected faults.

Each host is a process. The stand-ins of store, replicas and callers run in the
test's process; hosts reach store and replicas through loopback proxies. After
the run, checks compare the callers' answers with the replicas' logs.
"""
