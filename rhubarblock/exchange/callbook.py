"""Plain calls under way at this instance, and where the next one goes."""

from collections.abc import Iterator
import contextlib

from rhubarblock.core import listed as lists
from rhubarblock.routing import health as healths

# Calls that run at a near endpoint before a far one is used: a third of the
# usual six at once, as other instances call it too.
FAR_CALLS = 2.5


class CallBook:
    """Counts the calls of one instance by endpoint."""

    __slots__ = ("_calls", "_data_centre", "_health")

    def __init__(self, health: healths.Health, data_centre: str):
        """Starts with none.

        Args:
          health: tells how many answers of an endpoint are failures.
          data_centre: where this instance runs.
        """
        self._health = health
        self._data_centre = data_centre
        self._calls: dict[str, int] = {}

    def choose(
        self, endpoints: list[lists.ListedEndpoint]
    ) -> lists.ListedEndpoint:
        """Returns the endpoint against which least speaks."""
        return min(endpoints, key=self._weigh)

    @contextlib.contextmanager
    def hold(self, endpoint_id: str) -> Iterator[None]:
        """Counts a call while the context is open."""
        self._calls[endpoint_id] = self._calls.get(endpoint_id, 0) + 1
        try:
            yield
        finally:
            self._calls[endpoint_id] -= 1

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forgets endpoints that are not there any more and run nothing."""
        for endpoint_id in [e for e in self._calls if e not in endpoint_ids]:
            if not self._calls[endpoint_id]:
                del self._calls[endpoint_id]

    def _weigh(self, endpoint: lists.ListedEndpoint) -> float:
        """Returns what speaks against an endpoint, in calls before it."""
        calls = self._calls.get(endpoint.endpoint_id, 0)
        errors = endpoint.slots * self._health.share_of(endpoint.endpoint_id)
        is_far = endpoint.data_centre != self._data_centre
        return calls + errors + FAR_CALLS * is_far
