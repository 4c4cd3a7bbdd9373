"""Offers of the active configuration version to other hosts."""

import math

from bramleyfork.controllers import _distribution_tree
from bramleyfork.core import blackboard
from bramleyfork.core import messages
from bramleyfork.decisions import revisions

# Between requests for a version during startup.
_VERSION_REQUEST_INTERVAL_S = 0.5
# Between the periodic offers of a watcher. It is short enough that other hosts
# don't fall back to polling the platform for want of messages from a watcher.
_OFFER_INTERVAL_S = 10.0
# Minimum time between two forwarded offers of the same version. While their
# member tables differ, two hosts may each regard the other as the parent and
# would otherwise forward the offer to each other without end.
_MIN_FORWARD_INTERVAL_S = _OFFER_INTERVAL_S / 2


class Announcer:
    """Offers the active version to this host's children in the tree.

    Args:
      tree: The distribution tree.
      writer: Writer of the section configuration_out.

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
        """Sends the periodic message that is due, if any.

        A host without a configuration asks all peers for theirs. A watcher,
        and a host that is not declared, offers its version. Other hosts send
        nothing.

        Args:
          version: The active version.
          now: Monotonic seconds.
          watching: Whether this host is a watcher.
        """
        if now < self.next_at:
            return
        if version == revisions.NO_VERSION:
            self.next_at = now + _VERSION_REQUEST_INTERVAL_S
            # Peers answer an offer of revision 0 with their own version.
            self.offer(messages.ALL_PEERS, version)
        elif watching or not self._tree.is_declared:
            self.offer_to_children(version, now)
        else:
            self.next_at = now + _OFFER_INTERVAL_S

    def offer_to_children(self, version: revisions.Version, now: float) -> None:
        """Offers a version to this host's children in the tree.

        A host that is not declared is not part of the tree and receives no
        heartbeats. It sends its offer to every peer, because a version that
        only this host has read would otherwise not reach the others.
        """
        self.next_at = now + _OFFER_INTERVAL_S
        self._offered_at = now
        if not self._tree.is_declared:
            self.offer(messages.ALL_PEERS, version)
            return
        for host in self._tree.list_children():
            self.offer(host, version)

    def forward_offer(self, version: revisions.Version, now: float) -> None:
        """Forwards the parent's offer of the version that is active here.

        Does nothing if the version was offered less than
        ``_MIN_FORWARD_INTERVAL_S`` ago.
        """
        if now >= self._offered_at + _MIN_FORWARD_INTERVAL_S:
            self.offer_to_children(version, now)

    def offer(self, receiver: str, version: revisions.Version) -> None:
        """Offers a version to one host, or to all with ``ALL_PEERS``."""
        self._writer.append(
            messages.ConfigurationOffer(
                to=receiver, revision=version.revision, digest=version.digest
            )
        )
