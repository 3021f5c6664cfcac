"""The typed error that all interfaces of the system use.

Functions that can fail in an expected way return ``returns.result.Result``
with a ``Failure`` inside. Sequential code that handles a stream raises
``FailureError`` instead, which wraps a ``Failure``.
"""

import dataclasses
import enum

from rhubarblock.core import verdict as verdicts


class FailureCode(enum.Enum):
    """Machine-readable reason; the API returns the value as ``code``."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_WORKSPACE = "unknown_workspace"
    UNKNOWN_SERVICE = "unknown_service"
    PROMPT_TOO_LONG = "prompt_too_long"
    LIMIT_EXCEEDED = "limit_exceeded"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_ENDPOINT = "no_endpoint"
    ENDPOINT_FAILED = "endpoint_failed"
    STREAM_CUT = "stream_cut"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    DRAINING = "draining"
    QUARANTINED = "quarantined"
    KEY_CONFLICT = "key_conflict"
    OUTCOME_UNKNOWN = "outcome_unknown"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    REVISION_CONFLICT = "revision_conflict"
    INVALID_CATALOGUE = "invalid_catalogue"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


HTTP_STATUS = {
    FailureCode.BAD_REQUEST: 400,
    FailureCode.BODY_TOO_LARGE: 413,
    FailureCode.UNAUTHENTICATED: 401,
    FailureCode.FORBIDDEN: 403,
    FailureCode.UNKNOWN_MODEL: 404,
    FailureCode.UNKNOWN_WORKSPACE: 404,
    FailureCode.UNKNOWN_SERVICE: 404,
    FailureCode.PROMPT_TOO_LONG: 400,
    FailureCode.LIMIT_EXCEEDED: 429,
    FailureCode.QUEUE_FULL: 503,
    FailureCode.DEADLINE_UNREACHABLE: 503,
    FailureCode.DEADLINE_EXCEEDED: 504,
    FailureCode.NO_ENDPOINT: 503,
    FailureCode.ENDPOINT_FAILED: 502,
    FailureCode.STREAM_CUT: 502,
    FailureCode.RETRY_BUDGET_SPENT: 503,
    FailureCode.DRAINING: 503,
    FailureCode.QUARANTINED: 422,
    FailureCode.KEY_CONFLICT: 409,
    FailureCode.OUTCOME_UNKNOWN: 409,
    FailureCode.PLATFORM_UNAVAILABLE: 503,
    FailureCode.REVISION_CONFLICT: 409,
    FailureCode.INVALID_CATALOGUE: 422,
    FailureCode.CANCELLED: 499,
    FailureCode.INTERNAL: 500,
}


@dataclasses.dataclass(slots=True, frozen=True)
class Failure:
    """Why something did not succeed, and whether the request may have run.

    Attributes:
      code: machine-readable reason.
      message: one human-readable sentence.
      verdict: whether the request may have run.
      retry_after_s: seconds after which a retry makes sense, or None.
    """

    code: FailureCode
    message: str
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN
    retry_after_s: float | None = None

    @property
    def http_status(self) -> int:
        """The HTTP status code of this failure."""
        return HTTP_STATUS[self.code]


class FailureError(Exception):
    """Wraps a ``Failure`` for code that reports errors by raising."""

    def __init__(self, failure: Failure):
        super().__init__(f"{failure.code.value}: {failure.message}")
        self.failure = failure
