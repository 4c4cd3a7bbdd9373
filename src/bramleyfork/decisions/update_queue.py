"""Which news of hosts rides on the next message."""

from bramleyfork.core import messages
from bramleyfork.decisions import membership


class UpdateQueue:
    """Hosts whose state is still to be spread, by how often it was sent.

    Choosing takes the same time however much news waits: after a network
    partition it can be about every host of the fleet.
    """

    __slots__ = ("_by_sends", "_sends")

    def __init__(self):
        self._by_sends: list[dict[str, None]] = [{}]
        self._sends: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._sends)

    def add(self, host: str) -> None:
        """Spreads the state of a host from the beginning."""
        self.remove(host)
        self._by_sends[0][host] = None
        self._sends[host] = 0

    def remove(self, host: str) -> None:
        """Stops to spread the state of a host."""
        sends = self._sends.pop(host, None)
        if sends is not None:
            del self._by_sends[sends][host]

    def choose_updates(
        self,
        members: membership.Members,
        *,
        own: str,
        receiver: str,
        limit: int,
    ) -> tuple[messages.MemberUpdate, ...]:
        """Returns the updates for one message and counts them as sent.

        The sender's own state goes first. Second goes the belief about the
        receiver, so that it can refute a suspicion or the state of an earlier
        process. The rest is the news that was sent least often so far.

        Args:
          members: Beliefs by host; each host with news has one.
          own: The sender.
          receiver: The receiver.
          limit: How often each piece of news is sent.
        """
        chosen = [host for host in (own, receiver) if host in members]
        for hosts in self._by_sends:
            for host in hosts:
                if len(chosen) == membership.UPDATES_PER_MESSAGE:
                    break
                if host not in chosen:
                    chosen.append(host)
        for host in chosen:
            self._count_sent(host, limit)
        return tuple(membership.build_update(members[host]) for host in chosen)

    def _count_sent(self, host: str, limit: int) -> None:
        if host not in self._sends:
            return
        sends = self._sends[host] + 1
        self.remove(host)
        if sends >= limit:
            return
        while len(self._by_sends) <= sends:
            self._by_sends.append({})
        self._by_sends[sends][host] = None
        self._sends[host] = sends
