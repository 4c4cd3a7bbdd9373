"""Which pings wait for an answer and what a late one leads to."""

import math

from bramleyfork.core import records
from bramleyfork.decisions import lease
from bramleyfork.decisions import membership


class SentPing(records.Record):
    """A ping, or a request for one, that waits for its ack.

    Attributes:
      host: Host that must be alive.
      sent_to: Host that was asked; another one for an indirect ping.
      sent_at: Monotonic seconds.
      relay_for: Host and sequence of the request that this ping serves.
    """

    __slots__ = ("host", "sent_to", "sent_at", "relay_for")

    def __init__(
        self,
        *,
        host: str,
        sent_to: str,
        sent_at: float,
        relay_for: tuple[str, int] | None,
    ):
        self.host = host
        self.sent_to = sent_to
        self.sent_at = sent_at
        self.relay_for = relay_for


class PendingPings:
    """Pings under way; at most one of them is the probe of the period."""

    __slots__ = ("_sequence", "_sent", "_probe", "_probe_sent_at", "_is_late")

    def __init__(self):
        self._sequence = 0
        self._sent: dict[int, SentPing] = {}
        self._probe: str | None = None
        self._probe_sent_at = math.inf
        self._is_late = False

    def record_sent(
        self,
        host: str,
        now: float,
        *,
        sent_to: str | None = None,
        is_probe: bool = False,
        relay_for: tuple[str, int] | None = None,
    ) -> int:
        """Remembers a ping and returns its sequence.

        Args:
          host: Host that must be alive.
          now: Monotonic seconds.
          sent_to: Host that is asked, if not ``host``.
          is_probe: Whether it is the probe of a new period.
          relay_for: Host and sequence of the request that it serves.
        """
        self._sequence += 1
        self._sent[self._sequence] = SentPing(
            host=host,
            sent_to=sent_to or host,
            sent_at=now,
            relay_for=relay_for,
        )
        if is_probe:
            self._probe, self._probe_sent_at = host, now
            self._is_late = False
        return self._sequence

    def match_ack(
        self, sequence: int, sender: str, host: str
    ) -> SentPing | None:
        """Returns and forgets the ping that an ack answers, or None."""
        ping = self._sent.get(sequence)
        if ping is None or (ping.sent_to, ping.host) != (sender, host):
            return None
        del self._sent[sequence]
        if ping.host == self._probe:
            self.drop_probe()
        return ping

    def take_late_probe(self, now: float) -> str | None:
        """Returns the probed host once when its ack is late."""
        if self._probe is None or self._is_late:
            return None
        if now < self._probe_sent_at + membership.ACK_TIMEOUT_S:
            return None
        self._is_late = True
        return self._probe

    def take_unanswered_probe(self) -> str | None:
        """Returns and forgets the probed host if it has not answered."""
        probe = self._probe
        self.drop_probe()
        return probe

    def drop_probe(self) -> None:
        """Forgets the probe of the period, but not its ping."""
        self._probe, self._probe_sent_at = None, math.inf

    def forget_old(self, now: float) -> None:
        """Forgets pings whose answer could not renew the lease any more."""
        for sequence, ping in list(self._sent.items()):
            if now < ping.sent_at + lease.LEASE_S:
                return  # Later pings are younger.
            del self._sent[sequence]

    def find_wake_time(self) -> float:
        """Returns when the probe becomes late, monotonic seconds."""
        if self._probe is None or self._is_late:
            return math.inf
        return self._probe_sent_at + membership.ACK_TIMEOUT_S
