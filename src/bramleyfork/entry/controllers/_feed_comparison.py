"""Compares the route table of a store that came back with another host's."""

# Time after the first listing in which a host is looked for. Members are known
# a moment after the start.
_SEARCH_S = 3.0


class Comparison:
    """A listing of another host, after the first one of a starting host.

    A host that starts after the store has come back from an older copy may list
    an older route table than the others use.

    Attributes:
      is_active: Whether the pending read is a page of that listing.
    """

    __slots__ = ("is_active", "_until")

    def __init__(self):
        self.is_active = False
        self._until = 0.0

    def start(self, now: float) -> None:
        """Begins to look for a host.

        Args:
          now: Monotonic time in seconds.
        """
        self._until = now + _SEARCH_S

    def stop(self) -> None:
        """Ends the comparison."""
        self.is_active = False
        self._until = 0.0

    def choose_host(self, host: str | None, now: float) -> str | None:
        """Returns the host to list next; None for none.

        Args:
          host: A host that serves the feed; None if none is known.
          now: Monotonic time in seconds.
        """
        self.is_active = host is not None and now < self._until
        return host if self.is_active else None
