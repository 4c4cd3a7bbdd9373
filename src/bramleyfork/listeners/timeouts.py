"""Time limits of connections, by their state."""

import collections.abc

from bramleyfork.core import registries
from bramleyfork.listeners import limits as limits_module
from bramleyfork.listeners import server_connections

# Interval of the check for connections over a time limit.
CHECK_INTERVAL_S = 0.5
# Multiple of the idle limit after which an idle connection is closed. A request
# that a caller sends just before the limit then still arrives in time.
_IDLE_LIMIT_FACTOR = 1.2
# Time for which a refused client may still send, so that it gets the refusal.
_LINGER_S = 1.0
# Time without progress after which a response that isn't read is given up.
_UNREAD_S = 10.0


class TimeLimits:
    """Time limits of the connections of one listener, in seconds.

    Attributes:
      header_s: Maximum time for a head to arrive.
      body_s: Maximum time for a body to arrive.
      idle_s: Maximum time that a connection may be idle.
    """

    __slots__ = ("header_s", "body_s", "idle_s")

    def __init__(self, *, header_s: float, body_s: float, idle_s: float):
        self.header_s = header_s
        self.body_s = body_s
        self.idle_s = idle_s


def build_time_limits(limits: limits_module.CallerLimits) -> TimeLimits:
    """Returns the time limits of callers; a body has the idle time."""
    return TimeLimits(
        header_s=limits.header_s, body_s=limits.idle_s, idle_s=limits.idle_s
    )


# Checks by state. Each ends a connection that has been in its state for too
# long. In other states, the process has a request to answer.
CHECKS: registries.Registry[
    collections.abc.Callable[
        [server_connections.ServerConnection, TimeLimits, float], None
    ]
] = registries.Registry(kind="connection state")


def check_connections(
    connections: collections.abc.Iterable[server_connections.ServerConnection],
    limits: TimeLimits,
    now: float,
) -> None:
    """Ends the connections that exceed a time limit.

    Args:
      connections: Open connections; they may be removed during the call.
      limits: The limits.
      now: Monotonic time in seconds.
    """
    checks = dict(CHECKS.list_items())
    for connection in list(connections):
        check = checks.get(connection.state)
        if check is not None:
            check(connection, limits, now)


@CHECKS.register(server_connections.READING_HEAD)
def refuse_late_head(connection, limits: TimeLimits, now: float) -> None:
    """Refuses a request whose head takes too long."""
    if now - connection.state_changed_at > limits.header_s:
        connection.refuse(408)


@CHECKS.register(server_connections.READING_BODY)
def refuse_late_body(connection, limits: TimeLimits, now: float) -> None:
    """Refuses a request whose body takes too long."""
    if now - connection.state_changed_at > limits.body_s:
        connection.refuse(408)


@CHECKS.register(server_connections.IDLE)
def close_idle(connection, limits: TimeLimits, now: float) -> None:
    """Closes a connection that is idle for too long."""
    if now - connection.state_changed_at > limits.idle_s * _IDLE_LIMIT_FACTOR:
        connection.close()


@CHECKS.register(server_connections.LINGERING)
def close_refused(connection, limits: TimeLimits, now: float) -> None:
    """Closes a connection whose client was refused."""
    del limits
    if now - connection.state_changed_at > _LINGER_S:
        connection.close()


@CHECKS.register(server_connections.SENDING)
@CHECKS.register(server_connections.CLOSING)
def abort_unread(connection, limits: TimeLimits, now: float) -> None:
    """Ends a connection whose client doesn't read its responses."""
    del limits
    connection.abort_if_stuck(now, _UNREAD_S)
