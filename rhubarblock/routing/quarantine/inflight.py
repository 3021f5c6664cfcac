"""The requests in flight at each endpoint from one instance, and their ages.

A request that failed together with its endpoint stays listed for a moment, so
that the handler of the first of many failures still sees all requests that were
in flight.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import math

from rhubarblock.kernel import timers as timers_lib
from rhubarblock.routing.quarantine import registry as quarantineregistry

# Seconds for which a failed request stays listed.
_LINGER_S = 1.0
# Largest number of digests whose successes or ages are remembered.
_MAX_DIGESTS = 4096
# A suspect is probed for longer than it had run before its crash, by this ratio
# and these seconds, but at most for the last number of seconds.
_PROBE_RATIO = 1.2
_PROBE_EXTRA_S = 1.0
_MAX_PROBE_S = 3.0
# Part of its age at the crash by which a suspect delays its start, so that
# younger suspects go first.
_START_DELAY_PART = 0.2


@dataclasses.dataclass(slots=True, eq=False)
class _InFlight:
    digest: str
    begun_s: float
    ended_s: float = math.inf


@dataclasses.dataclass(slots=True, frozen=True)
class _Probe:
    begun_s: float
    probe_s: float


class InFlightTable:
    """Requests in flight from this instance."""

    __slots__ = (
        "_ages",
        "_in_flight",
        "_probes",
        "_successes",
        "_timers",
        "_unstarted",
    )

    def __init__(self, timers: timers_lib.Timers):
        self._timers = timers
        self._in_flight: dict[str, list[_InFlight]] = {}
        self._successes: dict[str, int] = {}
        # Ages of suspects at their last crash.
        self._ages: dict[str, float] = {}
        self._probes: dict[str, _Probe] = {}
        # Suspects that got a permit and have not produced a token yet.
        self._unstarted: set[str] = set()

    @contextlib.contextmanager
    def track(
        self, endpoint_ids: tuple[str, ...], digest: str
    ) -> Iterator[None]:
        """Counts a request as in flight while the context is open.

        Args:
          endpoint_ids: endpoints that it runs on.
          digest: digest of the request.

        Yields:
          Nothing.
        """
        request = _InFlight(digest, self._timers.read_monotonic())
        for endpoint_id in endpoint_ids:
            self._in_flight.setdefault(endpoint_id, []).append(request)
        try:
            yield
        except BaseException:
            request.ended_s = self._timers.read_monotonic()
            self._timers.call_later(
                _LINGER_S, lambda: self._remove(endpoint_ids, request)
            )
            raise
        else:
            self._remove(endpoint_ids, request)

    def find_ages(
        self, endpoint_id: str, in_flight: Mapping[str, float] | None
    ) -> dict[str, float]:
        """Returns the possible causes of the crash of an endpoint.

        A suspect that has run for longer than its probe (see ``find_probe``) is
        ruled out as the cause.

        Args:
          endpoint_id: the endpoint.
          in_flight: digests and their ages in seconds, or None for those that
            are tracked here.

        Returns:
          Digests and their ages in seconds; 0 for a suspect that is being
          probed.
        """
        ages = {}
        now_s = self._timers.read_monotonic()
        for digest, age_s in (in_flight or self._read(endpoint_id)).items():
            probe = self._probes.get(digest)
            if digest in self._unstarted:
                ages[digest] = 0.0
            elif probe is None:
                ages[digest] = self._ages[digest] = age_s
            elif now_s - probe.begun_s <= probe.probe_s:
                ages[digest] = 0.0
        _drop_oldest(self._ages)
        return ages

    def find_start_delay(self, digest: str) -> float:
        """Returns the seconds by which a suspect delays its start."""
        age_s = self._ages.get(digest, 0.0)
        return min(age_s, quarantineregistry.YOUNG_S) * _START_DELAY_PART

    def find_probe(self, digest: str) -> float:
        """Returns the seconds for which a suspect has to run isolated."""
        age_s = self._ages.get(digest, quarantineregistry.YOUNG_S)
        probe_s = age_s * _PROBE_RATIO + _PROBE_EXTRA_S
        return min(probe_s, _MAX_PROBE_S)

    def await_probe(self, digest: str) -> None:
        """Records that a suspect got a permit, but has not started yet."""
        self._unstarted.add(digest)

    def begin_probe(self, digest: str, probe_s: float) -> None:
        """Records that the probe of a suspect starts now."""
        now_s = self._timers.read_monotonic()
        self._unstarted.discard(digest)
        self._probes[digest] = _Probe(now_s, probe_s)

    def end_probe(self, digest: str) -> None:
        """Records that the run of a suspect ended."""
        self._unstarted.discard(digest)
        self._probes.pop(digest, None)

    def count_success(self, digest: str) -> None:
        """Records that a digest ran to completion."""
        self._ages.pop(digest, None)
        count = self._successes.pop(digest, 0) + 1
        self._successes[digest] = count
        _drop_oldest(self._successes)

    def consume_successes(self, digest: str, successes: int) -> bool:
        """Says whether a digest has enough successes, and resets its count."""
        return self._successes.pop(digest, 0) >= successes

    def _read(self, endpoint_id: str) -> dict[str, float]:
        now_s = self._timers.read_monotonic()
        return {
            request.digest: min(now_s, request.ended_s) - request.begun_s
            for request in self._in_flight.get(endpoint_id, ())
        }

    def _remove(
        self, endpoint_ids: tuple[str, ...], request: _InFlight
    ) -> None:
        for endpoint_id in endpoint_ids:
            requests = self._in_flight[endpoint_id]
            requests.remove(request)
            if not requests:
                del self._in_flight[endpoint_id]


def _drop_oldest(table: dict[str, float] | dict[str, int]) -> None:
    """Drops the oldest entry of a table that is full."""
    if len(table) > _MAX_DIGESTS:
        del table[next(iter(table))]
