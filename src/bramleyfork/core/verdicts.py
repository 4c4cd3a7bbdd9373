"""Verdicts on whether a request ran, and their combination over attempts."""

import collections.abc
import enum


class Verdict(enum.Enum):
    """What is known of the execution of a request on its target.

    NOT_RUN requires proof: no byte was passed to the network, or the target or
    the owner reported that it did not run. RAN means that the answer was
    received. Every other case is MAY_HAVE_RUN.
    """

    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    RAN = "RAN"


def combine_verdicts(verdicts: collections.abc.Iterable[Verdict]) -> Verdict:
    """Returns the combined verdict of all attempts of one request.

    Args:
      verdicts: One verdict per attempt; empty if none was sent.

    Returns:
      RAN if any attempt is RAN, NOT_RUN if all are NOT_RUN or there are none,
      else MAY_HAVE_RUN.
    """
    seen = set(verdicts)
    if Verdict.RAN in seen:
        return Verdict.RAN
    if seen <= {Verdict.NOT_RUN}:
        return Verdict.NOT_RUN
    return Verdict.MAY_HAVE_RUN
