"""Queue of the member updates that are piggybacked on pings and acks."""

from bramleyfork.core import messages
from bramleyfork.decisions import membership


class UpdateQueue:
    """Hosts whose state is still to be disseminated, by number of sends.

    The time to choose updates does not depend on the length of the queue, which
    can contain every host of the fleet after a network partition.
    """

    __slots__ = ("_hosts_by_send_count", "_send_counts")

    def __init__(self):
        self._hosts_by_send_count: list[dict[str, None]] = [{}]
        self._send_counts: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._send_counts)

    def add(self, host: str) -> None:
        """Queues the state of a host, with no sends counted so far."""
        self.remove(host)
        self._hosts_by_send_count[0][host] = None
        self._send_counts[host] = 0

    def remove(self, host: str) -> None:
        """Removes a host from the queue."""
        sends = self._send_counts.pop(host, None)
        if sends is not None:
            del self._hosts_by_send_count[sends][host]

    def choose_updates(
        self,
        members: membership.Members,
        *,
        own: str,
        receiver: str,
        limit: int,
    ) -> tuple[messages.MemberUpdate, ...]:
        """Returns the updates for one message and counts them as sent.

        The sender's own state comes first. The known state of the receiver is
        second, so that it can refute a suspicion or the state of an earlier
        process. The rest are the updates with the fewest sends so far.

        Args:
          members: Known members by host, including all queued hosts.
          own: Name of the sender.
          receiver: Name of the receiver.
          limit: Number of sends after which a host leaves the queue.
        """
        chosen = [host for host in (own, receiver) if host in members]
        for hosts in self._hosts_by_send_count:
            for host in hosts:
                if len(chosen) == membership.UPDATES_PER_MESSAGE:
                    break
                if host not in chosen:
                    chosen.append(host)
        for host in chosen:
            self._count_sent(host, limit)
        return tuple(membership.build_update(members[host]) for host in chosen)

    def _count_sent(self, host: str, limit: int) -> None:
        if host not in self._send_counts:
            return
        sends = self._send_counts[host] + 1
        self.remove(host)
        if sends >= limit:
            return
        while len(self._hosts_by_send_count) <= sends:
            self._hosts_by_send_count.append({})
        self._hosts_by_send_count[sends][host] = None
        self._send_counts[host] = sends
