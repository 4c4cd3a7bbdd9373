"""Pages of a listing of the feed that is being read."""

from bramleyfork.entry import feeds


class Listing:
    """Pages of a listing of the feed that is being read.

    Pages are read at different revisions, and a stale one may be older than
    those before it. The watch starts at the oldest revision, so that it returns
    all changes made between the pages.

    Attributes:
      after_key: Key after which the next page begins; empty for the first.
      changes: Entries of the pages so far.
      position: Position of the oldest page.
      is_mixed: Whether the pages are of different eras.
    """

    __slots__ = ("after_key", "changes", "position", "is_mixed", "_has_pages")

    def __init__(self):
        self.after_key = ""
        self.changes: list[feeds.Change] = []
        self.position: feeds.Position = (0, 0)
        self.is_mixed = False
        self._has_pages = False

    def add(self, result: feeds.FeedResult) -> bool:
        """Adds a page; returns whether it is the last one."""
        position = (result.era, result.revision)
        if self._has_pages:
            self.is_mixed = self.is_mixed or self.position[0] != result.era
            position = min(self.position, position)
        self._has_pages = True
        self.position = position
        self.changes.extend(result.changes)
        self.after_key = result.next_key or ""
        return result.next_key is None
