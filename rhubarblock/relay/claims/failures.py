"""Failures of calls with an idempotency key, as callers see them."""

from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.relay.claims import row as claimrow

# Retry-After of refused callers, in seconds.
RETRY_AFTER_S = 2.0

_Code = failures.FailureCode
_Verdict = verdicts.Verdict


def make_unavailable() -> failures.Failure:
    """Returns the failure of a claim that the platform did not confirm."""
    return failures.Failure(
        code=_Code.PLATFORM_UNAVAILABLE,
        message="the platform did not confirm that the key is unused",
        verdict=_Verdict.NOT_RUN,
        retry_after_s=RETRY_AFTER_S,
    )


def make_conflict() -> failures.Failure:
    """Returns the failure of a key that is bound to another call."""
    return failures.Failure(
        code=_Code.KEY_CONFLICT,
        message="the idempotency key was used for another call",
        verdict=_Verdict.NOT_RUN,
    )


def make_unknown() -> failures.Failure:
    """Returns the failure of a call whose single run has an unknown outcome."""
    return failures.Failure(
        code=_Code.OUTCOME_UNKNOWN,
        message="a call with this idempotency key was sent; it may have run",
        verdict=_Verdict.MAY_HAVE_RUN,
    )


def make_answer_not_stored(answer: claimrow.RowAnswer) -> failures.Failure:
    """Returns the failure of a call that ran but whose answer was too large."""
    return failures.Failure(
        code=_Code.OUTCOME_UNKNOWN,
        message=(
            "a call with this idempotency key ran with status "
            f"{answer.status}; its answer was too large to keep "
            f"(SHA-256 {answer.body_digest})"
        ),
        verdict=_Verdict.RAN,
    )
