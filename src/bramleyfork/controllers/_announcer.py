"""Offers of the configuration in force to other hosts."""

import math

from bramleyfork.controllers import _distribution_tree
from bramleyfork.core import blackboard
from bramleyfork.core import messages
from bramleyfork.decisions import revisions

_ASK_INTERVAL_S = 0.5  # Between questions to peers at start.
_OFFER_INTERVAL_S = 10.0  # Of watchers, so that others need not fall back.
# Least time between two offers of one version that a host passes on. While the
# views of the members differ, two hosts may take each other for the parent.
_REPEAT_INTERVAL_S = _OFFER_INTERVAL_S / 2


class Announcer:
    """Tells the hosts below this one of the version in force.

    Args:
      tree: This host's place among the others.
      writer: The right to append to configuration_out.

    Attributes:
      next_at: When to call ``announce`` again, monotonic seconds.
    """

    __slots__ = ("next_at", "_offered_at", "_tree", "_writer")

    def __init__(
        self,
        *,
        tree: _distribution_tree.DistributionTree,
        writer: blackboard.LogWriter,
    ):
        self.next_at = 0.0
        self._offered_at = -math.inf
        self._tree = tree
        self._writer = writer

    def announce(
        self, version: revisions.Version, now: float, *, watching: bool
    ) -> None:
        """Asks peers at the start, and as a watcher offers at times."""
        if now < self.next_at:
            return
        if version == revisions.NO_VERSION:
            self.next_at = now + _ASK_INTERVAL_S
            # Revision 0, of a starting host, asks peers to tell theirs.
            self.offer(messages.ALL_PEERS, version)
        elif watching or not self._tree.is_declared:
            self.offer_to_children(version, now)
        else:
            self.next_at = now + _OFFER_INTERVAL_S

    def offer_to_children(self, version: revisions.Version, now: float) -> None:
        """Offers a version to the hosts below this one.

        A host that is not declared has no place in the tree and gets no
        heartbeats, so what only it knows goes to every peer.
        """
        self.next_at = now + _OFFER_INTERVAL_S
        self._offered_at = now
        if not self._tree.is_declared:
            self.offer(messages.ALL_PEERS, version)
            return
        for host in self._tree.list_children():
            self.offer(host, version)

    def repeat(self, version: revisions.Version, now: float) -> None:
        """Offers the version again after the host above has confirmed it."""
        if now >= self._offered_at + _REPEAT_INTERVAL_S:
            self.offer_to_children(version, now)

    def offer(self, receiver: str, version: revisions.Version) -> None:
        """Offers a version to one host or to all connected ones."""
        self._writer.append(
            messages.ConfigurationOffer(
                to=receiver, revision=version.revision, digest=version.digest
            )
        )
