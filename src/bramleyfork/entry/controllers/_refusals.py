"""Answers requests of which nothing was sent."""

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

# When to come back after a refusal; targets come into use within seconds.
RETRY_AFTER_S = 0.25
# The same while no source of the feed answers. A caller that comes back sooner
# is refused again.
FEED_RETRY_AFTER_S = 2.0


class Refusals:
    """Writes refusals, their log lines and their counts.

    Args:
      writer: Writer of the section "responses".
      feed_state: The section of that name.
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
        self,
        request: exchanges.CallerRequest,
        reason: str,
        status: int,
        now: float,
        *,
        route: declarations.Route | None = None,
        without_target: collections.abc.Sequence[str] = (),
        overload: _admission.OverloadReport | None = None,
    ) -> None:
        """Refuses a request.

        Args:
          request: What the caller sent.
          reason: Word for logs and metrics.
          status: Status of the response.
          now: Monotonic seconds.
          route: Its route, if it is known.
          without_target: Services that have no target in use.
          overload: Why its targets have too much to do, if that is the reason.
        """
        feed = self._feed_state.get("current")
        retry_after_s = choose_retry_after(reason, feed)
        if overload is not None:
            retry_after_s = overload.retry_after_s
        self._writer.append(
            exchanges.Response(
                key=request.key,
                status=status,
                headers=build_headers(status, retry_after_s),
            )
        )
        self._metrics.count("requests_refused", reason)
        fields = {
            "request": request.request_id.decode("latin-1"),
            "route": route.name if route else None,
            "reason": reason,
            "status": status,
            "without_target": without_target,
            "verdict": verdicts.Verdict.NOT_RUN.value,
        }
        if overload is not None:
            fields |= overload.build_log_fields()
        _LOG.info("request refused", extra=fields | _describe_feed(feed, now))


def build_headers(
    status: int, retry_after_s: float = RETRY_AFTER_S
) -> exchanges.Headers:
    """Returns the headers of an own refusal."""
    if status != 503:
        return ()
    return ((b"Retry-After", b"%.2f" % retry_after_s),)


def choose_retry_after(reason: str, feed: feeds.FeedState | None) -> float:
    """Returns seconds after which a refused caller should come back.

    Args:
      reason: Why it was refused.
      feed: The feed's state; None at the start of the process.
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
    return {"feed_revision": feed.revision, "feed_age_ms": age_ms}
