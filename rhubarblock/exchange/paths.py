"""The network paths from this instance to the endpoints.

An endpoint to which no connection opens may be gone, or this instance may be
partitioned from it. One failure does not tell; failures in every data centre
that has endpoints of a service, with nothing received from any of them in
between, speak against the instance's own paths. If only other data centres are
out of reach, the near endpoints go on serving.
"""

from collections.abc import Callable
from collections.abc import Collection
import logging
import math

from rhubarblock.core import listed as lists
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service

# Fewest endpoints that must fail for the instance to count as partitioned. One
# may fail by itself.
PARTITION_ENDPOINTS = 2
# Seconds for which a path counts as lost after a peer was needed.
LOST_S = 5.0
# Seconds for which no peer is asked for an endpoint that none reached.
UNREACHABLE_S = 1.0
# Seconds for which data from any endpoint shows that this instance is not
# partitioned.
PROOF_S = 1.0
# Shortest interval in seconds of requests that are tried while neither this
# instance nor a peer reaches an endpoint.
TRIAL_S = 0.25
# Most endpoints whose state is kept before ended states are dropped.
MAX_STATES = 256

Finder = Callable[[str], lists.ListedEndpoint | None]
Lister = Callable[[str], list[lists.ListedEndpoint]]

_logger = logging.getLogger(__name__)


class ServicePaths:
    """The paths to the endpoints of one service.

    Attributes:
      received_s: when one of them was last reached, in monotonic seconds; minus
        infinity before the first time.
      partitioned_s: since when the instance is partitioned from them, in
        monotonic seconds; None while it is not.
    """

    __slots__ = (
        "_failed",
        "_failed_s",
        "_list_endpoints",
        "_lost_until_s",
        "_metrics",
        "_service",
        "_timers",
        "_trial_s",
        "_unreachable_until_s",
        "_unreached",
        "partitioned_s",
        "received_s",
    )

    def __init__(
        self,
        service: str,
        list_endpoints: Lister,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
    ):
        """Starts with all paths intact.

        Args:
          service: name of the service.
          list_endpoints: returns the endpoints of a service that take work.
          timers: the clock.
          metrics: counters.
        """
        self._service = service
        self._list_endpoints = list_endpoints
        self._timers = timers
        self._metrics = metrics
        # Endpoints to which no connection opened, and the last error of each,
        # since something was received from any endpoint.
        self._failed: dict[str, str] = {}
        self._failed_s = -math.inf
        # Until when paths count as lost, and endpoints as gone, by address.
        self._lost_until_s: dict[str, float] = {}
        self._unreachable_until_s: dict[str, float] = {}
        # Endpoints that neither this instance nor a peer reached since one was
        # reached, and when that was last tried.
        self._unreached: set[str] = set()
        self._trial_s = -math.inf
        self.received_s = -math.inf
        self.partitioned_s: float | None = None

    def note_received(self) -> None:
        """Records that a direct connection received data.

        It does not end a partition: open connections may outlive a path on
        which no new ones open.
        """
        self.received_s = self._timers.read_monotonic()
        if self.partitioned_s is None and self._failed:
            self._failed.clear()

    def note_opened(self, address: str) -> None:
        """Records that a direct connection opened."""
        self.received_s = self._timers.read_monotonic()
        self._failed.clear()
        self._unreached.clear()
        self._lost_until_s.pop(address, None)
        self._unreachable_until_s.pop(address, None)
        if self.partitioned_s is None:
            return
        lasted_s = self.received_s - self.partitioned_s
        self.partitioned_s = None
        _logger.warning(
            "endpoints are reached again",
            extra={"service": self._service, "lasted_s": round(lasted_s, 3)},
        )

    def note_detoured(self, address: str) -> None:
        """Records that only a peer reached an endpoint."""
        now_s = self._timers.read_monotonic()
        self._metrics.count("paths.detoured")
        _set_until(self._lost_until_s, address, now_s, LOST_S)
        self._unreached.clear()
        self._add_failure(address, "only a peer reached it")

    def note_failed(self, address: str, reason: str) -> None:
        """Records that no connection to an endpoint opened.

        Args:
          address: ``host:port`` of the endpoint.
          reason: the error.
        """
        now_s = self._timers.read_monotonic()
        self._metrics.count("paths.failed")
        _set_until(self._unreachable_until_s, address, now_s, UNREACHABLE_S)
        self._unreached.add(address)
        self._trial_s = now_s
        self._add_failure(address, reason)

    def note_crashed(self, address: str) -> None:
        """Records that an endpoint crashed, which speaks for no partition."""
        self._failed.pop(address, None)
        self._unreached.discard(address)

    def note_direct_failure(self, address: str, reason: str) -> None:
        """Records that a direct connection failed that was opened for a peer.

        Args:
          address: ``host:port`` of the endpoint.
          reason: the error.
        """
        self._add_failure(address, reason)

    def is_suspect(self, address: str) -> bool:
        """Returns whether the direct path to an endpoint may be lost."""
        if self.partitioned_s is not None:
            return True
        now_s = self._timers.read_monotonic()
        return now_s < self._lost_until_s.get(address, 0.0)

    def is_lost(self) -> bool:
        """Returns whether a direct connection would fail like the last one."""
        if self.partitioned_s is None:
            return False
        return self._timers.read_monotonic() < self._failed_s + TRIAL_S

    def may_detour(self, address: str) -> bool:
        """Returns whether a peer might reach an endpoint."""
        if self.partitioned_s is not None:
            return True
        now_s = self._timers.read_monotonic()
        return now_s >= self._unreachable_until_s.get(address, 0.0)

    def begin_try(self) -> bool:
        """Returns whether a request may be tried that has not been sent.

        While no endpoint is reached in any way, only few are tried.
        """
        if self.partitioned_s is None or not self._is_everywhere(
            self._unreached
        ):
            return True
        now_s = self._timers.read_monotonic()
        if now_s < self._trial_s + TRIAL_S:
            return False
        self._trial_s = now_s
        return True

    def is_proven(self) -> bool:
        """Returns whether an endpoint was reached lately."""
        return self._timers.read_monotonic() - self.received_s < PROOF_S

    def distrusts(self, used_s: float) -> bool:
        """Returns whether a kept connection may be dead.

        Args:
          used_s: when it last received data, in monotonic seconds.
        """
        return self.partitioned_s is not None and used_s <= self.partitioned_s

    def list_elsewhere(self, address: str) -> list[str]:
        """Returns an endpoint of each data centre but that of an address.

        Where there is no other data centre, it returns another endpoint.
        """
        chosen: dict[str, str] = {}
        centre = ""
        for endpoint in self._list_endpoints(self._service):
            if endpoint.address == address:
                centre = endpoint.data_centre
            else:
                chosen.setdefault(endpoint.data_centre, endpoint.address)
        if len(chosen) > 1:
            chosen.pop(centre, None)
        return list(chosen.values())

    def find_neighbour(self, address: str) -> str | None:
        """Returns another endpoint of an endpoint's data centre, if any.

        Those that were not reached lately come last.
        """
        endpoints = self._list_endpoints(self._service)
        centre = next(
            (e.data_centre for e in endpoints if e.address == address), None
        )
        return min(
            (
                e.address
                for e in endpoints
                if e.data_centre == centre and e.address != address
            ),
            key=lambda other: (other in self._failed, other),
            default=None,
        )

    def _is_everywhere(self, addresses: Collection[str]) -> bool:
        """Returns whether some of these endpoints are in each data centre."""
        if len(addresses) < PARTITION_ENDPOINTS:
            return False
        endpoints = self._list_endpoints(self._service)
        centres = {e.data_centre for e in endpoints}
        failed = {e.data_centre for e in endpoints if e.address in addresses}
        return bool(failed) and failed == centres

    def _add_failure(self, address: str, reason: str) -> None:
        """Adds evidence of a partition."""
        self._failed[address] = reason
        self._failed_s = self._timers.read_monotonic()
        if self.partitioned_s is not None or not self._is_everywhere(
            self._failed
        ):
            return
        self.partitioned_s = self._timers.read_monotonic()
        age_s = self.partitioned_s - self.received_s
        self._metrics.count("paths.partitions")
        _logger.warning(
            "no endpoint is reached",
            extra={
                "service": self._service,
                "failed": dict(self._failed),
                "received_age_s": round(age_s, 3)
                if math.isfinite(age_s)
                else None,
            },
        )


class EndpointPaths:
    """The paths to all endpoints, by service."""

    __slots__ = (
        "_find_endpoint",
        "_list_endpoints",
        "_metrics",
        "_services",
        "_timers",
    )

    def __init__(
        self,
        find_endpoint: Finder,
        list_endpoints: Lister,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
    ):
        """Starts with all paths intact.

        Args:
          find_endpoint: returns the endpoint at an address.
          list_endpoints: returns the endpoints of a service that take work.
          timers: the clock.
          metrics: counters.
        """
        self._find_endpoint = find_endpoint
        self._list_endpoints = list_endpoints
        self._timers = timers
        self._metrics = metrics
        self._services: dict[str, ServicePaths] = {}

    def find(self, address: str) -> ServicePaths:
        """Returns the paths to the service of the endpoint at an address."""
        endpoint = self._find_endpoint(address)
        return self.find_service(endpoint.service if endpoint else "")

    def find_service(self, service: str) -> ServicePaths:
        """Returns the paths to a service."""
        paths = self._services.get(service)
        if paths is None:
            paths = self._services[service] = ServicePaths(
                service, self._list_endpoints, self._timers, self._metrics
            )
        return paths


def _set_until(
    until_s: dict[str, float], address: str, now_s: float, length_s: float
) -> None:
    """Starts a state of an endpoint, and drops ended ones if there are many."""
    if len(until_s) >= MAX_STATES:
        for other in [a for a, end_s in until_s.items() if end_s <= now_s]:
            del until_s[other]
    until_s[address] = now_s + length_s
