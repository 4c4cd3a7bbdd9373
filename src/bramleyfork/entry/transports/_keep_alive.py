"""Reads for how long a connection to a target may be reused."""

from bramleyfork.entry import http_headers

# Idle connections are closed this long before the target's keep-alive timeout:
# a request that is sent while the target closes the connection may have run.
_KEEP_ALIVE_MARGIN_S = 1.0
# Time for which a connection may be reused if the target states no timeout.
_KEEP_ALIVE_DEFAULT_S = 20.0
_KEEP_ALIVE_MAX_S = 600  # A longer stated timeout counts as this one.


def find_reuse_time(value: bytes | None) -> float:
    """Returns the seconds for which an idle connection may be reused.

    Args:
      value: Value of the field Keep-Alive; None without the field.
    """
    if value is None:
        return _KEEP_ALIVE_DEFAULT_S
    for field in value.split(b","):
        name, _, seconds = field.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            stated_s = min(_KEEP_ALIVE_MAX_S, http_headers.parse_count(seconds))
            return max(0.0, stated_s - _KEEP_ALIVE_MARGIN_S)
    return _KEEP_ALIVE_DEFAULT_S
