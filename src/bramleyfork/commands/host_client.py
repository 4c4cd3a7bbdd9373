"""HTTP client for the commands that send requests to a host."""

import json
import typing

import expression
import urllib3

from bramleyfork.core import records
from bramleyfork.core import verdicts

_CONNECT_TIMEOUT_S = 2.0


class Reply(records.Record):
    """The response of a host.

    Attributes:
      status: HTTP status.
      document: Its JSON body.
    """

    __slots__ = ("status", "document")

    def __init__(self, *, status: int, document: typing.Any):
        self.status = status
        self.document = document


class RequestFailure(records.Record):
    """A request without a valid response.

    Attributes:
      verdict: Whether the request may have run.
      detail: Explanation for people.
    """

    __slots__ = ("verdict", "detail")

    def __init__(self, *, verdict: verdicts.Verdict, detail: str):
        self.verdict = verdict
        self.detail = detail


def send_request(
    method: str,
    address: str,
    path: str,
    *,
    fields: dict[str, str] | None = None,
    document: typing.Any = None,
    timeout_s: float = 5.0,
) -> expression.Result[Reply, RequestFailure]:
    """Sends a request to a host once, without retries.

    Args:
      method: HTTP method.
      address: address:port of the host.
      path: Path of the URL.
      fields: Fields of the query string.
      document: JSON body.
      timeout_s: Read timeout of the response, seconds.

    Returns:
      The response, whatever its status, or the failure if there is none.
    """
    body = None if document is None else json.dumps(document).encode("utf-8")
    options = {"fields": fields} if fields else {"body": body}
    timeout = urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=timeout_s)
    try:
        with urllib3.PoolManager(retries=False, timeout=timeout) as pool:
            answer = pool.request(method, f"http://{address}{path}", **options)
            return expression.Ok(
                Reply(status=answer.status, document=answer.json())
            )
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
        urllib3.exceptions.LocationValueError,
    ) as error:
        return _build_failure(verdicts.Verdict.NOT_RUN, address, error)
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        return _build_failure(verdicts.Verdict.MAY_HAVE_RUN, address, error)


def _build_failure(
    verdict: verdicts.Verdict, address: str, error: Exception
) -> expression.Result[Reply, RequestFailure]:
    detail = f"no answer from {address!r}: {error}"
    return expression.Error(RequestFailure(verdict=verdict, detail=detail))
