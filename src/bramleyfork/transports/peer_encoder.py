"""Encoding of messages to other hosts, and reports of those not sent."""

import logging

from bramleyfork.codecs import formats
from bramleyfork.codecs import frames
from bramleyfork.core import blackboard
from bramleyfork.core import clocks
from bramleyfork.core import records
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts
from bramleyfork.transports import peer_counters
from bramleyfork.transports import peer_links

_LOG = logging.getLogger(__name__)


class PeerEncoder:
    """Encodes messages and answers sub-requests that cannot be sent.

    All links share one encoder.

    Args:
      clock: Source of monotonic time.
      counters: Traffic by kind of message.
      subreplies: Writer of peer_subreplies, for the replies to sub-requests
        that get none from their owner.
    """

    __slots__ = ("_clock", "_counters", "_subreplies", "_encoder")

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        counters: peer_counters.TrafficCounters,
        subreplies: blackboard.LogWriter,
    ):
        self._clock = clock
        self._counters = counters
        self._subreplies = subreplies
        self._encoder = frames.FrameEncoder()

    def encode(
        self, message: records.Record
    ) -> peer_links.OutgoingMessage | None:
        """Returns the encoded message, or None if it cannot be encoded.

        A sub-reply that cannot be encoded is replaced by one without records.
        Any other such message is logged, and a sub-request is answered as not
        run.
        """
        now = self._clock.read_monotonic()
        try:
            payload = self._encoder.encode(message, now)
        except frames.FrameError as error:
            if (
                isinstance(message, replies.SubReply)
                and message.code != "bad_reply"
            ):
                return self.encode(
                    peer_links.strip_records(message, str(error))
                )
            self._report_not_encodable(message, str(error))
            return None
        return peer_links.OutgoingMessage(
            kind=formats.KIND_BY_CLASS[type(message)],
            message=message,
            payload=payload,
        )

    def _report_not_encodable(
        self, message: records.Record, detail: str
    ) -> None:
        _LOG.error(
            "message to peer could not be encoded", extra={"reason": detail}
        )
        if isinstance(message, requests.SubRequest):
            self.report_unanswered([message], verdicts.Verdict.NOT_RUN, detail)

    def reencode_queued(
        self, queued: list[peer_links.OutgoingMessage], now: float
    ) -> list[peer_links.OutgoingMessage]:
        """Encodes queued sub-requests again and drops expired ones.

        Their remaining time is shorter than at the first encoding. Other
        messages are returned as they are.

        Args:
          queued: Messages that waited for a stream.
          now: Current monotonic time, seconds.
        """
        reencoded = []
        for outgoing in queued:
            message = outgoing.message
            if isinstance(message, requests.SubRequest):
                if message.deadline <= now:
                    continue
                outgoing = self.encode(message)
            if outgoing is not None:
                reencoded.append(outgoing)
        return reencoded

    def drop_messages(
        self, batch: list[peer_links.OutgoingMessage], detail: str
    ) -> None:
        """Drops messages and reports the sub-requests as not run."""
        for outgoing in batch:
            self._counters.count_dropped(outgoing.kind)
        unanswered = [
            outgoing.message
            for outgoing in batch
            if isinstance(outgoing.message, requests.SubRequest)
        ]
        self.report_unanswered(unanswered, verdicts.Verdict.NOT_RUN, detail)

    def report_unanswered(
        self,
        unanswered: list[requests.SubRequest],
        verdict: verdicts.Verdict,
        detail: str,
    ) -> None:
        """Writes owner_lost replies to sub-requests without an answer."""
        self._subreplies.extend(
            [
                peer_links.build_owner_lost_reply(r, verdict, detail)
                for r in unanswered
            ]
        )
