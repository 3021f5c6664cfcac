"""Applies limits, quarantine and endpoint health to requests.

The guard is the relay's only interface to them: the relay reports what happens
to a request, and the guard passes it to the component concerned.
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

# Prompts from this many tokens on count against the limit of long prompts.
LONG_TOKENS = 100_000


class Guard:
    """Admits requests and reports how they end."""

    __slots__ = ("_crash_detector", "_limiter", "_quarantine", "_report")

    def __init__(
        self,
        limiter: limits.Limiter,
        quarantine: quarantines.Quarantine,
        crash_detector: crashes.EngineCrashDetector,
        report: Callable[[str, failures.Failure | None], None],
    ):
        """Creates a guard.

        Args:
          limiter: limits of institutions and workspaces.
          quarantine: isolates digests that crash endpoints.
          crash_detector: finds out which failures are crashes.
          report: receives an endpoint id and its failure, or None for a
            success.
        """
        self._limiter = limiter
        self._quarantine = quarantine
        self._crash_detector = crash_detector
        self._report = report

    @contextlib.contextmanager
    def admit(self, request: requests.PromptRequest) -> Iterator[None]:
        """Counts the request against its limits while the context is open.

        Raises:
          failures.FailureError: the request exceeds a limit or is in
            quarantine; NOT_RUN.
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
        """Waits until a digest may run.

        A suspected digest runs as a single copy, alone on its engine.

        Args:
          digest: digest of the request.
          service: engine service.
          list_ready: returns the engines that could run it.
          has_room: returns whether an engine would run it without a wait.
          left_s: seconds until its deadline.

        Yields:
          The permit, which names the engine, or None if any engine may run
          it.

        Raises:
          failures.FailureError: it must not run; NOT_RUN.
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
        """Returns whether a digest needs a permit to run at present.

        Raises:
          failures.FailureError: it is in quarantine; NOT_RUN.
        """
        allowed = self._quarantine.check(digest)
        if isinstance(allowed, result.Failure):
            raise failures.FailureError(allowed.failure())
        decision = self._quarantine.decide(digest)
        return decision is quarantines.Decision.ISOLATE

    def note_started(self, permit: quarantines.Permit | None) -> None:
        """Reports the first token of a request that runs with a permit."""
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
        """Reports a failed attempt; returns once peers have any crash."""
        self._report(endpoint_id, failure)
        if failure.code in (
            failures.FailureCode.ENDPOINT_FAILED,
            failures.FailureCode.STREAM_CUT,
        ):
            await self._crash_detector.check_endpoint(endpoint_id, address)

    def note_success(
        self, placement: placements.Placement, digest: str
    ) -> None:
        """Reports a job that delivered its whole answer."""
        self._quarantine.record_finished(digest)
        for name in placement.list_endpoints():
            self._report(name, None)
