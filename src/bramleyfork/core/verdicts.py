"""Whether a request may have run, and how such claims combine."""

import collections.abc
import enum


class Verdict(enum.Enum):
    """Claim about the execution of a request on its target.

    NOT_RUN needs proof: no byte was handed to the network, or the target or the
    owner said so. RAN means that the answer is at hand. Everything else is
    MAY_HAVE_RUN.
    """

    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    RAN = "RAN"


def combine_verdicts(verdicts: collections.abc.Iterable[Verdict]) -> Verdict:
    """Returns the verdict over several attempts of one request.

    Args:
      verdicts: One verdict per attempt; none at all means nothing was sent.

    Returns:
      RAN if an attempt answered, NOT_RUN if every attempt is NOT_RUN, else
      MAY_HAVE_RUN.
    """
    seen = set(verdicts)
    if Verdict.RAN in seen:
        return Verdict.RAN
    if seen <= {Verdict.NOT_RUN}:
        return Verdict.NOT_RUN
    return Verdict.MAY_HAVE_RUN
