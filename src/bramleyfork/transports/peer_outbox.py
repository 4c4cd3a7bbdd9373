"""Encodes messages to other hosts and reports what cannot be sent."""

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


class Outbox:
    """What all links share on the way out.

    Args:
      clock: Source of monotonic time.
      counters: Traffic by kind.
      losses: Writer of peer_subreplies, for sub-requests that get no answer.
    """

    __slots__ = ("_clock", "_counters", "_losses", "_encoder")

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        counters: peer_counters.Counters,
        losses: blackboard.LogWriter,
    ):
        self._clock = clock
        self._counters = counters
        self._losses = losses
        self._encoder = frames.FrameEncoder()

    def encode(self, message: records.Record) -> peer_links.Outgoing | None:
        """Returns a message ready to send; None if it was reported instead.

        A reply whose records cannot be encoded is sent without them.
        """
        now = self._clock.read_monotonic()
        try:
            payload = self._encoder.encode(message, now)
        except frames.FrameError as error:
            if (
                isinstance(message, replies.SubReply)
                and message.code != "bad_reply"
            ):
                return self.encode(peer_links.strip_reply(message, str(error)))
            self._report_not_encodable(message, str(error))
            return None
        return peer_links.Outgoing(
            kind=formats.KINDS[type(message)], message=message, payload=payload
        )

    def _report_not_encodable(
        self, message: records.Record, detail: str
    ) -> None:
        _LOG.error("message not encodable", extra={"reason": detail})
        if isinstance(message, requests.SubRequest):
            self.report_lost([message], verdicts.Verdict.NOT_RUN, detail)

    def renew(
        self, held: list[peer_links.Outgoing], now: float
    ) -> list[peer_links.Outgoing]:
        """Encodes waiting sub-requests again and drops expired ones."""
        renewed = []
        for outgoing in held:
            message = outgoing.message
            if isinstance(message, requests.SubRequest):
                if message.deadline <= now:
                    continue
                outgoing = self.encode(message)
            if outgoing is not None:
                renewed.append(outgoing)
        return renewed

    def refuse(self, batch: list[peer_links.Outgoing], detail: str) -> None:
        """Gives up messages and reports their sub-requests as not run."""
        for outgoing in batch:
            self._counters.count_dropped(outgoing.kind)
        lost = [
            outgoing.message
            for outgoing in batch
            if isinstance(outgoing.message, requests.SubRequest)
        ]
        self.report_lost(lost, verdicts.Verdict.NOT_RUN, detail)

    def report_lost(
        self,
        lost: list[requests.SubRequest],
        verdict: verdicts.Verdict,
        detail: str,
    ) -> None:
        """Writes the replies to sub-requests that get none from the owner."""
        self._losses.extend(
            [peer_links.build_loss(r, verdict, detail) for r in lost]
        )
