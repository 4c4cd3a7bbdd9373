"""What the peer transport keeps for each other host."""

import collections
import random

from bramleyfork.core import records
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts
from bramleyfork.transports import peer_streams

MAX_QUEUED_BYTES = 4 << 20  # Bytes that may wait for one host.

_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0


class OutgoingMessage:
    """An encoded message on its way out.

    Attributes:
      kind: Kind of the message.
      message: The record.
      payload: Its bytes; those of a sub-request are encoded again when it had
        to wait for a stream, as its remaining time is then shorter.
    """

    __slots__ = ("kind", "message", "payload")

    def __init__(self, *, kind: str, message: records.Record, payload: bytes):
        self.kind = kind
        self.message = message
        self.payload = payload


class Link:
    """Streams, waiting messages and unanswered sub-requests of one host.

    Attributes:
      host: Name of the host; None for a seed that has not said hello.
      address: Address it was last reached at; a declared address goes before.
      streams: Streams whose hello was accepted.
      batch: Messages of the current turn.
      connecting: Whether a connection is being made.
      retry_at: No connection is tried before, monotonic seconds.
      failures: Tries that failed since the last success.
    """

    __slots__ = (
        "host",
        "address",
        "streams",
        "batch",
        "connecting",
        "retry_at",
        "failures",
        "_queued",
        "_queued_bytes",
        "_outstanding",
    )

    def __init__(self, *, host: str | None, address: str | None = None):
        self.host = host
        self.address = address
        self.streams: list[peer_streams.Stream] = []
        self.batch: list[OutgoingMessage] = []
        self.connecting = False
        self.retry_at = float("-inf")
        self.failures = 0
        self._queued: collections.deque[OutgoingMessage] = collections.deque()
        self._queued_bytes = 0
        self._outstanding: dict[
            str, tuple[requests.SubRequest, peer_streams.Stream]
        ] = {}

    @property
    def has_outstanding(self) -> bool:
        """Whether sub-requests are handed over and unanswered."""
        return bool(self._outstanding)

    @property
    def has_queued(self) -> bool:
        """Whether messages wait for a stream."""
        return bool(self._queued)

    def find_stream(self) -> peer_streams.Stream | None:
        """Returns a stream that takes messages, or None."""
        for stream in self.streams:
            if stream.usable:
                return stream
        return None

    def pop_batch(self) -> list[OutgoingMessage]:
        """Returns and forgets the messages of the current turn."""
        batch, self.batch = self.batch, []
        return batch

    def enqueue(self, outgoing: OutgoingMessage) -> bool:
        """Keeps a message until a stream is up; returns whether it fits."""
        size = len(outgoing.payload)
        if self._queued_bytes + size > MAX_QUEUED_BYTES:
            return False
        if isinstance(outgoing.message, requests.Cancel):
            return self._remove_queued(outgoing.message.attempt_id)
        self._queued.append(outgoing)
        self._queued_bytes += size
        return True

    def pop_queued(self) -> list[OutgoingMessage]:
        """Returns and forgets the messages that wait for a stream."""
        queued = list(self._queued)
        self._queued.clear()
        self._queued_bytes = 0
        return queued

    def record_sent(
        self, request: requests.SubRequest, stream: peer_streams.Stream
    ) -> None:
        """Remembers a sub-request that was handed to a stream."""
        self._outstanding[request.attempt_id] = (request, stream)

    def remove_outstanding(self, attempt_id: str) -> None:
        """Forgets a sub-request that was answered or cancelled."""
        self._outstanding.pop(attempt_id, None)

    def remove_expired(self, now: float) -> None:
        """Forgets sub-requests whose deadline has passed."""
        expired = [
            attempt_id
            for attempt_id, (request, _) in self._outstanding.items()
            if request.deadline <= now
        ]
        for attempt_id in expired:
            del self._outstanding[attempt_id]

    def pop_unanswered(
        self, stream: peer_streams.Stream, now: float
    ) -> list[requests.SubRequest]:
        """Returns and forgets what was unanswered on a broken stream."""
        self.remove_expired(now)
        unanswered = [
            request
            for request, sent_on in self._outstanding.values()
            if sent_on is stream
        ]
        for request in unanswered:
            del self._outstanding[request.attempt_id]
        return unanswered

    def reset_backoff(self) -> None:
        """Lets the next try follow at once."""
        self.failures = 0
        self.retry_at = float("-inf")

    def extend_backoff(self, now: float) -> None:
        """Sets the pause before the next try; it doubles up to 2 s."""
        backoff_s = min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2**self.failures)
        self.failures = min(self.failures + 1, 10)
        self.retry_at = now + backoff_s * random.uniform(0.5, 1.0)

    def _remove_queued(self, attempt_id: str) -> bool:
        for outgoing in self._queued:
            message = outgoing.message
            if (
                isinstance(message, requests.SubRequest)
                and message.attempt_id == attempt_id
            ):
                self._queued.remove(outgoing)
                self._queued_bytes -= len(outgoing.payload)
                return True
        return True


def build_owner_lost_reply(
    request: requests.SubRequest, verdict: verdicts.Verdict, detail: str
) -> replies.SubReply:
    """Returns the reply to a sub-request whose owner cannot answer it."""
    return replies.SubReply(
        attempt_id=request.attempt_id,
        query_id=request.query_id,
        router=request.router,
        owner=request.owner,
        target=request.target,
        verdict=verdict,
        code="owner_lost",
        key_range=None,
        snapshot=None,
        detail=detail,
    )


def strip_records(reply: replies.SubReply, detail: str) -> replies.SubReply:
    """Returns a reply without the records that could not be encoded.

    The answer of an attempt that ran is then not at hand, so its verdict
    becomes MAY_HAVE_RUN.
    """
    verdict = reply.verdict
    if verdict is verdicts.Verdict.RAN:
        verdict = verdicts.Verdict.MAY_HAVE_RUN
    return reply.replace(
        verdict=verdict,
        code="bad_reply",
        records=(),
        report=None,
        detail=detail[:500],
    )
