"""Converts responses of targets to replies and results of health checks."""

from bramleyfork.core import verdicts
from bramleyfork.entry import exchanges
from bramleyfork.entry import http_headers


def build_reply(send, response, header_names, *, is_first) -> exchanges.Reply:
    """Converts the response to an attempt and derives its verdict.

    The reply is "garbled" if the response echoes another request id, or if it
    is a success without an echoed id or without a signature. A failure or
    refusal without an echoed id is valid only as the first response on a
    connection. Later ones may belong to an earlier request.
    """
    echo = response.get_header(header_names.request_id)
    stamp = response.get_header(header_names.stamp) or b""
    not_run = (
        response.status == 421
        or response.get_header(header_names.not_run) is not None
    )
    is_mismatched = echo is not None and echo != send.request.request_id
    is_unverified = response.status < 300 and (echo is None or not stamp)
    is_unidentified = echo is None and not is_first
    if is_mismatched or is_unverified or is_unidentified:
        # The response may belong to another request, so it doesn't show
        # whether this one ran.
        return exchanges.Reply(
            attempt=send.attempt,
            verdict=verdicts.Verdict.MAY_HAVE_RUN,
            fault="garbled",
        )
    verdict = verdicts.Verdict.NOT_RUN if not_run else verdicts.Verdict.RAN
    return exchanges.Reply(
        attempt=send.attempt,
        verdict=verdict,
        status=response.status,
        headers=response.headers,
        body=response.body,
        stamp=stamp,
    )


def build_probe_result(probe, response, header_names) -> exchanges.ProbeResult:
    """Converts the response to a health check; None counts as a failure.

    The target is healthy only if the response names its id, as another target
    may listen at the same address.
    """
    is_healthy = (
        response is not None
        and response.status == 200
        and response.get_header(header_names.target)
        == probe.target.target.encode("latin-1")
    )
    warmup_ms = (
        response.get_header(header_names.warmup_ms) if is_healthy else None
    )
    is_number = warmup_ms is not None and warmup_ms.isdigit()
    return exchanges.ProbeResult(
        target=probe.target,
        is_healthy=is_healthy,
        warmup_s=(
            http_headers.parse_count(warmup_ms) / 1000 if is_number else 0.0
        ),
    )
