"""HTTP client of plain services.

Every error carries a verdict. It is NOT_RUN only if the call provably never
reached the service, or if the service itself declares that it did not run.
"""

import collections

import aiohttp

from rhubarblock.core import failure as failures
from rhubarblock.core import jsontext
from rhubarblock.core import request as requests
from rhubarblock.core import verdict as verdicts
from rhubarblock.fleet import serviceclient
from rhubarblock.httpclient import reading
from rhubarblock.kernel import timers as timer_service
from rhubarblock.store import sendonce

ATTEMPT_HEADER = "X-Attempt-Id"
REQUEST_HEADER = "X-Request-Id"
INSTITUTION_HEADER = "X-Institution"
WORKSPACE_HEADER = "X-Workspace"
KEY_HEADER = "Idempotency-Key"

CONNECT_TIMEOUT_S = 2.0
# Largest response body that is forwarded.
MAX_ANSWER_BYTES = 8_000_000

_Code = failures.FailureCode
_Verdict = verdicts.Verdict


class HttpServiceClient(serviceclient.ServiceClient):
    """Sends calls over HTTP, each at most once.

    Attributes:
      counters: ``calls``, and ``crossed``: responses rejected because they did
        not echo the id of the attempt.
    """

    __slots__ = ("_require_echo", "_session", "_timers", "counters")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        timers: timer_service.Timers,
        require_echo: bool = True,
    ):
        """Creates a client.

        Args:
          session: HTTP session, owned by the caller.
          timers: timer service.
          require_echo: whether a response without an attempt id is rejected.
        """
        self._session = session
        self._timers = timers
        self._require_echo = require_echo
        self.counters: collections.Counter[str] = collections.Counter()

    async def send(
        self, address: str, call: requests.ServiceCall, attempt_id: str
    ) -> requests.ServiceAnswer:
        self.counters["calls"] += 1
        remaining_s = call.deadline_s - self._timers.read_monotonic()
        if remaining_s <= 0:
            raise _make_error(
                _Code.DEADLINE_EXCEEDED,
                "the deadline passed before the call was sent",
                _Verdict.NOT_RUN,
            )
        try:
            return await self._exchange(address, call, attempt_id, remaining_s)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            # Without a connection, nothing of the call was sent.
            raise _make_error(
                _Code.ENDPOINT_FAILED,
                reading.describe_error(error),
                _Verdict.NOT_RUN,
            ) from error
        except TimeoutError as error:
            raise _make_error(
                _Code.DEADLINE_EXCEEDED,
                "no answer before the deadline",
                _Verdict.MAY_HAVE_RUN,
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise _make_error(
                _Code.ENDPOINT_FAILED,
                reading.describe_error(error),
                _Verdict.MAY_HAVE_RUN,
            ) from error

    async def _exchange(
        self,
        address: str,
        call: requests.ServiceCall,
        attempt_id: str,
        remaining_s: float,
    ) -> requests.ServiceAnswer:
        timeout = aiohttp.ClientTimeout(
            total=remaining_s, sock_connect=min(remaining_s, CONNECT_TIMEOUT_S)
        )
        async with self._session.request(
            call.method,
            f"http://{address}{call.path}",
            data=call.body or None,
            headers=_make_headers(call, attempt_id),
            timeout=timeout,
            allow_redirects=False,
            middlewares=(sendonce.send_once,),
        ) as response:
            self._check_echo(response, attempt_id)
            body = await reading.read_body(response, MAX_ANSWER_BYTES)
            _check_refusal(response, body)
            return requests.ServiceAnswer(
                response.status, body, response.content_type
            )

    def _check_echo(
        self, response: aiohttp.ClientResponse, attempt_id: str
    ) -> None:
        echoed = response.headers.get(ATTEMPT_HEADER)
        if echoed == attempt_id:
            return
        if echoed is None and not self._require_echo:
            return
        self.counters["crossed"] += 1
        raise _make_error(
            _Code.ENDPOINT_FAILED,
            "the answer belongs to another attempt",
            _Verdict.MAY_HAVE_RUN,
        )


def _make_headers(
    call: requests.ServiceCall, attempt_id: str
) -> dict[str, str]:
    headers = {
        ATTEMPT_HEADER: attempt_id,
        REQUEST_HEADER: call.request_id,
        INSTITUTION_HEADER: call.institution,
        WORKSPACE_HEADER: call.workspace,
        "Content-Type": call.content_type,
    }
    if call.idempotency_key is not None:
        headers[KEY_HEADER] = call.idempotency_key
    return headers


def _check_refusal(response: aiohttp.ClientResponse, body: bytes) -> None:
    if response.status != 503:
        return
    try:
        fields = jsontext.load(body)
    except ValueError:
        return
    if isinstance(fields, dict) and fields.get("verdict") == "NOT_RUN":
        raise _make_error(
            _Code.ENDPOINT_FAILED,
            "the endpoint refused the call",
            _Verdict.NOT_RUN,
        )


def _make_error(
    code: failures.FailureCode, message: str, verdict: verdicts.Verdict
) -> failures.FailureError:
    return failures.FailureError(failures.Failure(code, message, verdict))
