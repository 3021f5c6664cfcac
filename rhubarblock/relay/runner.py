"""Runs the job of one placement: its attempts at the engines, in sequence.

What an attempt holds at an engine (stream, memory, exported KV cache) belongs
to a context manager that frees it however the job ends.
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

# Longest time between two tokens in seconds; then the engine has stalled.
TOKEN_TIMEOUT_S = 3.0
# The first token may take this multiple of its predicted time, the expected
# wait included, in addition to TOKEN_TIMEOUT_S.
FIRST_TOKEN_TIMEOUT_RATIO = 4.0


class AttemptError(failures.FailureError):
    """The failure of an attempt and the endpoint at which it failed."""

    def __init__(self, failure: failures.Failure, endpoint_id: str):
        super().__init__(failure)
        self.endpoint_id = endpoint_id


@dataclasses.dataclass(slots=True, frozen=True)
class Job:
    """One run of a request at one placement.

    Attributes:
      request: request of the caller.
      placement: engines that run it.
      number: number of its try within the request, from 1.
      owner: this instance, ``instance_id~incarnation``.
      cursor: position in the answer.
      on_prefill_done: called for each chunk with tokens and at the end of each
        stream. The prefill is done once the cursor has moved.
    """

    request: requests.PromptRequest
    placement: placements.Placement
    number: int
    owner: str
    cursor: cursors.AnswerCursor
    on_prefill_done: Callable[[], None]

    @property
    def first_token_timeout_s(self) -> float:
        """Longest time until the first token, in seconds."""
        nominal_s = predictor.nominal_start(self.request.prompt_tokens)
        wait_s = self.placement.expected_wait_s
        return TOKEN_TIMEOUT_S + FIRST_TOKEN_TIMEOUT_RATIO * (
            nominal_s + wait_s
        )

    def make_attempt(self, stage: str) -> attempts.Attempt:
        """Returns an attempt for the rest of the answer.

        Args:
          stage: suffix that distinguishes the attempts of one job.
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
    """Runs jobs at the engines of a fleet.

    Attributes:
      find_address: returns the address of an endpoint id.
    """

    __slots__ = (
        "_cleanup",
        "_client",
        "find_address",
        "_stall_detector",
        "_timers",
    )

    def __init__(
        self,
        client: engineclient.EngineClient,
        find_address: Callable[[str], str],
        timers: timer_service.Timers,
        stall_detector: stalls.StallDetector,
        cleanup: cleanups.Cleanup,
    ):
        """Creates a runner.

        Args:
          client: client of the engines.
          find_address: returns the address of an endpoint id.
          timers: timer service.
          stall_detector: aborts attempts without progress.
          cleanup: cancels attempts that may still hold resources.
        """
        self._client = client
        self.find_address = find_address
        self._timers = timers
        self._stall_detector = stall_detector
        self._cleanup = cleanup

    async def run(self, job: Job) -> None:
        """Runs a job until the caller has the whole answer.

        Raises:
          AttemptError: the job failed; the cursor holds the tokens delivered.
        """
        remaining = job.request.max_tokens - job.cursor.next_index
        if job.placement.segments:
            await self._run_group(job)
        elif job.placement.handed_over and remaining > 1:
            await self._run_handed_over(job)
        else:
            await self._run_single(job)

    def _locate(self, endpoint_id: str) -> str:
        """Returns the address of an endpoint.

        Raises:
          AttemptError: this instance does not have the endpoint's address yet.
            This counts as a failed attempt, so that the retry uses another
            endpoint.
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
        async with self._hold_export(address, prefill.attempt_id) as export:
            async with open_eagerly(decode_stream) as chunks:
                await self._read_answer(job, prefill, job.placement.prefill_id)
                job.cursor.attempt_id = decode.attempt_id
                await self._read_stream(
                    job, chunks, job.placement.decode_id, TOKEN_TIMEOUT_S
                )
            # The decode engine has read the export, so the prefill engine has
            # freed it.
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
                    self._hold_export(address, attempt.attempt_id)
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
            await self._read_stream(
                job, chunks, endpoint_id, job.first_token_timeout_s
            )

    async def _read_stream(
        self,
        job: Job,
        chunks: AsyncIterator[attempts.Chunk],
        endpoint_id: str,
        timeout_s: float,
    ) -> None:
        """Forwards a stream to the cursor until its end mark.

        Args:
          job: the job.
          chunks: chunks of the stream.
          endpoint_id: engine that sends it.
          timeout_s: longest time until the first chunk, in seconds.

        Raises:
          AttemptError: the stream stalled, failed or is incomplete.
        """
        read_monotonic = self._timers.read_monotonic
        try:
            async with self._stall_detector.watch_progress(timeout_s) as watch:
                async for chunk in chunks:
                    watch.awaits_engine = False
                    ended = await job.cursor.accept(chunk)
                    watch.note_progress(read_monotonic(), TOKEN_TIMEOUT_S)
                    if chunk.count or ended:
                        job.on_prefill_done()
                    if ended:
                        return
            raise cursors.make_stream_cut_error("it has no end mark")
        except failures.FailureError as error:
            raise AttemptError(error.failure, endpoint_id) from error

    @contextlib.asynccontextmanager
    async def _hold_export(
        self, address: str, attempt_id: str
    ) -> AsyncIterator["Export"]:
        """Cancels an exporting attempt on exit, unless its export was freed.

        An export outlives its stream: the engine keeps the KV cache until
        another engine has read it.
        """
        export = Export()
        try:
            yield export
        finally:
            if not export.dropped:
                self._cleanup.cancel_later(address, attempt_id)


@dataclasses.dataclass(slots=True)
class Export:
    """KV cache that an engine keeps for another one to read.

    Attributes:
      dropped: whether the engine has freed it.
    """

    dropped: bool = False


@contextlib.asynccontextmanager
async def open_eagerly(
    stream: AsyncGenerator[attempts.Chunk, None],
) -> AsyncIterator[AsyncIterator[attempts.Chunk]]:
    """Opens a stream before its chunks are read.

    The engine starts to import KV cache when the stream is opened, so that the
    transfer overlaps the prefill.

    Args:
      stream: an async generator that was not started.

    Yields:
      All chunks of the stream.
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
