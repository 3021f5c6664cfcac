"""Import of KV cache: how an engine reads the sources of an attempt."""

import asyncio
from collections.abc import Callable
import contextlib

from rhubarblock.core import attempt as attempts
from rhubarblock.core import failure as failures
from rhubarblock.standins.engine import exports as engineexport
from rhubarblock.standins.engine import request as enginerequest

_READY = Callable[[enginerequest.EngineRequest], None]
_FAIL = Callable[[enginerequest.EngineRequest, failures.Failure], None]


class Importer:
    """Reads sources in tasks that the request owns."""

    __slots__ = ("_fail", "_ready", "_transport", "_wake")

    def __init__(
        self,
        transport: Callable[[], engineexport.KvTransport],
        ready: _READY,
        fail: _FAIL,
        wake: Callable[[], None],
    ):
        """Creates the importer of one start of an engine.

        Args:
          transport: returns what reads the exports of other engines.
          ready: called when a request's sources are copied, or computed if it
            reads them in windows.
          fail: called when a source is lost.
          wake: called when a source that stood still goes on.
        """
        self._transport = transport
        self._ready = ready
        self._fail = fail
        self._wake = wake

    def start(self, request: enginerequest.EngineRequest) -> None:
        """Starts to read the sources of a request that holds its memory."""
        if request.windowed:
            self._follow_all(request, engineexport.ReadMode.WINDOW)
        else:
            request.tasks.append(asyncio.ensure_future(self._copy(request)))

    def start_decode(self, request: enginerequest.EngineRequest) -> None:
        """Lets the sources know that the request decodes from now on."""
        self._follow_all(request, engineexport.ReadMode.DECODE)

    def _follow_all(
        self,
        request: enginerequest.EngineRequest,
        mode: engineexport.ReadMode,
    ) -> None:
        for source in request.attempt.sources:
            task = asyncio.ensure_future(self._follow(request, source, mode))
            request.tasks.append(task)

    async def _follow(
        self,
        request: enginerequest.EngineRequest,
        source: attempts.KvSource,
        mode: engineexport.ReadMode,
    ) -> None:
        wanted = engineexport.ReadRequest(source.handle, mode)
        failure = engineexport.make_lost_failure(source.handle)
        events = self._transport().read_kv(source.address, wanted)
        try:
            async with contextlib.aclosing(events):
                async for event in events:
                    self._note(request, mode, event)
        except failures.FailureError as error:
            failure = error.failure
        # A source that is read in windows has no end of its own.
        self._fail(request, failure)

    def _note(
        self,
        request: enginerequest.EngineRequest,
        mode: engineexport.ReadMode,
        event: engineexport.ReadEvent,
    ) -> None:
        if event is engineexport.ReadEvent.STALLED:
            request.stalled += 1
        elif event is engineexport.ReadEvent.RESUMED:
            request.stalled -= 1
            self._wake()
        elif mode is engineexport.ReadMode.WINDOW:
            request.sources_left -= 1
            if request.sources_left == 0:
                self._ready(request)

    async def _copy(self, request: enginerequest.EngineRequest) -> None:
        cached = request.position
        start = 0
        for source in request.attempt.sources:
            end = start + source.tokens
            tokens = max(0, end - max(start, cached))
            start = end
            failure = await self._copy_source(source, tokens)
            if failure is not None:
                self._fail(request, failure)
                return
        self._ready(request)

    async def _copy_source(
        self, source: attempts.KvSource, tokens: int
    ) -> failures.Failure | None:
        wanted = engineexport.ReadRequest(
            source.handle, engineexport.ReadMode.COPY, tokens
        )
        events = self._transport().read_kv(source.address, wanted)
        try:
            async with contextlib.aclosing(events):
                async for event in events:
                    if event is engineexport.ReadEvent.COPIED:
                        return None
        except failures.FailureError as error:
            return error.failure
        return engineexport.make_lost_failure(source.handle)
