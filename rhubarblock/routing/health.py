"""Passive health checks: which endpoints to avoid, based on request results.

There are no active probes. Each endpoint has a circuit breaker: one that broke
a connection or did not answer is avoided for a time that doubles with each
further failure. After that a single request probes it, and only its success
admits others. Failures reported by peers of the same data centre count as well,
because they use the same network path. If several endpoints of another data
centre become unreachable together, the path to it counts as broken.
"""

import dataclasses

# Initial and largest backoff of an endpoint, in seconds. A restart takes some
# seconds; the initial backoff is shorter than the time after which a caller
# gives up, as a single failure may be due to the network path and not to the
# endpoint.
INITIAL_BACKOFF_S = 0.7
MAX_BACKOFF_S = 4.0
# Seconds for which one request probes an endpoint before another one may.
PROBE_S = 1.0
# Weight of one answer in the smoothed error rate of an endpoint.
ERROR_RATE_GAIN = 0.15
# Error rate above which an endpoint is avoided although it answers: well above
# the rate at which a healthy service fails.
MAX_ERROR_RATE = 0.4
# Endpoints of one data centre that must become unreachable within the window,
# without any answer from that data centre in between, before all of it is
# avoided.
PARTITION_ENDPOINTS = 2
PARTITION_WINDOW_S = 2.0
# Seconds for which an unreachable data centre is avoided.
PARTITION_BACKOFF_S = 1.5


@dataclasses.dataclass(slots=True)
class _State:
    failures: int = 0
    until_s: float = 0.0
    probe_until_s: float = 0.0
    error_rate: float = 0.0


@dataclasses.dataclass(slots=True)
class _NetworkPath:
    """The network path to one data centre."""

    unreachable: dict[str, float] = dataclasses.field(default_factory=dict)
    until_s: float = 0.0


class Health:
    """The health of each endpoint, derived from the results of requests."""

    __slots__ = ("_own_data_centre", "_paths", "_states")

    def __init__(self, own_data_centre: str = ""):
        """Starts with all endpoints healthy.

        Args:
          own_data_centre: the network path within it never counts as broken.
        """
        self._own_data_centre = own_data_centre
        self._states: dict[str, _State] = {}
        self._paths: dict[str, _NetworkPath] = {}

    def note_unreachable(
        self, endpoint_id: str, data_centre: str, now_s: float
    ) -> bool:
        """Records a failed connection or a missing answer.

        Returns:
          Whether this failure tripped the circuit breaker, so that peers should
          be notified; False while the endpoint is avoided already.
        """
        self._detect_partition(endpoint_id, data_centre, now_s)
        state = self._states.setdefault(endpoint_id, _State())
        if now_s < state.until_s:
            # Requests sent before the backoff began add no information.
            return False
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**state.failures)
        state.failures += 1
        state.until_s = now_s + backoff_s
        state.probe_until_s = 0.0
        return True

    def note_error(self, endpoint_id: str) -> None:
        """Records an answer that reports a failure of the endpoint."""
        state = self._states.setdefault(endpoint_id, _State())
        state.error_rate += ERROR_RATE_GAIN * (1.0 - state.error_rate)

    def note_success(self, endpoint_id: str, data_centre: str) -> None:
        """Records an answer that is not a refusal."""
        self.note_reached(endpoint_id, data_centre)
        state = self._states.get(endpoint_id)
        if state is not None:
            state.error_rate -= ERROR_RATE_GAIN * state.error_rate

    def note_reached(self, endpoint_id: str, data_centre: str) -> None:
        """Records that an endpoint answered, whatever the answer was."""
        path = self._paths.get(data_centre)
        if path is not None:
            path.unreachable.clear()
            path.until_s = 0.0
        state = self._states.get(endpoint_id)
        if state is None:
            return
        state.failures = 0
        state.until_s = 0.0

    def note_chosen(self, endpoint_id: str, now_s: float) -> None:
        """Records that a request goes there; it may be the probe."""
        state = self._states.get(endpoint_id)
        if state is not None and state.failures:
            state.probe_until_s = now_s + PROBE_S

    def is_suspect(
        self, endpoint_id: str, data_centre: str, now_s: float
    ) -> bool:
        """Says whether an endpoint is to be avoided at present."""
        path = self._paths.get(data_centre)
        if path is not None and now_s < path.until_s:
            return True
        state = self._states.get(endpoint_id)
        if state is None:
            return False
        if now_s < state.until_s or now_s < state.probe_until_s:
            return True
        return state.error_rate > MAX_ERROR_RATE

    def is_tripped(self, endpoint_id: str) -> bool:
        """Says whether an endpoint failed and has not answered since."""
        state = self._states.get(endpoint_id)
        return state is not None and state.failures > 0

    def find_error_rate(self, endpoint_id: str) -> float:
        """Returns the smoothed error rate of an endpoint."""
        state = self._states.get(endpoint_id)
        return state.error_rate if state else 0.0

    def forget(self, endpoint_id: str) -> None:
        """Forgets the earlier results of an endpoint that restarted."""
        self._states.pop(endpoint_id, None)

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forgets endpoints that are no longer listed."""
        for endpoint_id in [e for e in self._states if e not in endpoint_ids]:
            del self._states[endpoint_id]

    def _detect_partition(
        self, endpoint_id: str, data_centre: str, now_s: float
    ) -> None:
        if data_centre == self._own_data_centre:
            return
        path = self._paths.setdefault(data_centre, _NetworkPath())
        path.unreachable[endpoint_id] = now_s
        for name, at_s in list(path.unreachable.items()):
            if now_s - at_s > PARTITION_WINDOW_S:
                del path.unreachable[name]
        if len(path.unreachable) >= PARTITION_ENDPOINTS:
            path.until_s = now_s + PARTITION_BACKOFF_S
