"""Network input and output of the daemon.

Transports move records between the blackboard and the network; the decisions
are made by the controllers.
"""
