"""Tracks pings that wait for an ack and detects late acks."""

import math

from bramleyfork.core import records
from bramleyfork.decisions import lease
from bramleyfork.decisions import membership


class SentPing(records.Record):
    """A ping, or a request for an indirect ping, that waits for its ack.

    Attributes:
      host: Host whose liveness is checked.
      sent_to: Host that the message was sent to; differs from ``host`` for
        an indirect ping.
      sent_at: Monotonic seconds.
      requested_by: Sender and sequence number of the request for an indirect
        ping that caused this ping, or None.
    """

    __slots__ = ("host", "sent_to", "sent_at", "requested_by")

    def __init__(
        self,
        *,
        host: str,
        sent_to: str,
        sent_at: float,
        requested_by: tuple[str, int] | None,
    ):
        self.host = host
        self.sent_to = sent_to
        self.sent_at = sent_at
        self.requested_by = requested_by


class PendingPings:
    """Pending pings; at most one is the probe of the protocol period."""

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
        requested_by: tuple[str, int] | None = None,
    ) -> int:
        """Records a sent ping and returns its sequence number.

        Args:
          host: Host whose liveness is checked.
          now: Monotonic seconds.
          sent_to: Host that the message is sent to, if not ``host``.
          is_probe: Whether it is the probe of a new protocol period.
          requested_by: Sender and sequence number of the request for an
            indirect ping that caused this ping, or None.
        """
        self._sequence += 1
        self._sent[self._sequence] = SentPing(
            host=host,
            sent_to=sent_to or host,
            sent_at=now,
            requested_by=requested_by,
        )
        if is_probe:
            self._probe, self._probe_sent_at = host, now
            self._is_late = False
        return self._sequence

    def match_ack(
        self, sequence: int, sender: str, host: str
    ) -> SentPing | None:
        """Removes and returns the pending ping that an ack matches, or None.

        Args:
          sequence: Sequence number in the ack.
          sender: Host that sent the ack; must be the one the ping was sent to.
          host: Host that the ack reports as alive.
        """
        ping = self._sent.get(sequence)
        if ping is None or (ping.sent_to, ping.host) != (sender, host):
            return None
        del self._sent[sequence]
        if ping.host == self._probe:
            self.drop_probe()
        return ping

    def pop_late_probe(self, now: float) -> str | None:
        """Returns the probed host once when its ack is late, else None."""
        if self._probe is None or self._is_late:
            return None
        if now < self._probe_sent_at + membership.ACK_TIMEOUT_S:
            return None
        self._is_late = True
        return self._probe

    def pop_unanswered_probe(self) -> str | None:
        """Ends the probe; returns its host if it did not answer, else None."""
        probe = self._probe
        self.drop_probe()
        return probe

    def drop_probe(self) -> None:
        """Ends the probe of the period; its ping stays pending."""
        self._probe, self._probe_sent_at = None, math.inf

    def remove_expired(self, now: float) -> None:
        """Removes pings whose ack can no longer renew the lease."""
        for sequence, ping in list(self._sent.items()):
            if now < ping.sent_at + lease.LEASE_S:
                return  # Pings are stored in order of sending.
            del self._sent[sequence]

    def find_wake_time(self) -> float:
        """Returns when the probe's ack becomes late, monotonic seconds."""
        if self._probe is None or self._is_late:
            return math.inf
        return self._probe_sent_at + membership.ACK_TIMEOUT_S
