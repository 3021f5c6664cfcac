"""Error responses of the callers' API.

They have the usual form of completions APIs, with the verdict beside the code:
``{"error": {"message", "type", "param", "code", "verdict", "retry_after_s"}}``.
"""

import json
import math
from typing import Any

from aiohttp import web

from rhubarblock.core import failure as failures

VERDICT_HEADER = "X-Verdict"
_CLIENT_ERROR_LIMIT = 500


def describe(failure: failures.Failure) -> dict[str, Any]:
    """Returns a failure as a JSON object."""
    client_error = failure.http_status < _CLIENT_ERROR_LIMIT
    kind = "invalid_request_error" if client_error else "server_error"
    return {
        "error": {
            "message": failure.message,
            "type": kind,
            "param": None,
            "code": failure.code.value,
            "verdict": failure.verdict.value,
            "retry_after_s": failure.retry_after_s,
        }
    }


def make_response(failure: failures.Failure) -> web.Response:
    """Returns a failure as an HTTP response."""
    headers = {VERDICT_HEADER: failure.verdict.value}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(failure.retry_after_s))
    return web.Response(
        status=failure.http_status,
        headers=headers,
        text=json.dumps(describe(failure)),
        content_type="application/json",
    )


def convert_http_error(error: web.HTTPException) -> failures.Failure:
    """Returns an HTTP exception of aiohttp as a failure."""
    code = failures.FailureCode.BAD_REQUEST
    if error.status == web.HTTPRequestEntityTooLarge.status_code:
        code = failures.FailureCode.BODY_TOO_LARGE
    return failures.Failure(code, error.text or error.reason)


def make_rejection(
    code: failures.FailureCode, message: str
) -> failures.FailureError:
    """Returns the error of a request that is rejected before it is sent."""
    return failures.FailureError(failures.Failure(code, message))
