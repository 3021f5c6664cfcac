"""Stand-in for a model engine, as an object in memory.

It computes nothing, but takes the time, occupies the memory and shows the
faults of an engine with continuous batching. ``server`` serves it over HTTP,
``cluster`` has a client without sockets. The protocol is described in
docs/standins.md.
"""

import collections
from collections.abc import AsyncGenerator
from collections.abc import Callable
import contextlib
import dataclasses
import random

from rhubarblock.core import attempt as attempts
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.kernel import timers
from rhubarblock.standins.engine import context as enginecontext
from rhubarblock.standins.engine import exports as engineexport
from rhubarblock.standins.engine import faults as enginefaults
from rhubarblock.standins.engine import load as engineload
from rhubarblock.standins.engine import request as enginerequest
from rhubarblock.standins.engine import run as enginerun
from rhubarblock.standins.engine import settings as enginesettings
from rhubarblock.standins.engine import weights as engineweights

_DIED = failures.Failure(
    failures.FailureCode.STREAM_CUT,
    "the engine died",
    verdicts.Verdict.MAY_HAVE_RUN,
)
_RESTARTED = failures.Failure(
    failures.FailureCode.STREAM_CUT,
    "the engine was started anew",
    verdicts.Verdict.MAY_HAVE_RUN,
)
_CANCELLED = failures.Failure(
    failures.FailureCode.CANCELLED,
    "the attempt was cancelled",
    verdicts.Verdict.MAY_HAVE_RUN,
)

_ENDED_PHASES = (enginerequest.Phase.HELD, enginerequest.Phase.GONE)


class _NoTransport(engineexport.KvTransport):
    """Transport of an engine that cannot reach other engines."""

    async def read_kv(
        self, address: str, request: engineexport.ReadRequest
    ) -> AsyncGenerator[engineexport.ReadEvent, None]:
        raise failures.FailureError(
            engineexport.make_lost_failure(request.handle)
        )
        yield  # Makes this a generator.


class Engine:
    """An engine that can crash and restart.

    Attributes:
      endpoint_id: its name.
      address: ``host:port`` at which it listens.
      settings: size and speed.
      faults: faults switched on.
      counters: counters since its first start.
      alive: whether its process runs.
      draining: whether the latest order says to refuse new attempts.
      fence: highest fencing number of an order that it accepted.
    """

    def __init__(
        self,
        endpoint_id: str,
        address: str,
        clock: timers.Timers,
        rng: random.Random,
        settings: enginesettings.EngineSettings | None = None,
        weights: engineweights.WeightStore | None = None,
        transport: engineexport.KvTransport | None = None,
    ):
        """Creates and starts an engine; the event loop must be running.

        Args:
          endpoint_id: its name.
          address: ``host:port`` at which it listens.
          clock: timer service.
          rng: draws start ids and lost cache events.
          settings: size and speed, None for the defaults.
          weights: store to load models from, None for a separate one.
          transport: reads the exports of other engines, None if it cannot
            reach any.
        """
        self.endpoint_id = endpoint_id
        self.address = address
        self.settings = settings or enginesettings.EngineSettings()
        self.faults = enginefaults.EngineFaults()
        self.counters = enginecontext.EngineCounters()
        self.alive = False
        self.draining = False
        self.fence = 0
        self._timers = clock
        self._weights = weights or engineweights.WeightStore(clock)
        self._context = enginecontext.RunContext(
            settings=self.settings,
            timers=clock,
            rng=rng,
            faults=self.faults,
            counters=self.counters,
            runs=collections.Counter(),
            transport=transport or _NoTransport(),
            on_change=self._record_load,
            on_crash=self.die,
        )
        self._listeners: list[Callable[[], None]] = []
        self._start()

    @property
    def reachable(self) -> bool:
        """Whether connections are accepted."""
        now_s = self._timers.read_monotonic()
        return self.alive and self.faults.refuse_until_s <= now_s

    @property
    def start_id(self) -> str:
        """Id of the current run; changes with each start."""
        return self._run.start_id

    @property
    def paused(self) -> bool:
        """Whether the pause fault stops all progress."""
        now_s = self._timers.read_monotonic()
        return self.faults.pause_until_s - now_s > enginesettings.RESOLUTION_S

    def connect(self, transport: engineexport.KvTransport) -> None:
        """Sets the transport that reads the exports of other engines."""
        self._context.transport = transport

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls a listener whenever ``reachable`` may have changed."""
        self._listeners.append(listener)

    # Requests.

    def submit(self, attempt: attempts.Attempt) -> enginerequest.EngineRequest:
        """Accepts an attempt.

        Args:
          attempt: what to run.

        Returns:
          The attempt's state; its stream carries the answer. The reader of the
          stream must call ``release`` in the end.

        Raises:
          failure.FailureError: refused; the verdict is NOT_RUN.
        """
        try:
            return self._run.submit(attempt, self._check_attempt(attempt))
        except failures.FailureError:
            self.counters.refused += 1
            raise

    def release(self, request: enginerequest.EngineRequest) -> None:
        """Cancels an attempt whose caller has stopped reading.

        Does nothing if the attempt has ended, even if its memory is held.
        """
        if request.phase in _ENDED_PHASES:
            return
        if self.paused:
            # A paused engine notices a closed connection only afterwards.
            delay_s = self.faults.pause_until_s - self._timers.read_monotonic()
            self._timers.call_later(delay_s, lambda: self.release(request))
            return
        self._run.cancel(request.attempt_id, None)

    async def generate(
        self, attempt: attempts.Attempt
    ) -> AsyncGenerator[attempts.Chunk, None]:
        """Runs an attempt; closing the iterator cancels it.

        Args:
          attempt: what to run.

        Yields:
          The chunks of the answer.

        Raises:
          failure.FailureError: refused or failed.
        """
        await self.wait_for_pause()
        request = self.submit(attempt)
        try:
            async with contextlib.aclosing(request.stream.read()) as chunks:
                async for chunk in chunks:
                    yield chunk
        finally:
            self.release(request)

    def cancel(self, attempt_id: str) -> bool:
        """Cancels an attempt, also a held one; returns whether it was known."""
        return self._run.cancel(attempt_id, _CANCELLED)

    async def read_kv(
        self, read_request: engineexport.ReadRequest
    ) -> AsyncGenerator[engineexport.ReadEvent, None]:
        """Yields the events of reading an export; see ``KvTransport``."""
        await self.wait_for_pause()
        run = self._run
        await run.wait_for_attempt(read_request.handle)
        export = run.find_export(read_request.handle)
        if export is None:
            raise failures.FailureError(
                engineexport.make_lost_failure(read_request.handle)
            )
        reader = engineexport.Reader(
            read_request, self._timers.read_monotonic()
        )
        export.attach(reader)
        try:
            async with contextlib.aclosing(reader.events.read()) as events:
                async for event in events:
                    yield event
        finally:
            export.detach(reader)

    async def wait_for_pause(self) -> None:
        """Waits until the engine is not paused."""
        while self.paused:
            now_s = self._timers.read_monotonic()
            await self._timers.sleep(self.faults.pause_until_s - now_s)

    # Reports.

    def make_load_report(self) -> endpoints.LoadReport:
        """Returns the state as of ``load_lag_s`` ago."""
        return self._load.make_report()

    def read_cache_events(self, after: int) -> list[attempts.CacheEvent]:
        """Returns the visible cache events after a sequence number."""
        return self._run.cache_events.read(after)

    def kv_held(self) -> dict[str, int]:
        """Returns the KV memory of each attempt in tokens, by attempt id."""
        return {
            attempt_id: request.reservation.tokens
            for attempt_id, request in self._run.requests.items()
            if request.reservation is not None
        }

    def kv_used(self) -> int:
        """Returns the KV memory in use; a shared block counts once."""
        return self._run.kv_used

    def count_runs(self, digest: str) -> int:
        """Returns how many attempts with a body ran, over all starts."""
        return self._context.runs[digest]

    # Orders.

    def apply_order(self, order: attempts.Order) -> endpoints.LoadReport:
        """Applies an order and returns the new state, without lag.

        Raises:
          failure.FailureError: FORBIDDEN if the engine checks fencing numbers
            and has accepted a higher one, BAD_REQUEST if the role is unknown.
        """
        if self.settings.checks_fencing and order.fence < self.fence:
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.FORBIDDEN,
                    f"fencing number {order.fence} is older than {self.fence}",
                )
            )
        try:
            role = endpoints.Role(order.role)
        except ValueError:
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.BAD_REQUEST,
                    f"unknown role {order.role!r}",
                )
            ) from None
        self.fence = max(self.fence, order.fence)
        self.draining = order.drain
        self._run.role = role
        self._models.apply(order)
        self._record_load()
        return self._make_state()

    # Faults.

    def die(self) -> None:
        """Kills the process: streams break, memory and orders are lost."""
        self._stop(_DIED)
        self._notify_listeners()

    def restart(self) -> None:
        """Restarts the process with empty memory and a new start id."""
        self._stop(_RESTARTED)
        self._start()
        self._notify_listeners()

    def pause(self, seconds: float) -> None:
        """Stops all progress for a while; connections are still accepted."""
        now_s = self._timers.read_monotonic()
        until_s = now_s + seconds
        was_paused = self.paused
        added_s = until_s - max(now_s, self.faults.pause_until_s)
        if added_s <= 0:
            return
        self.faults.pause_until_s = until_s
        self._run.postpone(added_s)
        if not was_paused:
            self._run.notify_readers(engineexport.ReadEvent.STALLED)
        self._timers.call_later(seconds, self._resume)

    def refuse_connections(self, seconds: float = enginefaults.FOREVER) -> None:
        """Refuses new connections for a while; open streams continue."""
        if seconds == enginefaults.FOREVER:
            self.faults.refuse_until_s = seconds
        else:
            now_s = self._timers.read_monotonic()
            self.faults.refuse_until_s = now_s + seconds
            self._timers.call_later(seconds, self._notify_listeners)
        self._notify_listeners()

    def accept_connections(self) -> None:
        """Accepts connections again."""
        self.faults.refuse_until_s = 0.0
        self._notify_listeners()

    def begin_stop(self) -> None:
        """Refuses new attempts until ``end_stop``, whatever the orders say.

        An engine that the platform is about to stop behaves like this.
        """
        self.faults.stopping = True
        self._record_load()

    def end_stop(self) -> None:
        """Accepts new attempts again."""
        self.faults.stopping = False
        self._record_load()

    def clear_faults(self) -> None:
        """Switches all faults off, except that a pause lasts until its end."""
        defaults = enginefaults.EngineFaults()
        defaults.pause_until_s = self.faults.pause_until_s
        for field in dataclasses.fields(defaults):
            setattr(self.faults, field.name, getattr(defaults, field.name))
        self._notify_listeners()

    def _start(self) -> None:
        self.alive = True
        self.draining = False
        self.fence = 0
        self.counters.starts += 1
        self.faults.pause_until_s = 0.0
        start_id = f"{self._context.rng.getrandbits(48):012x}"
        self._load = engineload.LoadHistory(
            self._timers, self.settings.load_lag_s
        )
        self._models = engineweights.ModelSet(
            self.settings, self._timers, self._weights, self._record_load
        )
        self._run = enginerun.EngineRun(start_id, self._context)
        self._record_load()

    def _stop(self, failure: failures.Failure) -> None:
        self.alive = False
        self._models.stop()
        self._run.stop(failure)

    def _resume(self) -> None:
        if not self.paused:
            self._run.notify_readers(engineexport.ReadEvent.RESUMED)

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    def _record_load(self) -> None:
        self._load.record(self._make_state())

    def _make_state(self) -> endpoints.LoadReport:
        run = self._run
        return endpoints.LoadReport(
            endpoint_id=self.endpoint_id,
            measured_s=self._timers.read_monotonic(),
            sequence=0,
            start_id=run.start_id,
            role=run.role,
            models=self._models.models,
            running=len(run.requests) - run.waiting,
            decoding=run.decoding,
            waiting=run.waiting,
            prefill_tokens=run.prefill_tokens,
            kv_capacity=self.settings.kv_tokens,
            kv_used=run.kv_used,
            attempts=run.attempt_ids,
            draining=self.draining or self.faults.stopping,
            fence=self.fence,
        )

    def _check_attempt(self, attempt: attempts.Attempt) -> str:
        """Returns the model version that serves an attempt, or refuses it."""
        if not self.alive:
            raise _make_refusal(
                failures.FailureCode.ENDPOINT_FAILED, "the engine is dead"
            )
        if self.draining or self.faults.stopping:
            raise _make_refusal(
                failures.FailureCode.DRAINING, "the engine takes no new work"
            )
        version = self._models.find_version(attempt.model)
        if version is None:
            raise _make_refusal(
                failures.FailureCode.UNKNOWN_MODEL,
                f"model {attempt.model} is not loaded",
            )
        if attempt.attempt_id in self._run.requests:
            raise _make_refusal(
                failures.FailureCode.BAD_REQUEST,
                f"attempt {attempt.attempt_id} is here already",
            )
        problem = _find_problem(attempt)
        if problem:
            raise _make_refusal(failures.FailureCode.BAD_REQUEST, problem)
        return version


def _make_refusal(
    code: failures.FailureCode, message: str
) -> failures.FailureError:
    return failures.FailureError(failures.Failure(code, message))


def _find_problem(attempt: attempts.Attempt) -> str:
    """Returns what is wrong with an attempt's fields, or an empty string."""
    covered = sum(source.tokens for source in attempt.sources)
    if not attempt.attempt_id:
        return "attempt_id is empty"
    if attempt.prompt_tokens < 1 or attempt.max_tokens < 1:
        return "prompt_tokens and max_tokens must be at least 1"
    if attempt.resume_from < 0:
        return "resume_from must not be negative"
    if not 0 <= attempt.segment_end <= attempt.prompt_tokens:
        return "segment_end must lie within the prompt"
    if attempt.segment_end and covered >= attempt.segment_end:
        return "the sources cover the whole segment"
    if attempt.windowed and covered >= attempt.prompt_tokens:
        return "sources read in windows must leave a rest of the prompt"
    if any(source.tokens < 1 for source in attempt.sources):
        return "a source must cover at least 1 token"
    return ""
