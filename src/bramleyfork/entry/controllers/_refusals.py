"""Refuses requests before any attempt is sent to a target."""

import collections.abc
import logging
import typing

from bramleyfork.core import blackboard
from bramleyfork.core import verdicts
from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges
from bramleyfork.entry import feeds
from bramleyfork.entry import metrics
from bramleyfork.entry.controllers import _admission

_LOG = logging.getLogger("bramleyfork.decisions")

# Delay before a refused caller should retry; targets become usable within
# seconds.
RETRY_AFTER_S = 0.25
# The same while no source of the feed answers. A caller that retries sooner is
# refused again.
FEED_RETRY_AFTER_S = 2.0


class Refusal:
    """Why a request is refused, and what its caller is told.

    Attributes:
      reason: Reason code for logs and metrics.
      status: HTTP status of the response.
      route: The route of the request; None if none was found.
      without_target: Services that have no usable target.
      overload: Load estimates, if the request is refused for overload.
      fingerprint: Fingerprint of the request, if it is why it is refused.
      retry_after_s: Seconds after which the caller should retry; None to derive
        them from the reason.
      verdict: Whether the request may have run.
    """

    __slots__ = (
        "reason",
        "status",
        "route",
        "without_target",
        "overload",
        "fingerprint",
        "retry_after_s",
        "verdict",
    )

    def __init__(
        self,
        *,
        reason: str,
        status: int,
        route: declarations.Route | None = None,
        without_target: collections.abc.Sequence[str] = (),
        overload: _admission.OverloadReport | None = None,
        fingerprint: str = "",
        retry_after_s: float | None = None,
        verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
    ):
        self.reason = reason
        self.status = status
        self.route = route
        self.without_target = without_target
        self.overload = overload
        self.fingerprint = fingerprint
        self.retry_after_s = retry_after_s
        self.verdict = verdict

    def build_log_fields(self) -> dict[str, typing.Any]:
        """Returns the fields for the log line of the refusal."""
        fields = {
            "route": self.route.name if self.route else None,
            "reason": self.reason,
            "status": self.status,
            "without_target": self.without_target,
            "verdict": self.verdict.value,
        }
        if self.fingerprint:
            fields["fingerprint"] = self.fingerprint
        if self.overload is not None:
            fields |= self.overload.build_log_fields()
        return fields


class Refusals:
    """Writes refusals, logs them and counts them by reason.

    Args:
      writer: Writer of the section "responses".
      feed_state: Table of the section "feed_state".
      counters: Metrics of the process.
    """

    __slots__ = ("_writer", "_feed_state", "_metrics")

    def __init__(
        self,
        *,
        writer: typing.Any,
        feed_state: blackboard.Table,
        counters: metrics.Metrics,
    ):
        self._writer = writer
        self._feed_state = feed_state
        self._metrics = counters

    def refuse(
        self, request: exchanges.CallerRequest, refusal: Refusal, now: float
    ) -> None:
        """Responds to a request with an error status.

        Args:
          request: The caller's request.
          refusal: Why it is refused.
          now: Monotonic time in seconds.
        """
        feed = self._feed_state.get("current")
        retry_after_s = refusal.retry_after_s
        if retry_after_s is None:
            retry_after_s = choose_retry_after(refusal.reason, feed)
        self._writer.append(
            exchanges.Response(
                key=request.key,
                status=refusal.status,
                headers=build_headers(refusal.status, retry_after_s),
            )
        )
        self._metrics.count("requests_refused", refusal.reason)
        _LOG.info(
            "request refused",
            extra={
                "request": request.request_id.decode("latin-1"),
                **refusal.build_log_fields(),
                **_describe_feed(feed, now),
            },
        )


def build_headers(
    status: int, retry_after_s: float = RETRY_AFTER_S
) -> exchanges.Headers:
    """Returns the headers of an error response of this host.

    Args:
      status: HTTP status of the response.
      retry_after_s: Seconds after which the caller should retry a 503.
    """
    if status != 503:
        return ()
    return ((b"Retry-After", b"%.2f" % retry_after_s),)


def choose_retry_after(reason: str, feed: feeds.FeedState | None) -> float:
    """Returns seconds after which a refused caller should retry.

    Args:
      reason: Reason code of the refusal.
      feed: State of the feed; None at the start of the process.
    """
    if reason == "no_routes" and feed is not None and feed.is_lost:
        return FEED_RETRY_AFTER_S
    return RETRY_AFTER_S


def _describe_feed(
    feed: feeds.FeedState | None, now: float
) -> dict[str, typing.Any]:
    if feed is None:
        return {}
    age_ms = round((now - feed.synced_at) * 1000) if feed.synced_at else None
    return {
        "feed_era": feed.era,
        "feed_revision": feed.revision,
        "feed_age_ms": age_ms,
    }
