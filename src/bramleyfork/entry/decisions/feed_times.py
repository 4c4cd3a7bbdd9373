"""Decides how long reads of the feed wait and how soon the next one is made."""

# Time after which a watch of the store returns without changes. A broken
# connection is noticed only then, so it is short compared with the time in
# which a change has to be in force.
_STORE_WATCH_WAIT_S = 2.0
# Delay between changes and the next read. Changes come in groups, and each read
# has a cost for the source. A watcher of a large fleet reads less often, as the
# targets of such a fleet change all the time; reads of hosts cost little.
_BATCH_DELAY_S = 0.25
_WATCHER_BATCH_DELAY_S = 0.75
_PEER_BATCH_DELAY_S = 0.05
# Time after a listing or a failure for which a watcher uses the short delay:
# targets are being listed then, and callers wait for them.
_SETTLING_S = 4.0
# Time beyond the wait of a watch after which a read of the store has failed.
_STORE_READ_MARGIN_S = 1.0
# The same for a read of another host. It is short enough to try two
# unresponsive hosts in turn before a change has to be in force.
_PEER_READ_MARGIN_S = 0.5
# Bounds of the time limit for reads of a store that has failed. The reads don't
# wait for changes, and the limit doubles with each failure. It is short, as the
# host reads from no other source meanwhile.
_PROBE_MIN_S = 0.5
_PROBE_MAX_S = 2.0
# Time after which a watch of another host returns without changes. Such a watch
# costs nothing, and a short one soon shows that the host is unresponsive.
_PEER_WATCH_WAIT_S = 1.0
# Bounds of the exponential backoff while no source answers.
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 1.0
# The upper bound for a host that has not listed the feed and so can't serve.
FIRST_BACKOFF_MAX_S = 0.25


def compute_watch_times(
    *, is_store: bool, store_failures: int, is_current: bool
) -> tuple[float, float]:
    """Returns the wait of a watch and its time limit, both in seconds.

    Args:
      is_store: Whether the store is read, not another host.
      store_failures: Consecutive failures of reads of the store.
      is_current: Whether a watch has succeeded since the last listing.
    """
    wait_s, margin_s = _PEER_WATCH_WAIT_S, _PEER_READ_MARGIN_S
    if is_store:
        wait_s, margin_s = _STORE_WATCH_WAIT_S, _STORE_READ_MARGIN_S
    if is_store and store_failures:
        wait_s = 0.0
        margin_s = min(_PROBE_MAX_S, _PROBE_MIN_S * 2 ** (store_failures - 1))
    if not is_current:
        wait_s = 0.0
    return wait_s, wait_s + margin_s


def compute_batch_delay(
    *, is_store: bool, settled_s: float, reads_for_others: bool
) -> float:
    """Returns the delay between changes and the next read, in seconds.

    Args:
      is_store: Whether the store is read, not another host.
      settled_s: Seconds since the last listing or failure.
      reads_for_others: Whether other hosts read what this one reads.
    """
    if not is_store:
        return _PEER_BATCH_DELAY_S
    if settled_s > _SETTLING_S and reads_for_others:
        return _WATCHER_BATCH_DELAY_S
    return _BATCH_DELAY_S


def compute_listing_pause(in_row: int) -> float:
    """Returns the pause before a listing, in seconds, without its jitter.

    The first one is made at once. Those that follow without a successful watch
    between them have growing pauses, as each costs the source a whole listing.

    Args:
      in_row: Number of listings since the last successful watch, this one
        included.
    """
    if in_row < 2:
        return 0.0
    return min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** (in_row - 2))
