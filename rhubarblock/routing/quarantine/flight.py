"""What one instance has in flight at each endpoint, and for how long.

A request that dies with its endpoint leaves its trace for a moment, so that
whoever handles the first failure of many still sees all that was in flight.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import math

from rhubarblock.kernel import timers as timers_lib
from rhubarblock.routing.quarantine import registry as quarantineregistry

# Time for which a failed request leaves a trace, in seconds.
_LINGER_S = 1.0
# Digests whose successes or ages are remembered.
_REMEMBERED = 4096
# A suspect is probed for longer than it had run at its crash, by this ratio
# and these seconds, and in all at most the last number.
_PROBE_RATIO = 1.2
_PROBE_EXTRA_S = 1.0
_PROBE_LONGEST_S = 3.0
# Part of its age at the crash for which a suspect lets younger ones go first.
_PATIENCE_PART = 0.2


@dataclasses.dataclass(slots=True, eq=False)
class _Flight:
    digest: str
    begun_s: float
    ended_s: float = math.inf


@dataclasses.dataclass(slots=True, frozen=True)
class _Probe:
    begun_s: float
    probe_s: float


class FlightTable:
    """Requests in flight at this instance."""

    __slots__ = (
        "_ages",
        "_flights",
        "_probes",
        "_successes",
        "_timers",
        "_waiting",
    )

    def __init__(self, timers: timers_lib.Timers):
        self._timers = timers
        self._flights: dict[str, list[_Flight]] = {}
        self._successes: dict[str, int] = {}
        # Age of suspects when they were last in a crash.
        self._ages: dict[str, float] = {}
        self._probes: dict[str, _Probe] = {}
        # Suspects that were let run and gave no token yet.
        self._waiting: set[str] = set()

    @contextlib.contextmanager
    def track(
        self, endpoint_ids: tuple[str, ...], digest: str
    ) -> Iterator[None]:
        """Counts a request as in flight while the context is open.

        Args:
          endpoint_ids: endpoints that it runs on.
          digest: the request.

        Yields:
          Nothing.
        """
        flight = _Flight(digest, self._timers.read_monotonic())
        for endpoint_id in endpoint_ids:
            self._flights.setdefault(endpoint_id, []).append(flight)
        try:
            yield
        except BaseException:
            flight.ended_s = self._timers.read_monotonic()
            self._timers.call_later(
                _LINGER_S, lambda: self._remove(endpoint_ids, flight)
            )
            raise
        else:
            self._remove(endpoint_ids, flight)

    def find_ages(
        self, endpoint_id: str, in_flight: Mapping[str, float] | None
    ) -> dict[str, float]:
        """Returns what may have caused the end of an endpoint just now.

        A suspect that has run for longer than before its first crash has
        shown that it is not the cause.

        Args:
          endpoint_id: the endpoint.
          in_flight: digests and their ages in seconds, or None to take those
            that are known here.

        Returns:
          Digests and their ages in seconds; 0 for a suspect under probe.
        """
        ages = {}
        now_s = self._timers.read_monotonic()
        for digest, age_s in (in_flight or self._read(endpoint_id)).items():
            probe = self._probes.get(digest)
            if digest in self._waiting:
                ages[digest] = 0.0
            elif probe is None:
                ages[digest] = self._ages[digest] = age_s
            elif now_s - probe.begun_s <= probe.probe_s:
                ages[digest] = 0.0
        _bound(self._ages)
        return ages

    def find_patience(self, digest: str) -> float:
        """Returns for how long a suspect lets likelier ones go first."""
        age_s = self._ages.get(digest, 0.0)
        return min(age_s, quarantineregistry.YOUNG_S) * _PATIENCE_PART

    def find_probe(self, digest: str) -> float:
        """Returns how long a suspect has to run alone, in seconds."""
        age_s = self._ages.get(digest, quarantineregistry.YOUNG_S)
        probe_s = age_s * _PROBE_RATIO + _PROBE_EXTRA_S
        return min(probe_s, _PROBE_LONGEST_S)

    def await_probe(self, digest: str) -> None:
        """Notes that a suspect is let run; its probe begins when it does."""
        self._waiting.add(digest)

    def begin_probe(self, digest: str, probe_s: float) -> None:
        """Notes that a suspect runs alone from now on."""
        now_s = self._timers.read_monotonic()
        self._waiting.discard(digest)
        self._probes[digest] = _Probe(now_s, probe_s)

    def end_probe(self, digest: str) -> None:
        """Notes that a suspect's run ended."""
        self._waiting.discard(digest)
        self._probes.pop(digest, None)

    def count_success(self, digest: str) -> None:
        """Notes that a digest ran to its end."""
        self._ages.pop(digest, None)
        count = self._successes.pop(digest, 0) + 1
        self._successes[digest] = count
        _bound(self._successes)

    def spend_trust(self, digest: str, successes: int) -> bool:
        """Says whether a digest ran well so often, and forgets it."""
        return self._successes.pop(digest, 0) >= successes

    def _read(self, endpoint_id: str) -> dict[str, float]:
        now_s = self._timers.read_monotonic()
        return {
            flight.digest: min(now_s, flight.ended_s) - flight.begun_s
            for flight in self._flights.get(endpoint_id, ())
        }

    def _remove(self, endpoint_ids: tuple[str, ...], flight: _Flight) -> None:
        for endpoint_id in endpoint_ids:
            flights = self._flights[endpoint_id]
            flights.remove(flight)
            if not flights:
                del self._flights[endpoint_id]


def _bound(table: dict[str, float] | dict[str, int]) -> None:
    """Drops the oldest entry of a table that is full."""
    if len(table) > _REMEMBERED:
        del table[next(iter(table))]
