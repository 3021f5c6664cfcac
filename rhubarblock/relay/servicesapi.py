"""The callers' HTTP API of services: ``/v1/services/<service>/<path>``."""

import hashlib
from urllib import parse

from aiohttp import web
from returns import result

from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.core import verdict as verdicts
from rhubarblock.kernel import lifecycle as lifecycles
from rhubarblock.relay import apierrors
from rhubarblock.relay import callcontext
from rhubarblock.relay import callers
from rhubarblock.relay import servicecalls
from rhubarblock.routing import limits

KEY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "X-Idempotent-Replay"
MAX_KEY_LENGTH = 255
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
# Number of slashes in ``/v1/services/<service>/``.
_PATH_DEPTH = 4


class ServicesApi:
    """Handlers of calls to plain services."""

    __slots__ = ("_caller", "_context", "_lifecycle", "_limiter")

    def __init__(
        self,
        caller: servicecalls.ServiceCaller,
        limiter: limits.Limiter,
        lifecycle: lifecycles.InstanceLifecycle,
        context: callcontext.CallContext,
    ):
        """Creates the handlers.

        Args:
          caller: sends calls to endpoints.
          limiter: limits of institutions and workspaces.
          lifecycle: state of this instance.
          context: authentication, catalogue, clock and ids.
        """
        self._caller = caller
        self._limiter = limiter
        self._lifecycle = lifecycle
        self._context = context

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes to an application."""
        app.router.add_route("*", "/v1/services/{service}/{path:.*}", self.call)

    async def call(self, http: web.Request) -> web.StreamResponse:
        """Handles one call to a service."""
        try:
            with self._lifecycle.begin_request():
                return await self._serve(http)
        except failures.FailureError as error:
            return apierrors.make_response(error.failure)

    async def _serve(self, http: web.Request) -> web.StreamResponse:
        call = await self._read_call(http)
        admitted = self._limiter.admit(
            call.institution,
            call.workspace,
            requests.RequestClass.INTERACTIVE,
            0,
            False,
        )
        if isinstance(admitted, result.Failure):
            return apierrors.make_response(admitted.failure())
        ticket = admitted.unwrap()
        try:
            outcome = await self._caller.call(call)
        finally:
            ticket.close()
        if isinstance(outcome, result.Failure):
            return apierrors.make_response(outcome.failure())
        answer = outcome.unwrap()
        headers = {
            apierrors.VERDICT_HEADER: verdicts.Verdict.RAN.value,
            "Content-Type": answer.content_type,
        }
        if answer.replayed:
            headers[REPLAYED_HEADER] = "true"
        return web.Response(
            status=answer.status, body=answer.body, headers=headers
        )

    async def _read_call(self, http: web.Request) -> requests.ServiceCall:
        credential = self._context.find_caller(http)
        catalogue = self._context.catalogue()
        service = _find_service(
            http.match_info["service"], credential, catalogue
        )
        timeout_s = self._context.read_timeout(http)
        key = _read_key(http.headers.get(KEY_HEADER))
        path = _read_path(http)
        body = await http.read()
        return requests.ServiceCall(
            request_id=self._context.make_id(),
            institution=credential.institution,
            workspace=credential.workspace,
            service=service.name,
            method=http.method,
            path=path,
            body=body,
            digest=_digest_call(service.name, http.method, path, body),
            idempotent=_is_idempotent(service, http.method, path),
            idempotency_key=key,
            deadline_s=self._context.timers.read_monotonic() + timeout_s,
            content_type=http.headers.get("Content-Type", "application/json"),
        )


def _find_service(
    name: str,
    credential: catalogues.Credential,
    catalogue: catalogues.Catalogue,
) -> catalogues.Service:
    """Returns a service that a caller may use.

    Raises:
      failures.FailureError: UNKNOWN_WORKSPACE or UNKNOWN_SERVICE; NOT_RUN.
    """
    workspace = callers.find_workspace(credential, catalogue)
    service = catalogue.services.get(name)
    plain = (
        service is not None and service.kind is endpoints.EndpointKind.SERVICE
    )
    allowed = not workspace.services or name in workspace.services
    if service is None or not plain or not allowed:
        raise apierrors.make_rejection(
            failures.FailureCode.UNKNOWN_SERVICE,
            f"service {name!r} is not known to this workspace",
        )
    return service


def _read_key(key: str | None) -> str | None:
    """Returns the idempotency key of a call, if it has one.

    Only printable ASCII is allowed, because the key is sent on in a header and
    identifies the stored claim, and must be the same text in both.
    """
    if key is None:
        return None
    printable = key.isascii() and key.isprintable()
    if not printable or not 0 < len(key) <= MAX_KEY_LENGTH:
        raise apierrors.make_rejection(
            failures.FailureCode.BAD_REQUEST,
            f"{KEY_HEADER} must have 1 to {MAX_KEY_LENGTH} printable ASCII "
            "characters",
        )
    return key


def _read_path(http: web.Request) -> str:
    """Returns path and query below the service, still percent-encoded.

    Dot segments are refused: a service that resolves them would run another
    path than the one that was looked up in ``idempotent_paths``.
    """
    path = "/" + http.rel_url.raw_path.split("/", _PATH_DEPTH)[_PATH_DEPTH]
    segments = parse.unquote(path).split("/")
    if any(segment in (".", "..") for segment in segments):
        raise apierrors.make_rejection(
            failures.FailureCode.BAD_REQUEST,
            "the path must not hold '.' or '..' segments",
        )
    query = http.rel_url.raw_query_string
    return f"{path}?{query}" if query else path


def _is_idempotent(service: catalogues.Service, method: str, path: str) -> bool:
    if method in _SAFE_METHODS:
        return True
    path = path.partition("?")[0]
    return any(
        path == prefix or path.startswith(prefix.removesuffix("/") + "/")
        for prefix in service.idempotent_paths
    )


def _digest_call(service: str, method: str, path: str, body: bytes) -> str:
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{service}\n{method}\n{path}\n".encode())
    digest.update(body)
    return digest.hexdigest()
