"""Errors of the administration API as JSON.

Every error has one form, ``{"error": {...}}``, which says whether the act may
have taken effect.
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

# Methods that change nothing, whatever goes wrong.
_READING_METHODS = ("GET", "HEAD", "OPTIONS")


class ApiError(failures.FailureError):
    """A failure with details for machines.

    Attributes:
      details: JSON values, such as one object for each catalogue error.
      conflict: both sides of a conflict as a JSON object, or None.
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
    """Returns the error of an act that was not begun."""
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


def _translate_http(error: web.HTTPException) -> web.Response:
    """Gives the library's own refusals (path, method, size) our form."""
    failure = apierrors.convert_http_error(error)
    return _respond(failures.FailureError(failure), error.status)


def _translate_bug(request: web.Request) -> web.Response:
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    if request.method in _READING_METHODS:
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
    """Middleware that turns what a handler raises into the error form."""
    try:
        return await handler(request)
    except failures.FailureError as error:
        return _respond(error)
    except web.HTTPException as error:
        return _translate_http(error)
    except Exception:
        _logger.exception("unexpected error", extra={"path": request.path})
        return _translate_bug(request)
