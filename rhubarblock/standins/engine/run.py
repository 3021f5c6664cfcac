"""One run of the stand-in engine, from a start to its crash or restart.

It holds all state that the engine loses with its process. A single task runs
the iterations while there is work and then ends, so an idle engine costs
nothing.
"""

import asyncio

from rhubarblock.core import attempt as attempts
from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.standins.engine import batch as enginebatch
from rhubarblock.standins.engine import cache as enginecache
from rhubarblock.standins.engine import context as enginecontext
from rhubarblock.standins.engine import cost as enginecost
from rhubarblock.standins.engine import exports as engineexport
from rhubarblock.standins.engine import imports as engineimport
from rhubarblock.standins.engine import memory as enginememory
from rhubarblock.standins.engine import output as engineoutput
from rhubarblock.standins.engine import request as enginerequest
from rhubarblock.standins.engine import settings as enginesettings

_Phase = enginerequest.Phase

# Longest delay that the next iteration catches up. It is planned from the
# planned end of the previous one, so that a slow machine does not slow down the
# engine, but from no earlier than this long ago.
_MAX_CATCH_UP_S = 0.05


class EngineRun:
    """Attempts, memory and iterations of one run.

    Attributes:
      start_id: id of this run; changes with each start.
      role: current role.
      requests: attempts that wait or hold memory, by id.
      prefill_tokens: prompt tokens still to be computed.
      cache_events: published events of the prefix cache.
    """

    __slots__ = (
        "_arrival_count",
        "_arrival_events",
        "_attempt_ids",
        "_batch",
        "_context",
        "_exports",
        "_importer",
        "_iteration_end_s",
        "_memory",
        "_output",
        "_previous_end_s",
        "_stopped",
        "_task",
        "cache_events",
        "prefill_tokens",
        "requests",
        "role",
        "start_id",
    )

    def __init__(self, start_id: str, context: enginecontext.RunContext):
        self.start_id = start_id
        self.role = context.settings.role
        self.requests: dict[str, enginerequest.EngineRequest] = {}
        self.prefill_tokens = 0
        self.cache_events = enginecache.CacheEventLog(
            context.timers, context.rng, context.settings
        )
        self._context = context
        self._memory = enginememory.KvMemory(
            context.settings.kv_tokens,
            enginecache.PrefixCache(self.cache_events.append),
        )
        self._batch = enginebatch.Batch()
        self._importer = engineimport.Importer(
            lambda: context.transport,
            self._continue_imported,
            self.fail,
            self._ensure_running,
        )
        self._output = engineoutput.Output(
            context, self._finish_attempt, self._remove
        )
        self._exports: dict[str, engineexport.Export] = {}
        self._arrival_events: dict[str, asyncio.Event] = {}
        self._attempt_ids: tuple[str, ...] | None = ()
        self._arrival_count = 0
        self._task: asyncio.Task[None] | None = None
        self._stopped = False
        self._previous_end_s = 0.0  # Planned end of the previous iteration.
        self._iteration_end_s = 0.0  # Planned end of the current one.

    @property
    def kv_used(self) -> int:
        """KV memory that attempts hold, in tokens."""
        return self._memory.held_tokens

    @property
    def attempt_ids(self) -> tuple[str, ...]:
        """Ids of the attempts that wait or hold memory."""
        if self._attempt_ids is None:
            self._attempt_ids = tuple(self.requests)
        return self._attempt_ids

    @property
    def decoding(self) -> int:
        """Number of attempts that decode."""
        return len(self._batch.decoding)

    @property
    def waiting(self) -> int:
        """Number of attempts that wait for memory."""
        return self._batch.waiting

    def submit(
        self, attempt: attempts.Attempt, version: str
    ) -> enginerequest.EngineRequest:
        """Accepts an attempt.

        Args:
          attempt: what to run.
          version: the model that serves it, ``name@version``.

        Returns:
          The attempt's state; its stream carries the answer.

        Raises:
          failure.FailureError: it is too large for this engine; the verdict
            is NOT_RUN.
        """
        request = enginerequest.EngineRequest(
            attempt, version, self._arrival_count
        )
        self._check_capacity(request)
        self._arrival_count += 1
        self._context.counters.accepted += 1
        if not request.is_segment and request.next_index >= attempt.max_tokens:
            request.phase = _Phase.GONE
            self._output.send_empty_answer(request)
            return request
        if attempt.export or request.is_segment:
            request.export = self._make_export(request)
            self._exports[request.attempt_id] = request.export
        self._add(request)
        self.prefill_tokens += request.remaining_tokens
        self._batch.add_waiting(request)
        self._ensure_running()
        self._context.on_change()
        return request

    def cancel(self, attempt_id: str, failure: failures.Failure | None) -> bool:
        """Cancels an attempt and frees all that it holds.

        Args:
          attempt_id: id of the attempt.
          failure: failure that closes its stream, or None.

        Returns:
          Whether the attempt was known.
        """
        request = self.requests.get(attempt_id)
        if request is None:
            return False
        if request.phase is not _Phase.HELD:
            self._context.counters.cancelled += 1
        self._remove(request)
        request.stream.close(failure)
        return True

    def fail(
        self, request: enginerequest.EngineRequest, failure: failures.Failure
    ) -> None:
        """Fails an attempt."""
        if request.phase is _Phase.GONE:
            return
        self._context.counters.failed += 1
        self._remove(request)
        request.stream.close(failure)

    def stop(self, failure: failures.Failure) -> None:
        """Ends all attempts at once, as if the process died."""
        self._stopped = True
        if self._task is not None:
            self._task.cancel()
        for request in list(self.requests.values()):
            self._remove(request)
            request.stream.close(failure)
        for arrived in self._arrival_events.values():
            arrived.set()

    def postpone(self, seconds: float) -> None:
        """Delays all work under way by the length of a pause."""
        self._iteration_end_s += seconds
        for export in self._exports.values():
            export.postpone(seconds)

    def notify_readers(self, event: engineexport.ReadEvent) -> None:
        """Sends an event to every reader of an export."""
        for export in self._exports.values():
            export.notify_readers(event)

    def find_export(self, handle: str) -> engineexport.Export | None:
        """Returns the export with a handle, or None."""
        return self._exports.get(handle)

    async def wait_for_attempt(self, attempt_id: str) -> None:
        """Waits for an attempt to arrive, up to ``handle_wait_s``."""
        if attempt_id in self.requests or self._stopped:
            return
        arrived = self._arrival_events.setdefault(attempt_id, asyncio.Event())
        try:
            async with asyncio.timeout(self._context.settings.handle_wait_s):
                await arrived.wait()
        except TimeoutError:
            self._arrival_events.pop(attempt_id, None)

    def _check_capacity(self, request: enginerequest.EngineRequest) -> None:
        settings = self._context.settings
        tokens = request.count_memory_tokens(settings.window_tokens)
        if tokens > settings.kv_tokens:
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.PROMPT_TOO_LONG,
                    f"{tokens} tokens of KV memory are needed, the engine "
                    f"has {settings.kv_tokens}",
                )
            )

    def _make_export(
        self, request: enginerequest.EngineRequest
    ) -> engineexport.Export:
        settings = self._context.settings
        is_segment = request.is_segment
        return engineexport.Export(
            request.attempt_id,
            self._context.timers,
            settings.copy_tokens_per_s,
            settings.segment_ttl_s if is_segment else settings.export_ttl_s,
            single_copy=not is_segment,
            on_expire=lambda: self._expire(request),
        )

    def _expire(self, request: enginerequest.EngineRequest) -> None:
        self._context.counters.expired += 1
        self._remove(request)
        self._context.on_change()

    def _add(self, request: enginerequest.EngineRequest) -> None:
        self.requests[request.attempt_id] = request
        self._attempt_ids = None
        arrived = self._arrival_events.pop(request.attempt_id, None)
        if arrived is not None:
            arrived.set()

    def _remove(self, request: enginerequest.EngineRequest) -> None:
        if request.phase is _Phase.GONE:
            return
        self._batch.remove(request)
        self.prefill_tokens -= request.remaining_tokens
        del self.requests[request.attempt_id]
        self._attempt_ids = None
        if request.reservation is not None:
            self._memory.release(request.reservation)
        if request.export is not None:
            del self._exports[request.attempt_id]
            request.export.fail_readers()
        for task in request.tasks:
            task.cancel()
        self._ensure_running()
        if not self._stopped:
            self._context.on_change()

    def _ensure_running(self) -> None:
        if self._task is None and not self._stopped:
            self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        self._previous_end_s = self._context.timers.read_monotonic()
        try:
            await self._run_iterations()
        finally:
            self._task = None

    async def _run_iterations(self) -> None:
        context = self._context
        while True:
            await self._wait_for_pause()
            self._admit()
            plan = self._plan_iteration()
            context.on_change()
            if not plan.decoders and not plan.prefill_chunks:
                return
            await self._wait_for_iteration(plan)
            self._apply_plan(plan)
            context.counters.iterations += 1

    async def _wait_for_pause(self) -> None:
        clock = self._context.timers
        faults = self._context.faults
        while True:
            remaining_s = faults.pause_until_s - clock.read_monotonic()
            if remaining_s <= enginesettings.RESOLUTION_S:
                return
            await clock.sleep(remaining_s)
            self._previous_end_s = clock.read_monotonic()

    async def _wait_for_iteration(
        self, plan: enginebatch.IterationPlan
    ) -> None:
        clock = self._context.timers
        prefill_tokens = sum(chunk.tokens for chunk in plan.prefill_chunks)
        decodes = len(plan.decoders) + self._count_remote_decodes()
        duration_s = self._context.faults.slow_factor * (
            enginecost.compute_iteration_s(
                self._context.settings, decodes, prefill_tokens
            )
        )
        now_s = clock.read_monotonic()
        start_s = max(self._previous_end_s, now_s - _MAX_CATCH_UP_S)
        self._iteration_end_s = start_s + duration_s
        remaining_s = duration_s + start_s - now_s
        await clock.sleep(max(0.0, remaining_s))
        # A pause during the wait moves the end of the iteration.
        while (
            remaining_s := self._iteration_end_s - clock.read_monotonic()
        ) > enginesettings.RESOLUTION_S:
            await clock.sleep(remaining_s)
        self._previous_end_s = self._iteration_end_s

    def _count_remote_decodes(self) -> int:
        return sum(export.decode_readers for export in self._exports.values())

    def _admit(self) -> None:
        """Reserves memory for waiting attempts in order while it lasts."""
        window_tokens = self._context.settings.window_tokens
        while (request := self._batch.peek_waiting()) is not None:
            reservation = self._memory.reserve(
                request.count_memory_tokens(window_tokens), request.kv_blocks
            )
            if reservation is None:
                return
            self._batch.pop_waiting()
            request.reservation = reservation
            self._start_admitted(request, reservation)

    def _start_admitted(
        self,
        request: enginerequest.EngineRequest,
        reservation: enginememory.Reservation,
    ) -> None:
        position = request.find_start_position(reservation.pinned)
        request.cached_tokens = position - request.kv_start
        self._context.counters.cached_tokens += request.cached_tokens
        self._advance_to(request, position)
        if request.attempt.sources:
            request.phase = _Phase.IMPORTING
            self._importer.start(request)
        else:
            self._batch.add_prefill(request)

    def _continue_imported(self, request: enginerequest.EngineRequest) -> None:
        """Continues an attempt once its sources are copied or computed."""
        if request.phase is not _Phase.IMPORTING:
            return
        self._context.counters.imports += 1
        if request.windowed:
            # Reading all sources once takes this long, in parallel with the
            # prefill.
            rate = self._context.settings.copy_tokens_per_s
            now_s = self._context.timers.read_monotonic()
            request.sources_read_s = now_s + request.source_tokens / rate
            self._batch.add_prefill(request)
        else:
            covered = min(request.source_tokens, request.prefill_end)
            self._advance_to(request, max(request.position, covered))
            self._continue_copied(request)
        self._ensure_running()

    def _continue_copied(self, request: enginerequest.EngineRequest) -> None:
        if request.remaining_tokens > 1:
            self._batch.add_prefill(request)
            return
        # The last position is computed by the first decode.
        self._advance_to(request, request.prefill_end)
        self._batch.add_decode(request)
        self._mark_started(request)

    def _advance_to(
        self, request: enginerequest.EngineRequest, position: int
    ) -> None:
        self.prefill_tokens -= position - request.position
        request.position = position
        assert request.reservation is not None
        blocks = (position - request.kv_start) // enginesettings.BLOCK_TOKENS
        if blocks > request.reservation.pinned:
            self._memory.pin_blocks(request.reservation, blocks)

    def _plan_iteration(self) -> enginebatch.IterationPlan:
        context = self._context
        decoders = self._batch.list_decoders()
        limit = enginecost.choose_chunk_tokens(
            context.settings, self.role, len(decoders)
        )
        prefill_chunks = self._batch.schedule_prefill(limit)
        for chunk in prefill_chunks:
            if not chunk.request.started and not self._stopped:
                self._mark_started(chunk.request)
        return enginebatch.IterationPlan(decoders, prefill_chunks)

    def _mark_started(self, request: enginerequest.EngineRequest) -> None:
        """Counts an attempt as run and triggers the faults that it causes."""
        request.started = True
        digest = request.attempt.digest
        self._context.runs[digest] += 1
        if digest in self._context.faults.crash_digests:
            self._context.on_crash()
        elif request.version in self._context.faults.bad_versions:
            self.fail(
                request,
                failures.Failure(
                    failures.FailureCode.ENDPOINT_FAILED,
                    f"model {request.version} fails",
                    verdicts.Verdict.MAY_HAVE_RUN,
                ),
            )

    def _apply_plan(self, plan: enginebatch.IterationPlan) -> None:
        self._output.begin()
        self._output.send_decoded(plan.decoders)
        for chunk in plan.prefill_chunks:
            if chunk.request.phase is _Phase.PREFILLING:
                self._apply_prefill(chunk.request, chunk.tokens)
        self._output.flush()

    def _apply_prefill(
        self, request: enginerequest.EngineRequest, tokens: int
    ) -> None:
        self._context.counters.prefill_tokens += tokens
        self._advance_to(request, request.position + tokens)
        if request.remaining_tokens:
            return
        request.last_tokens = tokens
        now_s = self._context.timers.read_monotonic()
        if request.sources_read_s > now_s + enginesettings.RESOLUTION_S:
            self._batch.remove(request, _Phase.SETTLING)
            self._schedule_finish_prefill(
                request, request.sources_read_s - now_s
            )
        else:
            self._finish_prefill(request)

    def _schedule_finish_prefill(
        self, request: enginerequest.EngineRequest, delay_s: float
    ) -> None:
        self._context.timers.call_later(
            max(0.0, delay_s), lambda: self._finish_delayed_prefill(request)
        )

    def _finish_delayed_prefill(
        self, request: enginerequest.EngineRequest
    ) -> None:
        if request.phase is not _Phase.SETTLING:
            return
        now_s = self._context.timers.read_monotonic()
        remaining_s = self._context.faults.pause_until_s - now_s
        if remaining_s > 0:
            self._schedule_finish_prefill(request, remaining_s)
            return
        self._output.begin()
        self._finish_prefill(request)
        self._output.flush()
        self._ensure_running()

    def _finish_prefill(self, request: enginerequest.EngineRequest) -> None:
        if request.is_segment:
            if request.windowed:
                assert request.reservation is not None
                window_tokens = self._context.settings.window_tokens
                self._memory.shrink(request.reservation, window_tokens)
            self._output.send_end(request)
            return
        if request.phase is _Phase.PREFILLING:
            self._batch.remove(request, _Phase.SETTLING)
        self._batch.add_decode(request)
        if request.windowed and request.next_index + 1 < (
            request.attempt.max_tokens
        ):
            self._importer.start_decode_reads(request)
        self._output.send_first(request)

    def _finish_attempt(self, request: enginerequest.EngineRequest) -> None:
        """Frees a finished attempt, or holds its KV cache for readers."""
        self._context.counters.finished += 1
        if request.export is None:
            self._remove(request)
            return
        self._batch.remove(request, _Phase.HELD)
        for task in request.tasks:
            task.cancel()
        request.export.mark_computed(request.last_tokens)
