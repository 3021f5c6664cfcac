"""Errors of the administration API as JSON.

Every error has the format ``{"error": {...}}``; its verdict says whether the
request may have taken effect.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import logging
from typing import Any

from aiohttp import web

from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.relay import apierrors

_logger = logging.getLogger(__name__)

# Safe methods in the sense of HTTP: they change no state, so a failed request
# had no effect.
_SAFE_METHODS = ("GET", "HEAD", "OPTIONS")


class ApiError(failures.FailureError):
    """A failure with machine-readable details.

    Attributes:
      details: JSON values, such as one object for each catalogue error.
      conflict: JSON object with both sides of a revision conflict, or None.
    """

    def __init__(
        self,
        failure: failures.Failure,
        details: tuple[Any, ...] = (),
        conflict: dict[str, Any] | None = None,
    ):
        super().__init__(failure)
        self.details = details
        self.conflict = conflict


def refuse(code: failures.FailureCode, message: str) -> ApiError:
    """Returns the error of a request that was rejected before it had effect."""
    return ApiError(failures.Failure(code, message))


def build_error_document(error: failures.FailureError) -> dict[str, Any]:
    """Returns the JSON object of an error."""
    failure = error.failure
    document: dict[str, Any] = {
        "code": failure.code.value,
        "message": failure.message,
        "verdict": failure.verdict.value,
        "retry_after_s": failure.retry_after_s,
        "details": [],
    }
    if isinstance(error, ApiError):
        document["details"] = list(error.details)
        if error.conflict is not None:
            document["conflict"] = error.conflict
    return {"error": document}


def _respond(
    error: failures.FailureError, status: int | None = None
) -> web.Response:
    failure = error.failure
    headers = {}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(failure.retry_after_s)))
    return web.json_response(
        build_error_document(error),
        status=status or failure.http_status,
        headers=headers,
    )


def _respond_http_error(error: web.HTTPException) -> web.Response:
    """Converts errors that the HTTP library raises (path, method, size)."""
    failure = apierrors.convert_http_error(error)
    return _respond(failures.FailureError(failure), error.status)


def _respond_internal_error(request: web.Request) -> web.Response:
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    if request.method in _SAFE_METHODS:
        verdict = verdicts.Verdict.NOT_RUN
    failure = failures.Failure(
        failures.FailureCode.INTERNAL, "unexpected error; see the log", verdict
    )
    return _respond(failures.FailureError(failure))


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@web.middleware
async def answer_errors(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Middleware that converts exceptions of handlers to the error format."""
    try:
        return await handler(request)
    except failures.FailureError as error:
        return _respond(error)
    except web.HTTPException as error:
        return _respond_http_error(error)
    except Exception:
        _logger.exception("unexpected error", extra={"path": request.path})
        return _respond_internal_error(request)
