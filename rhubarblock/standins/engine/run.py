"""One start of the stand-in engine: all that it loses when it dies.

A single task runs the iterations while there is work and ends when there is
none, so an idle engine costs nothing.
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

# An iteration that the machine delayed is made up for up to this much.
_MAX_BEHIND_S = 0.05


class EngineRun:
    """Attempts, memory and iterations of one start.

    Attributes:
      start_id: changes with each start.
      role: role in force.
      requests: attempts that wait or hold memory, by id.
      prefill_tokens: prompt tokens still to be computed.
      cache_events: what is published of the prefix cache.
    """

    __slots__ = (
        "_arrivals",
        "_batch",
        "_clock_s",
        "_context",
        "_end_s",
        "_expected",
        "_exports",
        "_ids",
        "_importer",
        "_memory",
        "_output",
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
            self._start_imported,
            self.fail,
            self._wake,
        )
        self._output = engineoutput.Output(context, self._finish, self._remove)
        self._exports: dict[str, engineexport.Export] = {}
        self._expected: dict[str, asyncio.Event] = {}
        self._ids: tuple[str, ...] | None = ()
        self._arrivals = 0
        self._task: asyncio.Task[None] | None = None
        self._stopped = False
        self._clock_s = 0.0  # Planned end of the latest iteration.
        self._end_s = 0.0  # Planned end of the iteration under way.

    @property
    def kv_used(self) -> int:
        """Tokens of KV memory that attempts hold."""
        return self._memory.held_tokens

    @property
    def attempt_ids(self) -> tuple[str, ...]:
        """Ids of the attempts that wait or hold memory."""
        if self._ids is None:
            self._ids = tuple(self.requests)
        return self._ids

    @property
    def decoding(self) -> int:
        """Attempts that generate tokens."""
        return len(self._batch.decoding)

    @property
    def waiting(self) -> int:
        """Attempts that hold no memory yet."""
        return self._batch.waiting

    def submit(
        self, attempt: attempts.Attempt, version: str
    ) -> enginerequest.EngineRequest:
        """Takes an attempt in.

        Args:
          attempt: what to run.
          version: the model that serves it, ``name@version``.

        Returns:
          The attempt's state; its stream gives the answer.

        Raises:
          failure.FailureError: it can never run here; the verdict is NOT_RUN.
        """
        request = enginerequest.EngineRequest(attempt, version, self._arrivals)
        self._check(request)
        self._arrivals += 1
        self._context.counters.accepted += 1
        if not request.is_segment and request.next_index >= attempt.max_tokens:
            request.phase = _Phase.GONE
            self._output.send_nothing(request)
            return request
        if attempt.export or request.is_segment:
            request.export = self._make_export(request)
            self._exports[request.attempt_id] = request.export
        self._add(request)
        self.prefill_tokens += request.remaining
        self._batch.add_waiting(request)
        self._wake()
        self._context.on_change()
        return request

    def cancel(self, attempt_id: str, failure: failures.Failure | None) -> bool:
        """Frees all that an attempt holds.

        Args:
          attempt_id: the attempt.
          failure: what whoever still reads its stream is told, or None.

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
        """Ends an attempt with a failure."""
        if request.phase is _Phase.GONE:
            return
        self._context.counters.failed += 1
        self._remove(request)
        request.stream.close(failure)

    def stop(self, failure: failures.Failure) -> None:
        """Ends everything at once, as when the process dies."""
        self._stopped = True
        if self._task is not None:
            self._task.cancel()
        for request in list(self.requests.values()):
            self._remove(request)
            request.stream.close(failure)
        for arrival in self._expected.values():
            arrival.set()

    def delay(self, seconds: float) -> None:
        """Puts off all that is under way by a time that nothing progresses."""
        self._end_s += seconds
        for export in self._exports.values():
            export.delay(seconds)

    def tell_readers(self, event: engineexport.ReadEvent) -> None:
        """Tells whoever reads KV cache here of something."""
        for export in self._exports.values():
            export.tell(event)

    def find_export(self, handle: str) -> engineexport.Export | None:
        """Returns what can be read under a handle, or None."""
        return self._exports.get(handle)

    async def wait_for_attempt(self, attempt_id: str) -> None:
        """Waits for a moment until an attempt is here, if it isn't yet."""
        if attempt_id in self.requests or self._stopped:
            return
        arrival = self._expected.setdefault(attempt_id, asyncio.Event())
        try:
            async with asyncio.timeout(self._context.settings.handle_wait_s):
                await arrival.wait()
        except TimeoutError:
            self._expected.pop(attempt_id, None)

    def _check(self, request: enginerequest.EngineRequest) -> None:
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
            once=not is_segment,
            expire=lambda: self._expire(request),
        )

    def _expire(self, request: enginerequest.EngineRequest) -> None:
        self._context.counters.expired += 1
        self._remove(request)
        self._context.on_change()

    def _add(self, request: enginerequest.EngineRequest) -> None:
        self.requests[request.attempt_id] = request
        self._ids = None
        arrival = self._expected.pop(request.attempt_id, None)
        if arrival is not None:
            arrival.set()

    def _remove(self, request: enginerequest.EngineRequest) -> None:
        if request.phase is _Phase.GONE:
            return
        self._batch.remove(request)
        self.prefill_tokens -= request.remaining
        del self.requests[request.attempt_id]
        self._ids = None
        if request.reservation is not None:
            self._memory.release(request.reservation)
        if request.export is not None:
            del self._exports[request.attempt_id]
            request.export.lose()
        for task in request.tasks:
            task.cancel()
        self._wake()
        if not self._stopped:
            self._context.on_change()

    def _wake(self) -> None:
        if self._task is None and not self._stopped:
            self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        self._clock_s = self._context.timers.read_monotonic()
        try:
            await self._run_iterations()
        finally:
            self._task = None

    async def _run_iterations(self) -> None:
        context = self._context
        while True:
            await self._wait_for_pause()
            self._admit()
            plan = self._make_plan()
            context.on_change()
            if not plan.decoders and not plan.grants:
                return
            await self._wait_for_iteration(plan)
            self._apply(plan)
            context.counters.iterations += 1

    async def _wait_for_pause(self) -> None:
        clock = self._context.timers
        faults = self._context.faults
        while True:
            rest_s = faults.pause_until_s - clock.read_monotonic()
            if rest_s <= enginesettings.RESOLUTION_S:
                return
            await clock.sleep(rest_s)
            self._clock_s = clock.read_monotonic()

    async def _wait_for_iteration(self, plan: enginebatch.Plan) -> None:
        clock = self._context.timers
        prefill_tokens = sum(grant.tokens for grant in plan.grants)
        decodes = len(plan.decoders) + self._count_remote_decodes()
        duration_s = self._context.faults.slow_factor * (
            enginecost.compute_iteration_s(
                self._context.settings, decodes, prefill_tokens
            )
        )
        now_s = clock.read_monotonic()
        start_s = max(self._clock_s, now_s - _MAX_BEHIND_S)
        self._end_s = start_s + duration_s
        rest_s = duration_s + start_s - now_s
        await clock.sleep(max(0.0, rest_s))
        # A pause moves the end while this waits for it.
        while (
            rest_s := self._end_s - clock.read_monotonic()
        ) > enginesettings.RESOLUTION_S:
            await clock.sleep(rest_s)
        self._clock_s = self._end_s

    def _count_remote_decodes(self) -> int:
        return sum(export.decode_readers for export in self._exports.values())

    def _admit(self) -> None:
        """Gives memory to waiting attempts, in their order, while it lasts."""
        window_tokens = self._context.settings.window_tokens
        while (request := self._batch.peek_waiting()) is not None:
            reservation = self._memory.reserve(
                request.count_memory_tokens(window_tokens), request.own_blocks
            )
            if reservation is None:
                return
            self._batch.pop_waiting()
            request.reservation = reservation
            self._begin(request, reservation)

    def _begin(
        self,
        request: enginerequest.EngineRequest,
        reservation: enginememory.Reservation,
    ) -> None:
        position = request.start_position(reservation.pinned)
        request.cached_tokens = position - request.own_start
        self._context.counters.cached_tokens += request.cached_tokens
        self._move(request, position)
        if request.attempt.sources:
            request.phase = _Phase.IMPORTING
            self._importer.start(request)
        else:
            self._batch.add_prefill(request)

    def _start_imported(self, request: enginerequest.EngineRequest) -> None:
        """Goes on once the sources of an attempt are there."""
        if request.phase is not _Phase.IMPORTING:
            return
        self._context.counters.imports += 1
        if request.windowed:
            # Reading the sources once takes this long, beside the prefill.
            rate = self._context.settings.copy_tokens_per_s
            now_s = self._context.timers.read_monotonic()
            request.settle_s = now_s + request.source_tokens / rate
            self._batch.add_prefill(request)
        else:
            covered = min(request.source_tokens, request.target)
            self._move(request, max(request.position, covered))
            self._start_copied(request)
        self._wake()

    def _start_copied(self, request: enginerequest.EngineRequest) -> None:
        if request.remaining > 1:
            self._batch.add_prefill(request)
            return
        # The last position is computed by the first decode.
        self._move(request, request.target)
        self._batch.add_decode(request)
        self._start(request)

    def _move(
        self, request: enginerequest.EngineRequest, position: int
    ) -> None:
        self.prefill_tokens -= position - request.position
        request.position = position
        assert request.reservation is not None
        blocks = (position - request.own_start) // enginesettings.BLOCK_TOKENS
        if blocks > request.reservation.pinned:
            self._memory.pin_blocks(request.reservation, blocks)

    def _make_plan(self) -> enginebatch.Plan:
        context = self._context
        decoders = self._batch.list_decoders()
        limit = enginecost.choose_chunk_tokens(
            context.settings, self.role, len(decoders)
        )
        grants = self._batch.grant(limit)
        for grant in grants:
            if not grant.request.started and not self._stopped:
                self._start(grant.request)
        return enginebatch.Plan(decoders, grants)

    def _start(self, request: enginerequest.EngineRequest) -> None:
        """Counts an attempt as run, and lets it do its harm."""
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

    def _apply(self, plan: enginebatch.Plan) -> None:
        self._output.begin()
        self._output.send_decoded(plan.decoders)
        for grant in plan.grants:
            if grant.request.phase is _Phase.PREFILLING:
                self._advance(grant.request, grant.tokens)
        self._output.flush()

    def _advance(
        self, request: enginerequest.EngineRequest, tokens: int
    ) -> None:
        self._context.counters.prefill_tokens += tokens
        self._move(request, request.position + tokens)
        if request.remaining:
            return
        request.last_tokens = tokens
        now_s = self._context.timers.read_monotonic()
        if request.settle_s > now_s + enginesettings.RESOLUTION_S:
            self._batch.remove(request, _Phase.SETTLING)
            self._settle_later(request, request.settle_s - now_s)
        else:
            self._finish_prefill(request)

    def _settle_later(
        self, request: enginerequest.EngineRequest, delay_s: float
    ) -> None:
        self._context.timers.call_later(
            max(0.0, delay_s), lambda: self._settle(request)
        )

    def _settle(self, request: enginerequest.EngineRequest) -> None:
        if request.phase is not _Phase.SETTLING:
            return
        now_s = self._context.timers.read_monotonic()
        rest_s = self._context.faults.pause_until_s - now_s
        if rest_s > 0:
            self._settle_later(request, rest_s)
            return
        self._output.begin()
        self._finish_prefill(request)
        self._output.flush()
        self._wake()

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
            self._importer.start_decode(request)
        self._output.send_first(request)

    def _finish(self, request: enginerequest.EngineRequest) -> None:
        """Frees or keeps what an attempt holds whose answer is whole."""
        self._context.counters.finished += 1
        if request.export is None:
            self._remove(request)
            return
        self._batch.remove(request, _Phase.HELD)
        for task in request.tasks:
            task.cancel()
        request.export.complete(request.last_tokens)
