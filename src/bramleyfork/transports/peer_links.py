"""State of the peer transport for one other host.

A link holds the host's streams, the messages that wait for a stream, the
unanswered sub-requests and the backoff between connection attempts.
"""

import collections
import random

from bramleyfork.core import records
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts
from bramleyfork.transports import peer_streams

# Per host, for messages that wait for a stream and for bytes that a stream has
# buffered.
MAX_QUEUED_BYTES = 4 << 20

_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0


class OutgoingMessage:
    """An encoded message that is to be sent.

    Attributes:
      kind: Kind of the message.
      message: The record.
      payload: The encoded message. A sub-request that had to wait for a stream
        is encoded again, because its remaining time is shorter by then.
    """

    __slots__ = ("kind", "message", "payload")

    def __init__(self, *, kind: str, message: records.Record, payload: bytes):
        self.kind = kind
        self.message = message
        self.payload = payload


class Link:
    """Streams, waiting messages and unanswered sub-requests of one host.

    Attributes:
      host: Name of the host; None for a seed that has not sent a hello.
      address: Last known address; a declared address takes precedence.
      streams: Streams whose hello was accepted.
      batch: Messages of the current batch of sends.
      connecting: Whether a connection attempt is in progress.
      retry_at: Time before which no connection is attempted, monotonic
        seconds.
      failures: Failed connection attempts since the last success, at most 10.
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
        "_unanswered",
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
        self._unanswered: dict[
            str, tuple[requests.SubRequest, peer_streams.Stream]
        ] = {}

    @property
    def has_unanswered(self) -> bool:
        """Whether a sub-request that was sent is unanswered."""
        return bool(self._unanswered)

    @property
    def has_queued(self) -> bool:
        """Whether messages wait for a stream."""
        return bool(self._queued)

    def find_stream(self) -> peer_streams.Stream | None:
        """Returns a stream that accepts messages, or None."""
        for stream in self.streams:
            if stream.usable:
                return stream
        return None

    def pop_batch(self) -> list[OutgoingMessage]:
        """Returns and removes the messages of the current batch."""
        batch, self.batch = self.batch, []
        return batch

    def enqueue(self, outgoing: OutgoingMessage) -> bool:
        """Queues a message until a stream is established.

        A cancellation is not queued; it removes the sub-request that it
        cancels, if that is still queued.

        Returns:
          False if the message does not fit into the queue.
        """
        size = len(outgoing.payload)
        if self._queued_bytes + size > MAX_QUEUED_BYTES:
            return False
        if isinstance(outgoing.message, requests.Cancel):
            return self._remove_queued(outgoing.message.attempt_id)
        self._queued.append(outgoing)
        self._queued_bytes += size
        return True

    def pop_queued(self) -> list[OutgoingMessage]:
        """Returns and removes the messages that wait for a stream."""
        queued = list(self._queued)
        self._queued.clear()
        self._queued_bytes = 0
        return queued

    def record_sent(
        self, request: requests.SubRequest, stream: peer_streams.Stream
    ) -> None:
        """Records a sub-request that was written to a stream."""
        self._unanswered[request.attempt_id] = (request, stream)

    def remove_unanswered(self, attempt_id: str) -> None:
        """Removes a sub-request that was answered or cancelled."""
        self._unanswered.pop(attempt_id, None)

    def remove_expired(self, now: float) -> None:
        """Removes unanswered sub-requests whose deadline has passed."""
        expired = [
            attempt_id
            for attempt_id, (request, _) in self._unanswered.items()
            if request.deadline <= now
        ]
        for attempt_id in expired:
            del self._unanswered[attempt_id]

    def pop_unanswered(
        self, stream: peer_streams.Stream, now: float
    ) -> list[requests.SubRequest]:
        """Returns and removes the unanswered sub-requests of a lost stream.

        Expired ones are removed without being returned.
        """
        self.remove_expired(now)
        unanswered = [
            request
            for request, sent_on in self._unanswered.values()
            if sent_on is stream
        ]
        for request in unanswered:
            del self._unanswered[request.attempt_id]
        return unanswered

    def reset_backoff(self) -> None:
        """Allows the next connection attempt immediately."""
        self.failures = 0
        self.retry_at = float("-inf")

    def extend_backoff(self, now: float) -> None:
        """Sets the earliest time of the next connection attempt.

        The backoff doubles with each failure from 0.1 s to 2 s and is
        multiplied by a random factor of 0.5 to 1.
        """
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
    """Returns the reply to a sub-request whose owner is unreachable."""
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
    """Returns a reply without its records, which could not be encoded.

    The router then has no result of an attempt that ran, so the verdict RAN
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
