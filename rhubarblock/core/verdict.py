"""Verdicts on whether a request may have run.

Every attempt and every answer to a caller carries one of these values. Retry
decisions depend on them alone, so a wrong ``NOT_RUN`` would break the guarantee
that a non-idempotent request runs at most once.
"""

import enum


class Verdict(enum.Enum):
    """What is known about the execution of a request or of one attempt."""

    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    RAN = "RAN"


def combine(first: Verdict, second: Verdict) -> Verdict:
    """Returns the verdict on a request after two attempts.

    Args:
      first: combined verdict on the earlier attempts.
      second: verdict on the later attempt.

    Returns:
      RAN if an attempt certainly ran, NOT_RUN if certainly no attempt ran, else
      MAY_HAVE_RUN.
    """
    if Verdict.RAN in (first, second):
        return Verdict.RAN
    if Verdict.MAY_HAVE_RUN in (first, second):
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN
