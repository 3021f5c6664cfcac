"""Runs one placement: the attempts at the engines, straight down.

What an attempt holds at an engine (stream, memory, export) is owned by a
context and freed on every way out.
"""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses

from rhubarblock.core import attempt as attempts
from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.fleet import engineclient
from rhubarblock.kernel import timers as timer_service
from rhubarblock.relay import cleanup as cleanups
from rhubarblock.relay import cursor as cursors
from rhubarblock.relay import stalls
from rhubarblock.routing.placement import decision as placements
from rhubarblock.routing.placement import predictor

# Seconds without a token after which an engine counts as stalled.
TOKEN_PATIENCE_S = 3.0
# A first token may take this many times its nominal time, and a while more.
START_PATIENCE_RATIO = 4.0


class AttemptError(failures.FailureError):
    """An attempt failed at a certain endpoint."""

    def __init__(self, failure: failures.Failure, endpoint_id: str):
        super().__init__(failure)
        self.endpoint_id = endpoint_id


@dataclasses.dataclass(slots=True, frozen=True)
class Job:
    """One placement of a request that is to be run.

    Attributes:
      request: what the caller asked for.
      placement: where it runs.
      number: number of this try, from 1.
      owner: this instance, ``instance_id~incarnation``.
      cursor: place in the answer.
      on_prefill_done: called once the prompt has been computed.
    """

    request: requests.PromptRequest
    placement: placements.Placement
    number: int
    owner: str
    cursor: cursors.AnswerCursor
    on_prefill_done: Callable[[], None]

    @property
    def patience_s(self) -> float:
        """Seconds that the first token may take."""
        nominal_s = predictor.nominal_start(self.request.prompt_tokens)
        wait_s = self.placement.expected_wait_s
        return TOKEN_PATIENCE_S + START_PATIENCE_RATIO * (nominal_s + wait_s)

    def make_attempt(self, stage: str) -> attempts.Attempt:
        """Returns an attempt for the rest of the answer.

        Args:
          stage: short name that tells the attempts of one job apart.
        """
        request = self.request
        return attempts.Attempt(
            attempt_id=f"{request.request_id}/{self.number}{stage}",
            owner=self.owner,
            model=request.model,
            prompt=request.prompt,
            prompt_tokens=request.prompt_tokens,
            prefix_blocks=request.prefix_blocks,
            digest=request.digest,
            max_tokens=request.max_tokens,
            resume_from=self.cursor.next_index,
            priority=self.placement.priority,
        )


class AttemptRunner:
    """Runs jobs at the engines of a fleet."""

    __slots__ = ("_cleanup", "_client", "find_address", "_stalls", "_timers")

    def __init__(
        self,
        client: engineclient.EngineClient,
        find_address: Callable[[str], str],
        timers: timer_service.Timers,
        stall_watch: stalls.StallDetector,
        cleanup: cleanups.Cleanup,
    ):
        """Creates a runner.

        Args:
          client: way to the engines.
          find_address: gives the address of an endpoint id.
          timers: timer service.
          stall_watch: breaks off attempts without progress.
          cleanup: cancels what may be left at an engine.
        """
        self._client = client
        self.find_address = find_address
        self._timers = timers
        self._stalls = stall_watch
        self._cleanup = cleanup

    async def run(self, job: Job) -> None:
        """Runs a job until the caller has the whole answer.

        Raises:
          AttemptError: it failed; the cursor says how far it came.
        """
        rest = job.request.max_tokens - job.cursor.next_index
        if job.placement.segments:
            await self._run_group(job)
        elif job.placement.handed_over and rest > 1:
            await self._run_handed_over(job)
        else:
            await self._run_single(job)

    def _locate(self, endpoint_id: str) -> str:
        """Returns the address of an endpoint.

        Raises:
          AttemptError: it is not known here yet; another one may be.
        """
        try:
            return self.find_address(endpoint_id)
        except failures.FailureError as error:
            raise AttemptError(error.failure, endpoint_id) from error

    async def _run_single(self, job: Job) -> None:
        attempt = job.make_attempt("")
        await self._read_answer(job, attempt, job.placement.prefill_id)

    async def _run_handed_over(self, job: Job) -> None:
        prefill = job.make_attempt("p")
        prefill.max_tokens = job.cursor.next_index + 1
        prefill.export = True
        address = self._locate(job.placement.prefill_id)
        decode = job.make_attempt("d")
        decode.resume_from = prefill.max_tokens
        decode.sources = (
            attempts.KvSource(
                address,
                prefill.attempt_id,
                prefill.prompt_tokens + prefill.resume_from,
            ),
        )
        decode_stream = self._client.generate(
            self._locate(job.placement.decode_id), decode
        )
        async with self._own_export(address, prefill.attempt_id) as export:
            async with open_early(decode_stream) as chunks:
                await self._read_answer(job, prefill, job.placement.prefill_id)
                job.cursor.attempt_id = decode.attempt_id
                await self._read_stream(
                    job, chunks, job.placement.decode_id, TOKEN_PATIENCE_S
                )
            # The engine dropped the export itself once it had been read.
            export.dropped = True

    async def _run_group(self, job: Job) -> None:
        sources: tuple[attempts.KvSource, ...] = ()
        start = 0
        async with contextlib.AsyncExitStack() as stack:
            for number, segment in enumerate(job.placement.segments):
                attempt = job.make_attempt(f"s{number}")
                attempt.segment_end = segment.end
                attempt.sources = sources
                attempt.windowed = True
                attempt.export = True
                address = self._locate(segment.endpoint_id)
                await stack.enter_async_context(
                    self._own_export(address, attempt.attempt_id)
                )
                await self._read_answer(job, attempt, segment.endpoint_id)
                source = attempts.KvSource(
                    address, attempt.attempt_id, segment.end - start
                )
                sources = (*sources, source)
                start = segment.end
            last = job.make_attempt("")
            last.sources = sources
            last.windowed = True
            await self._read_answer(job, last, job.placement.prefill_id)

    async def _read_answer(
        self, job: Job, attempt: attempts.Attempt, endpoint_id: str
    ) -> None:
        address = self._locate(endpoint_id)
        job.cursor.attempt_id = attempt.attempt_id
        async with contextlib.aclosing(
            self._client.generate(address, attempt)
        ) as chunks:
            await self._read_stream(job, chunks, endpoint_id, job.patience_s)

    async def _read_stream(
        self,
        job: Job,
        chunks: AsyncIterator[attempts.Chunk],
        endpoint_id: str,
        patience_s: float,
    ) -> None:
        """Passes a stream on until its end mark."""
        read_monotonic = self._timers.read_monotonic
        try:
            async with self._stalls.guard(patience_s) as watch:
                async for chunk in chunks:
                    watch.awaits_engine = False
                    ended = await job.cursor.accept(chunk)
                    watch.note_progress(read_monotonic(), TOKEN_PATIENCE_S)
                    if chunk.count or ended:
                        job.on_prefill_done()
                    if ended:
                        return
            raise cursors.make_cut("it has no end mark")
        except failures.FailureError as error:
            raise AttemptError(error.failure, endpoint_id) from error

    @contextlib.asynccontextmanager
    async def _own_export(
        self, address: str, attempt_id: str
    ) -> AsyncIterator["Export"]:
        """Owns what an attempt keeps at an engine beyond its stream."""
        export = Export()
        try:
            yield export
        finally:
            if not export.dropped:
                self._cleanup.cancel_later(address, attempt_id)


@dataclasses.dataclass(slots=True)
class Export:
    """KV cache kept at an engine for another one.

    Attributes:
      dropped: whether the engine no longer keeps it.
    """

    dropped: bool = False


@contextlib.asynccontextmanager
async def open_early(
    stream: AsyncGenerator[attempts.Chunk, None],
) -> AsyncIterator[AsyncIterator[attempts.Chunk]]:
    """Opens a stream at once and reads it later.

    The engine imports KV cache from the moment the stream is opened, so that
    the copy overlaps the computation of the prompt.

    Args:
      stream: an async generator that was not started.

    Yields:
      The pieces, from the first one.
    """
    first = asyncio.ensure_future(anext(stream, None))

    async def read() -> AsyncGenerator[attempts.Chunk, None]:
        chunk = await first
        while chunk is not None:
            yield chunk
            chunk = await anext(stream, None)

    chunks = read()
    try:
        yield chunks
    finally:
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        await chunks.aclose()
        await stream.aclose()
