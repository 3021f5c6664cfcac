"""Limits, quarantine and endpoint states around a request.

The guard is the one place where the relay meets them; the relay itself only
says what happened.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib

from returns import result

from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.relay import crashes
from rhubarblock.routing import limits
from rhubarblock.routing.placement import decision as placements
from rhubarblock.routing.quarantine import gate as quarantines

# Prompts over this many tokens count against the limit of long prompts.
LONG_TOKENS = 100_000


class Guard:
    """Admits requests and learns from their ends."""

    __slots__ = ("_crashes", "_limiter", "_quarantine", "_report")

    def __init__(
        self,
        limiter: limits.Limiter,
        quarantine: quarantines.Quarantine,
        crash_observer: crashes.EngineCrashDetector,
        report: Callable[[str, failures.Failure | None], None],
    ):
        """Creates a guard.

        Args:
          limiter: limits of institutions and workspaces.
          quarantine: digests that crash endpoints.
          crash_observer: finds out which failures are crashes.
          report: takes an endpoint id and its failure, None for a success.
        """
        self._limiter = limiter
        self._quarantine = quarantine
        self._crashes = crash_observer
        self._report = report

    @contextlib.contextmanager
    def admit(self, request: requests.PromptRequest) -> Iterator[None]:
        """Owns the request's part of the limits while the context is open.

        Raises:
          failures.FailureError: over a limit or in quarantine; NOT_RUN.
        """
        allowed = self._quarantine.check(request.digest)
        if isinstance(allowed, result.Failure):
            raise failures.FailureError(allowed.failure())
        admitted = self._limiter.admit(
            request.institution,
            request.workspace,
            request.request_class,
            request.prompt_tokens + request.max_tokens,
            request.prompt_tokens >= LONG_TOKENS,
        )
        if isinstance(admitted, result.Failure):
            raise failures.FailureError(admitted.failure())
        with contextlib.closing(admitted.unwrap()):
            yield

    @contextlib.asynccontextmanager
    async def permit(
        self,
        digest: str,
        service: str,
        list_ready: Callable[[], Iterable[str]],
        has_room: Callable[[str], bool],
        left_s: float,
    ) -> AsyncIterator[quarantines.Permit | None]:
        """Waits until a digest may run; a suspect runs in one copy, alone.

        Args:
          digest: what is to run.
          service: engine service.
          list_ready: returns the engines on which it may run.
          has_room: says whether an engine would run it without a wait.
          left_s: seconds until its deadline.

        Yields:
          The permit, which names the engine, or None when it may go anywhere.

        Raises:
          failures.FailureError: it may not run; NOT_RUN.
        """
        acquired = await self._quarantine.acquire(
            digest, service, list_ready, left_s, left_s, has_room
        )
        if isinstance(acquired, result.Failure):
            raise failures.FailureError(acquired.failure())
        permit = acquired.unwrap()
        if permit is None:
            yield None
            return
        try:
            yield permit
        finally:
            await self._quarantine.release(permit)

    def is_suspected(self, digest: str) -> bool:
        """Says whether a digest may run only by a permit at present.

        Raises:
          failures.FailureError: it is in quarantine; NOT_RUN.
        """
        allowed = self._quarantine.check(digest)
        if isinstance(allowed, result.Failure):
            raise failures.FailureError(allowed.failure())
        decision = self._quarantine.decide(digest)
        return decision is quarantines.Decision.ISOLATE

    def note_started(self, permit: quarantines.Permit | None) -> None:
        """Notes the first token of what may run by a permit."""
        if permit is not None:
            self._quarantine.note_started(permit)

    @contextlib.contextmanager
    def note_running(
        self, placement: placements.Placement, digest: str
    ) -> Iterator[None]:
        """Counts the digest as in flight at its endpoints."""
        names = placement.list_endpoints()
        with self._quarantine.track(names, digest):
            yield

    async def note_failure(
        self, endpoint_id: str, address: str, failure: failures.Failure
    ) -> None:
        """Takes in a failed attempt; returns once the peers know of a crash."""
        self._report(endpoint_id, failure)
        if failure.code in (
            failures.FailureCode.ENDPOINT_FAILED,
            failures.FailureCode.STREAM_CUT,
        ):
            await self._crashes.examine(endpoint_id, address)

    def note_success(
        self, placement: placements.Placement, digest: str
    ) -> None:
        """Takes in an attempt that gave its whole answer."""
        self._quarantine.record_finished(digest)
        for name in placement.list_endpoints():
            self._report(name, None)
