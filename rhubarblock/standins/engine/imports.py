"""Import of KV cache from the engines that hold the sources of an attempt."""

import asyncio
from collections.abc import Callable
import contextlib

from rhubarblock.core import attempt as attempts
from rhubarblock.core import failure as failures
from rhubarblock.standins.engine import exports as engineexport
from rhubarblock.standins.engine import request as enginerequest

_ReadyCallback = Callable[[enginerequest.EngineRequest], None]
_FailureCallback = Callable[
    [enginerequest.EngineRequest, failures.Failure], None
]


class Importer:
    """Reads the sources of requests, in tasks stored on each request."""

    __slots__ = ("_on_failure", "_on_ready", "_on_resume", "_transport")

    def __init__(
        self,
        transport: Callable[[], engineexport.KvTransport],
        on_ready: _ReadyCallback,
        on_failure: _FailureCallback,
        on_resume: Callable[[], None],
    ):
        """Creates the importer of one run of an engine.

        Args:
          transport: returns the transport that reads the exports of other
            engines.
          on_ready: called when a request's sources are copied, or, if it reads
            them in windows, computed.
          on_failure: called when a source is lost.
          on_resume: called when the engine of a source resumes after a pause.
        """
        self._transport = transport
        self._on_ready = on_ready
        self._on_failure = on_failure
        self._on_resume = on_resume

    def start(self, request: enginerequest.EngineRequest) -> None:
        """Starts reading the sources of a request that has its memory."""
        if request.windowed:
            self._watch_sources(request, engineexport.ReadMode.WINDOW)
        else:
            request.tasks.append(asyncio.ensure_future(self._copy(request)))

    def start_decode_reads(self, request: enginerequest.EngineRequest) -> None:
        """Registers the request with its sources as a decoding reader."""
        self._watch_sources(request, engineexport.ReadMode.DECODE)

    def _watch_sources(
        self,
        request: enginerequest.EngineRequest,
        mode: engineexport.ReadMode,
    ) -> None:
        for source in request.attempt.sources:
            task = asyncio.ensure_future(
                self._watch_source(request, source, mode)
            )
            request.tasks.append(task)

    async def _watch_source(
        self,
        request: enginerequest.EngineRequest,
        source: attempts.KvSource,
        mode: engineexport.ReadMode,
    ) -> None:
        read_request = engineexport.ReadRequest(source.handle, mode)
        failure = engineexport.make_lost_failure(source.handle)
        events = self._transport().read_kv(source.address, read_request)
        try:
            async with contextlib.aclosing(events):
                async for event in events:
                    self._handle_event(request, mode, event)
        except failures.FailureError as error:
            failure = error.failure
        # These reads only end when they are cancelled or the source is lost.
        self._on_failure(request, failure)

    def _handle_event(
        self,
        request: enginerequest.EngineRequest,
        mode: engineexport.ReadMode,
        event: engineexport.ReadEvent,
    ) -> None:
        if event is engineexport.ReadEvent.STALLED:
            request.stalled_sources += 1
        elif event is engineexport.ReadEvent.RESUMED:
            request.stalled_sources -= 1
            self._on_resume()
        elif mode is engineexport.ReadMode.WINDOW:
            request.pending_sources -= 1
            if request.pending_sources == 0:
                self._on_ready(request)

    async def _copy(self, request: enginerequest.EngineRequest) -> None:
        cached = request.position
        start = 0
        for source in request.attempt.sources:
            end = start + source.tokens
            tokens = max(0, end - max(start, cached))
            start = end
            failure = await self._copy_source(source, tokens)
            if failure is not None:
                self._on_failure(request, failure)
                return
        self._on_ready(request)

    async def _copy_source(
        self, source: attempts.KvSource, tokens: int
    ) -> failures.Failure | None:
        read_request = engineexport.ReadRequest(
            source.handle, engineexport.ReadMode.COPY, tokens
        )
        events = self._transport().read_kv(source.address, read_request)
        try:
            async with contextlib.aclosing(events):
                async for event in events:
                    if event is engineexport.ReadEvent.COPIED:
                        return None
        except failures.FailureError as error:
            return error.failure
        return engineexport.make_lost_failure(source.handle)
