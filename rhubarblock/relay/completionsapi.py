"""The callers' HTTP API: ``POST /v1/completions`` and ``GET /v1/models``.

One handler task serves one call from its body to its last byte. aiohttp
cancels it when the caller disconnects, and the context managers of the relay
then release what the request holds.
"""

import json

from aiohttp import web
from returns import result

from rhubarblock.core import attempt as attempts
from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.relay import apierrors
from rhubarblock.relay import callcontext
from rhubarblock.relay import completion as completions
from rhubarblock.relay import events
from rhubarblock.relay import promptrelay
from rhubarblock.relay import prompts
from rhubarblock.relay import sink as sinks

REQUEST_ID_HEADER = "X-Request-Id"


class StreamSink(sinks.Sink):
    """Writes chunks to a caller as server-sent events.

    The response starts with the first chunk, so that a failure before it still
    gets its own HTTP status.

    Attributes:
      response: the response, or None before its start.
    """

    __slots__ = (
        "_created",
        "_event_start",
        "_http",
        "_request",
        "response",
    )

    def __init__(
        self, http: web.Request, request: requests.PromptRequest, created: int
    ):
        self._http = http
        self._request = request
        self._created = created
        self._event_start = events.make_chunk_event_start(
            request.request_id, created, request.model
        )
        self.response: web.StreamResponse | None = None

    async def write(self, chunk: attempts.Chunk) -> None:
        if chunk.raw and not chunk.end:
            # The text is already JSON-encoded.
            await self.send(
                self._event_start + chunk.raw + events.CHUNK_EVENT_END
            )
            return
        fields = events.describe_chunk(
            self._request.request_id, self._created, self._request.model, chunk
        )
        # `finish` sends the reason, once the relay has checked the answer.
        fields["choices"][0]["finish_reason"] = None
        await self.send(events.format_event(fields))

    async def send(self, data: bytes) -> None:
        """Writes bytes; blocks while the caller reads slowly."""
        if self.response is None:
            self.response = await self._start()
        await self.response.write(data)

    async def finish(
        self, completion: completions.Completion, include_usage: bool
    ) -> web.StreamResponse:
        """Ends the response of a whole answer, with its usage if asked for."""
        end = attempts.Chunk("", 0, 0, "", True, completion.finish_reason)
        request = self._request
        fields = events.describe_chunk(
            request.request_id, self._created, request.model, end
        )
        data = events.format_event(fields)
        if include_usage:
            fields["choices"] = []
            fields["usage"] = events.describe_usage(completion)
            data += events.format_event(fields)
        await self.send(data + events.DONE)
        assert self.response is not None
        await self.response.write_eof()
        return self.response

    async def fail(self, failure: failures.Failure) -> web.StreamResponse:
        """Ends an incomplete answer with an error event and without DONE."""
        if self.response is None:
            return apierrors.make_response(failure)
        fields = apierrors.describe(failure)
        await self.response.write(events.format_event(fields))
        await self.response.write_eof()
        return self.response

    async def _start(self) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-cache",
                REQUEST_ID_HEADER: self._request.request_id,
            }
        )
        await response.prepare(self._http)
        return response


class CompletionsApi:
    """Handlers of the completions API."""

    __slots__ = ("_context", "_relay")

    def __init__(
        self,
        relay: promptrelay.PromptRelay,
        context: callcontext.CallContext,
    ):
        """Creates the handlers.

        Args:
          relay: serves prompts.
          context: authentication, catalogue, clock and ids.
        """
        self._relay = relay
        self._context = context

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes to an application."""
        app.router.add_post("/v1/completions", self.complete)
        app.router.add_get("/v1/models", self.list_models)

    async def complete(self, http: web.Request) -> web.StreamResponse:
        """Handles one completions call."""
        try:
            credential = self._context.find_caller(http)
            call = prompts.parse_call(await http.read())
            timeout_s = self._context.read_timeout(http)
            request = prompts.make_request(
                call,
                self._context.make_id(),
                credential,
                self._context.catalogue(),
                self._context.timers.read_monotonic(),
                timeout_s,
            )
        except failures.FailureError as error:
            return apierrors.make_response(error.failure)
        if call.stream:
            return await self._serve_stream(http, request, call.include_usage)
        return await self._serve_whole(request)

    async def _serve_stream(
        self,
        http: web.Request,
        request: requests.PromptRequest,
        include_usage: bool,
    ) -> web.StreamResponse:
        created = int(self._context.timers.read_wall())
        sink = StreamSink(http, request, created)
        outcome = await self._relay.complete(request, sink)
        if isinstance(outcome, result.Success):
            return await sink.finish(outcome.unwrap(), include_usage)
        return await sink.fail(outcome.failure())

    async def _serve_whole(
        self, request: requests.PromptRequest
    ) -> web.StreamResponse:
        sink = sinks.MemorySink()
        outcome = await self._relay.complete(request, sink)
        if isinstance(outcome, result.Failure):
            return apierrors.make_response(outcome.failure())
        fields = events.describe_completion(
            request.request_id,
            int(self._context.timers.read_wall()),
            request.model,
            sink.join_text(),
            outcome.unwrap(),
        )
        return web.Response(
            text=json.dumps(fields),
            content_type="application/json",
            headers={REQUEST_ID_HEADER: request.request_id},
        )

    async def list_models(self, http: web.Request) -> web.StreamResponse:
        """Lists the models that the caller's workspace may use."""
        try:
            credential = self._context.find_caller(http)
        except failures.FailureError as error:
            return apierrors.make_response(error.failure)
        catalogue = self._context.catalogue()
        workspace = catalogue.workspaces.get(credential.workspace)
        names = workspace.models if workspace else ()
        listed = [
            {"id": name, "object": "model", "created": 0, "owned_by": x.owner}
            for name, x in sorted(catalogue.models.items())
            if not names or name in names
        ]
        return web.json_response({"object": "list", "data": listed})
